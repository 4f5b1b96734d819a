"""Tests of poison requests in a small fleet."""

import unittest
from collections.abc import Callable

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

    def setUp(self) -> None:
        """Start a fleet with two entries."""
        self.fleet = start_engine_fleet(
            ENGINES,
            ('entry-1', 'entry-2'),
            token_seconds=0.005,
            restart_seconds=0.2,
        )
        self.addCleanup(self.fleet.stop)
        self.urls = [entry.url for entry in self.fleet.entries()]

    def send_in_turn(
        self, count: int, send: Callable[[str, int], tuple[int, str]]
    ) -> list[tuple[int, str]]:
        """Send requests through the entries in turn; return the answers.

        Each one finds all engines up.
        """
        answers = []
        for number in range(count):
            answers.append(send(self.urls[number % 2], number))
            wait_until_engines_up(self.fleet, ENGINES)
        return answers

    def count_crashes(self) -> int:
        """Return the number of crashes of all engines."""
        return sum(
            engine_state(self.fleet, engine)['crash_count']
            for engine in ENGINES
        )

    def test_contained_through_two_entries(self) -> None:
        """Guard against more than two crashes by one request."""
        answers = self.send_in_turn(
            6, lambda url, number: complete(self.fleet, url, POISON_PROMPT)
        )
        harmless = complete(self.fleet, self.urls[0], 'harmless [[length=5]]')
        self.assertLessEqual(self.count_crashes(), 2)
        self.assertEqual(answers[-1][1], 'quarantined')
        self.assertEqual(harmless[0], 200)

    def test_shared_message_is_contained(self) -> None:
        """Guard against requests like no other that share a deadly message."""
        answers = self.send_in_turn(
            2 * MAX_SHARED_CRASH_COUNT,
            lambda url, number: chat(
                self.fleet, url, 'common', POISON_PROMPT, f'question {number}'
            ),
        )
        harmless = chat(
            self.fleet,
            self.urls[0],
            'common',
            'harmless',
            'question [[length=5]]',
        )
        self.assertLessEqual(self.count_crashes(), MAX_SHARED_CRASH_COUNT)
        self.assertEqual(answers[-1][1], 'quarantined')
        self.assertEqual(harmless[0], 200)
