"""Runner of calls that run at most once for each idempotency key."""

import threading
import time
from collections.abc import Callable
from typing import Protocol

from wasabistream.digests import hash64, hash64_with_body
from wasabistream.ledgers import (
    CallLedger,
    CallState,
    LedgerEntry,
    LedgerFullError,
)
from wasabistream.messages import Message
from wasabistream.outcomes import Outcome
from wasabistream.refusals import RefusedKeys
from wasabistream.requests import Call, Failed, Refused, ServiceAnswer
from wasabistream.service_clients import (
    MAX_ANSWER_BYTES,
    CallNotSentError,
    NoAnswerError,
)

ReplySender = Callable[[Message], None]
RETRY_AFTER_SECONDS = 0.5


class KeyChecker(Protocol):
    """Checker that tells whether this agent may run an unrecorded key."""

    def refusal_reason(self, scoped_key: str) -> str:
        """Return why a key without a record must not run here, or ''."""

    def clock_offset_seconds(self) -> float:
        """Return the largest difference between the wall clocks of two VMs."""

    def retention_seconds(self) -> float:
        """Return for how long a key must stay recorded."""


class CallClient(Protocol):
    """Client that sends calls to the service."""

    def send(
        self, call: Call, deadline: float, check: Callable[[], str]
    ) -> ServiceAnswer:
        """Send a call; raises CallNotSentError or NoAnswerError."""


class KeyedCallRunner:
    """Run each key at most once and answer repeats from the record."""

    def __init__(
        self,
        ledger: CallLedger,
        key_checker: KeyChecker,
        client: CallClient,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._ledger = ledger
        self._key_checker = key_checker
        self._client = client
        self._clock = clock
        self._wall_clock = wall_clock
        self._refused_keys = RefusedKeys()
        # Held while a key is recorded or refused, so that no attempt of a key
        # is recorded while another one is refused as not run.
        self._lock = threading.Lock()

    def admit(self, call: Call, refusal: str, reply: ReplySender) -> bool:
        """Record a new key and return True, or send a reply and return False.

        `refusal` is the reason why the agent takes no new work, or empty. The
        outcome is `not_run` only if the agent can prove that the key has not
        run.
        """
        with self._lock:
            return self._admit(call, refusal, reply)

    def run(self, call: Call, deadline: float) -> Message:
        """Run a call whose key was recorded."""
        sent = True
        answer = None
        try:
            answer = self._client.send(
                call,
                deadline,
                lambda: self._key_checker.refusal_reason(call.key),
            )
        except CallNotSentError as error:
            sent = False
            return self._release_unsent(call, str(error))
        except NoAnswerError:
            return Failed(call.request_id, Outcome.unknown, 'no_answer')
        finally:
            if sent:
                self._ledger.complete(call.key, answer)
        if len(answer.body) > MAX_ANSWER_BYTES:
            return Failed(call.request_id, Outcome.run, 'answer_not_kept')
        return answer

    def _admit(self, call: Call, refusal: str, reply: ReplySender) -> bool:
        entry = self._ledger.find(call.key)
        if entry is not None:
            self._answer_repeat(call, entry, reply)
            return False
        key_refusal_reason = self._key_checker.refusal_reason(call.key)
        if key_refusal_reason:
            reply(Failed(call.request_id, Outcome.unknown, key_refusal_reason))
            return False
        if refusal or self._may_predate_refusal(call):
            reply(self._build_refusal(call, refusal or 'late_attempt'))
            return False
        try:
            self._ledger.record_key(
                call.key,
                _digest(call),
                self._clock(),
                self._key_checker.retention_seconds(),
            )
        except LedgerFullError:
            reply(self._build_refusal(call, 'ledger_full'))
            return False
        return True

    def _release_unsent(self, call: Call, reason: str) -> Message:
        with self._lock:
            reply = self._build_refusal(call, reason)
            waiters = self._ledger.remove_unsent(call.key)
        for waiter in waiters:
            waiter(LedgerEntry('', 0, 0, CallState.released))
        return reply

    def _may_predate_refusal(self, call: Call) -> bool:
        offset_seconds = self._key_checker.clock_offset_seconds()
        earliest_start_seconds = call.started_unix_seconds - offset_seconds
        return self._refused_keys.may_predate_refusal(
            call.key, earliest_start_seconds
        )

    def _build_refusal(self, call: Call, reason: str) -> Message:
        # The refusal is recorded before the caller can read it.
        retention_seconds = self._key_checker.retention_seconds()
        now = self._wall_clock()
        if not self._refused_keys.record_refusal(
            call.key, now, retention_seconds
        ):
            return Failed(call.request_id, Outcome.unknown, reason)
        # A repeat that starts sooner could be taken for an attempt that started
        # before this refusal.
        offset_seconds = self._key_checker.clock_offset_seconds()
        return Refused(
            call.request_id,
            Outcome.not_run,
            reason,
            RETRY_AFTER_SECONDS + 2 * offset_seconds,
        )

    def _answer_repeat(
        self, call: Call, entry: LedgerEntry, reply: ReplySender
    ) -> None:
        if entry.digest != _digest(call):
            # Another request is recorded for the key, so this one never runs.
            reply(Refused(call.request_id, Outcome.not_run, 'key_reused'))
            return

        def on_end(ended_entry: LedgerEntry) -> None:
            if ended_entry.state == CallState.released:
                reply(self._build_refusal(call, 'first_attempt_not_sent'))
            else:
                reply(_build_repeat_reply(call, ended_entry))

        if self._ledger.wait(entry, on_end):
            return
        reply(_build_repeat_reply(call, entry))


def _build_repeat_reply(call: Call, entry: LedgerEntry) -> Message:
    kept_answer = entry.answer
    if kept_answer is not None:
        return ServiceAnswer(
            call.request_id,
            kept_answer.status,
            kept_answer.headers,
            kept_answer.body,
            True,
        )
    match entry.state:
        case CallState.answer_not_kept:
            return Failed(call.request_id, Outcome.run, 'answer_not_kept')
        case CallState.no_answer:
            return Failed(call.request_id, Outcome.unknown, 'no_answer')
    return Failed(call.request_id, Outcome.unknown, 'in_progress')


def _digest(call: Call) -> str:
    body_digest = hash64_with_body(call.body)
    return f'{hash64(call.method, call.path):016x}{body_digest:016x}'
