"""Tests of the runner and the ledger of calls that run at most once."""

import unittest
from collections.abc import Callable

from tests.call_world import build_call
from wasabistream.keyed_calls import KeyedCallRunner
from wasabistream.ledgers import (
    ENTRY_OVERHEAD_BYTES,
    MAX_KEPT_ANSWER_BYTES,
    CallLedger,
)
from wasabistream.messages import Message
from wasabistream.outcomes import Outcome
from wasabistream.requests import Call, Failed, Refused, ServiceAnswer
from wasabistream.service_clients import CallNotSentError, NoAnswerError

MAX_ENTRY_BYTES = ENTRY_OVERHEAD_BYTES + 100 + MAX_KEPT_ANSWER_BYTES


class PermissiveKeyChecker:
    """Key checker that allows every key."""

    def refusal_reason(self, scoped_key: str) -> str:
        """Return no reason."""
        return ''

    def clock_offset_seconds(self) -> float:
        """Return zero, as for equal clocks."""
        return 0

    def retention_seconds(self) -> float:
        """Return 1000 s."""
        return 1000


class ScriptedClient:
    """Client that answers each call or raises the set error."""

    def __init__(self) -> None:
        self.body = b'done'
        self.error: Exception | None = None
        self.sent_count = 0
        self.on_send: Callable[[], object] = str

    def send(
        self, call: Call, deadline: float, check: Callable[[], str]
    ) -> ServiceAnswer:
        """Count the call, then answer or fail."""
        if isinstance(self.error, CallNotSentError):
            raise self.error
        self.sent_count += 1
        self.on_send()
        if self.error is not None:
            raise self.error
        return ServiceAnswer(call.request_id, 201, {}, self.body)


class KeyedCallTest(unittest.TestCase):
    """Guard the replies to repeats of a key."""

    def setUp(self) -> None:
        """Build a runner whose ledger holds two keys."""
        self.client = ScriptedClient()
        self.now = 1000.0
        self.runner = KeyedCallRunner(
            CallLedger(2 * MAX_ENTRY_BYTES),
            PermissiveKeyChecker(),
            self.client,
            lambda: self.now,
            lambda: self.now,
        )

    def call(self, key: str) -> Message:
        """Run one attempt and return its reply."""
        self.now += 1
        call = build_call(key, self.now)
        replies: list[Message] = []
        if self.runner.admit(call, '', replies.append):
            return self.runner.run(call, 0)
        return replies[0]

    def test_repeat_gets_first_answer(self) -> None:
        """Guard against a second run of an answered key."""
        replies = [self.call('a'), self.call('a')]
        self.assertEqual(
            [getattr(reply, 'replayed', None) for reply in replies],
            [False, True],
        )
        self.assertEqual(self.client.sent_count, 1)

    def test_repeat_waits_for_answer(self) -> None:
        """Guard against a second run while the first run is in progress."""
        replies: list[Message] = []
        self.client.on_send = lambda: self.runner.admit(
            build_call('a', self.now), '', replies.append
        )
        self.call('a')
        self.assertIsInstance(replies[0], ServiceAnswer)
        self.assertEqual(self.client.sent_count, 1)

    def test_failed_connect_removes_key(self) -> None:
        """Guard against a key that stays recorded although nothing was sent."""
        self.client.error = CallNotSentError('service_down')
        refused = self.call('a')
        self.assertIsInstance(refused, Refused)
        self.client.error = None
        self.assertIsInstance(self.call('a'), ServiceAnswer)

    def test_lost_answer_stays_unknown(self) -> None:
        """Guard against a second run after a lost answer."""
        self.client.error = NoAnswerError('timeout')
        replies = [self.call('a'), self.call('a')]
        self.assertEqual(
            [getattr(reply, 'outcome', '') for reply in replies],
            [Outcome.unknown, Outcome.unknown],
        )
        self.assertEqual(self.client.sent_count, 1)

    def test_large_answer_is_not_kept(self) -> None:
        """Guard against a second run of a key with a large answer."""
        self.client.body = bytes(MAX_KEPT_ANSWER_BYTES + 1)
        self.assertIsInstance(self.call('a'), ServiceAnswer)
        repeat_reply = self.call('a')
        self.assertEqual(repeat_reply, Failed(repeat_reply.request_id, 'run', 'answer_not_kept'))  # type: ignore[attr-defined]  # fmt: skip

    def test_full_ledger_refuses_new_keys(self) -> None:
        """Guard against recorded keys that are evicted for new ones."""
        self.client.body = bytes(MAX_KEPT_ANSWER_BYTES)
        for key in ('a', 'b'):
            self.assertIsInstance(self.call(key), ServiceAnswer)
        refusal = self.call('c')
        self.assertEqual(getattr(refusal, 'reason', ''), 'ledger_full')
        self.assertTrue(getattr(self.call('a'), 'replayed', False))
        self.now += 2000
        self.assertIsInstance(self.call('c'), ServiceAnswer)
