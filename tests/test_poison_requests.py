"""Tests of poison requests in a small fleet."""

import unittest

from tests.fleets import (
    chat,
    complete,
    engine_state,
    start_engine_fleet,
    wait_until_engines_up,
)

ENGINES = ('engine-1', 'engine-2', 'engine-3')
# Crashes after which requests that share a message must not reach engines.
MAX_SHARED_CRASH_COUNT = 5
POISON_PROMPT = 'poison [[crash]] [[length=20]]'


class PoisonRequestTest(unittest.TestCase):
    """Guard engines against a poison request that is sent repeatedly."""

    def test_contained_through_two_entries(self) -> None:
        """Guard against more than two crashes by one request."""
        with start_engine_fleet(
            ENGINES,
            ('entry-1', 'entry-2'),
            token_seconds=0.005,
            restart_seconds=0.2,
        ) as fleet:
            urls = [entry.url for entry in fleet.entries()]
            answers = []
            for number in range(6):
                answers.append(complete(fleet, urls[number % 2], POISON_PROMPT))
                wait_until_engines_up(fleet, ENGINES)
            crash_count = sum(
                engine_state(fleet, engine)['crash_count'] for engine in ENGINES
            )
            harmless = complete(fleet, urls[0], 'harmless [[length=5]]')
        self.assertLessEqual(crash_count, 2)
        self.assertEqual(answers[-1][1], 'quarantined')
        self.assertEqual(harmless[0], 200)

    def test_shared_message_is_contained(self) -> None:
        """Guard against requests like no other that share a deadly message."""
        with start_engine_fleet(
            ENGINES,
            ('entry-1', 'entry-2'),
            token_seconds=0.005,
            restart_seconds=0.2,
        ) as fleet:
            urls = [entry.url for entry in fleet.entries()]
            answers = []
            for number in range(2 * MAX_SHARED_CRASH_COUNT):
                answers.append(
                    chat(
                        fleet,
                        urls[number % 2],
                        'common',
                        POISON_PROMPT,
                        f'question {number}',
                    )
                )
                wait_until_engines_up(fleet, ENGINES)
            crash_count = sum(
                engine_state(fleet, engine)['crash_count'] for engine in ENGINES
            )
            harmless = chat(
                fleet, urls[0], 'common', 'harmless', 'question [[length=5]]'
            )
        self.assertLessEqual(crash_count, MAX_SHARED_CRASH_COUNT)
        self.assertEqual(answers[-1][1], 'quarantined')
        self.assertEqual(harmless[0], 200)
