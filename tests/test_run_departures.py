"""Tests of which runs an engine that leaves has ended at one moment.

Failure pattern: an engine breaks its last runs off and reports for a while, or it
ends as soon as its last run is done; only the first one cuts streams.
"""

import unittest
from unittest.mock import Mock, patch

from tests.ending_builders import build_state
from tests.forwarding_builders import Clock
from wasabistream.exceptions import BackendError
from wasabistream.forwarding.engine_states import EngineRun, EngineState
from wasabistream.run_endings.listed_runs import outlives_its_runs
from wasabistream.run_endings.run_departures import (
    CONCURRENT_END_SECONDS,
    MAX_DEPARTURE_COUNT,
    RunDepartures,
)


def build_leaving(*run_ids: str) -> EngineState:
    """Return the state of an engine that leaves."""
    runs = [EngineRun(run_id, 100, 3, 1) for run_id in run_ids]
    return build_state(*runs, leaving=True)


class RunDepartureTest(unittest.TestCase):
    """Guard against runs that are taken for those of another moment."""

    def setUp(self) -> None:
        """Poll an engine with three runs."""
        self.clock = Clock()
        self.departures = RunDepartures(self.clock)
        self.departures.record(build_leaving('a', 'b', 'c'))

    def test_runs_end_together(self) -> None:
        """Guard against a break that polls see in parts."""
        self.departures.record(build_leaving('b', 'c'))
        self.clock.advance(CONCURRENT_END_SECONDS / 2)
        self.departures.record(build_leaving('c'))
        self.assertEqual(self.departures.find_concurrent('a'), ['b'])
        self.assertEqual(self.departures.find_concurrent('b'), ['a'])

    def test_runs_end_one_by_one(self) -> None:
        """Guard against doubts about runs that are done."""
        self.departures.record(build_leaving('b', 'c'))
        self.clock.advance(2 * CONCURRENT_END_SECONDS)
        self.departures.record(build_leaving('c'))
        self.assertEqual(self.departures.find_concurrent('a'), [])
        self.assertEqual(self.departures.find_concurrent('c'), [])

    def test_engine_serves(self) -> None:
        """Guard against memory and doubts where no engine leaves."""
        self.departures.record(build_state())
        self.assertEqual(self.departures.find_concurrent('a'), [])

    def test_memory(self) -> None:
        """Guard against records without a limit."""
        ids = [f'run-{number}' for number in range(MAX_DEPARTURE_COUNT + 9)]
        self.departures.record(build_leaving(*ids))
        self.departures.record(build_leaving())
        self.assertEqual(
            len(self.departures.find_concurrent(ids[-1])),
            MAX_DEPARTURE_COUNT - 1,
        )


class LeavingEngineTest(unittest.TestCase):
    """Guard against the wrong time for the last look."""

    def outlives(self, *states: object, has_concurrent_ends: bool) -> bool:
        """Return the verdict on an engine that states these."""
        engine = Mock()
        engine.state.side_effect = states
        with patch('wasabistream.run_endings.listed_runs.time.sleep'):
            return outlives_its_runs(engine, lambda: has_concurrent_ends)

    def test_engine_ends_after_a_while(self) -> None:
        """Guard against an end between the second and the third look."""
        leaving = build_leaving()
        gone = BackendError('gone', 'state')
        states = (leaving, leaving, gone)
        self.assertFalse(self.outlives(*states, has_concurrent_ends=True))
        self.assertTrue(self.outlives(*states, has_concurrent_ends=False))

    def test_engine_restarts(self) -> None:
        """Guard against the next start as a sign of life."""
        restarted = build_state(started_unix_ms=5, leaving=True)
        self.assertFalse(
            self.outlives(build_leaving(), restarted, has_concurrent_ends=False)
        )


if __name__ == '__main__':
    unittest.main()
