"""Tests of the runner and the ledger of keyed calls."""

import unittest
from collections.abc import Callable

from tests.call_world import build_call
from wasabistream.keyed_calls import KeyedCallRunner
from wasabistream.ledgers import (
    ENTRY_BYTES,
    MAX_KEPT_ANSWER_BYTES,
    CallLedger,
)
from wasabistream.messages import Message
from wasabistream.outcomes import Outcome
from wasabistream.requests import Answer, Call, Failed, Refused
from wasabistream.service_clients import NoAnswerError, NotSentError

ROOM_BYTES = ENTRY_BYTES + 100 + MAX_KEPT_ANSWER_BYTES


class OpenDecider:
    """Allow every key."""

    def refusal(self, scoped_key: str) -> str:
        """Return no reason."""
        return ''

    def clock_offset_seconds(self) -> float:
        """Return equal clocks."""
        return 0

    def retention_seconds(self) -> float:
        """Return a long time."""
        return 1000


class ScriptedSender:
    """Answer, or fail as told."""

    def __init__(self) -> None:
        self.body = b'done'
        self.error: Exception | None = None
        self.sent_count = 0
        self.during: Callable[[], object] = str

    def send(
        self, call: Call, deadline: float, check: Callable[[], str]
    ) -> Answer:
        """Count the call and answer."""
        if isinstance(self.error, NotSentError):
            raise self.error
        self.sent_count += 1
        self.during()
        if self.error is not None:
            raise self.error
        return Answer(call.request_id, 201, {}, self.body)


class KeyedCallTest(unittest.TestCase):
    """Guard what repeats of a key are told."""

    def setUp(self) -> None:
        """Build a runner with room for two keys."""
        self.sender = ScriptedSender()
        self.now = 1000.0
        self.runner = KeyedCallRunner(
            CallLedger(2 * ROOM_BYTES),
            OpenDecider(),
            self.sender,
            lambda: self.now,
            lambda: self.now,
        )

    def call(self, key: str) -> Message:
        """Run one attempt that starts now and return its reply."""
        self.now += 1
        call = build_call(key, self.now)
        replies: list[Message] = []
        if self.runner.admit(call, '', replies.append):
            return self.runner.run(call, 0)
        return replies[0]

    def test_repeat_gets_first_answer(self) -> None:
        """Guard against a second run of a key that was answered."""
        replies = [self.call('a'), self.call('a')]
        self.assertEqual(
            [getattr(reply, 'replayed', None) for reply in replies],
            [False, True],
        )
        self.assertEqual(self.sender.sent_count, 1)

    def test_repeat_waits_for_answer(self) -> None:
        """Guard against a second run while the first is in progress."""
        replies: list[Message] = []
        self.sender.during = lambda: self.runner.admit(
            build_call('a', self.now), '', replies.append
        )
        self.call('a')
        self.assertIsInstance(replies[0], Answer)
        self.assertEqual(self.sender.sent_count, 1)

    def test_failed_connect_frees_key(self) -> None:
        """Guard against a key that is lost although nothing was sent."""
        self.sender.error = NotSentError('service_down')
        refused = self.call('a')
        self.assertIsInstance(refused, Refused)
        self.sender.error = None
        self.assertIsInstance(self.call('a'), Answer)

    def test_lost_answer_stays_unknown(self) -> None:
        """Guard against a second run after a lost answer."""
        self.sender.error = NoAnswerError('timeout')
        replies = [self.call('a'), self.call('a')]
        self.assertEqual(
            [getattr(reply, 'outcome', '') for reply in replies],
            [Outcome.unknown, Outcome.unknown],
        )
        self.assertEqual(self.sender.sent_count, 1)

    def test_large_answer_is_not_kept(self) -> None:
        """Guard against a second run of a key with a large answer."""
        self.sender.body = bytes(MAX_KEPT_ANSWER_BYTES + 1)
        self.assertIsInstance(self.call('a'), Answer)
        again = self.call('a')
        self.assertEqual(again, Failed(again.request_id, 'run', 'answer_not_kept'))  # type: ignore[attr-defined]  # fmt: skip

    def test_full_ledger_refuses_new_keys(self) -> None:
        """Guard against old keys that are forgotten for new ones."""
        self.sender.body = bytes(MAX_KEPT_ANSWER_BYTES)
        for key in ('a', 'b'):
            self.assertIsInstance(self.call(key), Answer)
        full = self.call('c')
        self.assertEqual(getattr(full, 'reason', ''), 'ledger_full')
        self.assertTrue(getattr(self.call('a'), 'replayed', False))
        self.now += 2000
        self.assertIsInstance(self.call('c'), Answer)
