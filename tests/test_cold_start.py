"""Tests of cold engines in a small fleet."""

import unittest
from typing import Any

from tests.fleets import (
    complete_many,
    engine_state,
    inject_fault,
    start_engine_fleet,
)

TOKEN_SECONDS = 0.005
COLD_OPTIONS: dict[str, Any] = {
    'token_seconds': TOKEN_SECONDS,
    'cold_limit_count': 4,
    'warm_up_tokens': 200,
    'restart_seconds': 0.3,
}
PROMPTS = [f'{number} [[length=20]]' for number in range(30)]


class ColdStartTest(unittest.TestCase):
    """Guard cold engines against overload, through entry and agent."""

    def run_cold(self, admission_policy: str) -> tuple[int, int]:
        """Load a cold engine; return counts of crashes and complete answers."""
        flags = {
            'admission_policy': admission_policy,
            'normal_token_seconds': TOKEN_SECONDS,
        }
        with start_engine_fleet(
            ('engine-1',), agent_flags=flags, **COLD_OPTIONS
        ) as fleet:
            url = fleet.entries()[0].url
            answers = complete_many(fleet, url, PROMPTS)
            state = engine_state(fleet, 'engine-1')
        complete_count = sum(status == 200 for status, _ in answers)
        return state['crash_count'], complete_count

    def test_open_gate_crashes_cold_engine(self) -> None:
        """Show that this load crashes a cold engine without a ramp."""
        crash_count, _ = self.run_cold('open')
        self.assertGreater(crash_count, 0)

    def test_ramp_protects_cold_engine(self) -> None:
        """Guard against more concurrent jobs than a cold engine can run."""
        crash_count, complete_count = self.run_cold('growth')
        self.assertEqual(crash_count, 0)
        self.assertEqual(complete_count, len(PROMPTS))

    def test_engine_becomes_cold_without_restart(self) -> None:
        """Guard against repeated crashes of an engine that becomes cold."""
        flags = {'normal_token_seconds': TOKEN_SECONDS}
        with start_engine_fleet(
            ('engine-1',), agent_flags=flags, **COLD_OPTIONS
        ) as fleet:
            url = fleet.entries()[0].url
            complete_many(fleet, url, PROMPTS)
            inject_fault(fleet, 'engine-1', 'cold')
            for _ in range(3):
                complete_many(fleet, url, PROMPTS)
            state = engine_state(fleet, 'engine-1')
        # The jobs that ran when the engine became cold may crash it once.
        self.assertLessEqual(state['crash_count'], 1)
