"""Runner of calls that may not be repeated."""

import threading
import time
from collections.abc import Callable
from typing import Protocol

from wasabistream.digests import hash64
from wasabistream.ledgers import (
    CallLedger,
    CallState,
    LedgerEntry,
    LedgerFullError,
)
from wasabistream.messages import Message
from wasabistream.outcomes import Outcome
from wasabistream.refusals import RefusalBook
from wasabistream.requests import Answer, Call, Failed, Refused
from wasabistream.service_clients import (
    MAX_ANSWER_BYTES,
    NoAnswerError,
    NotSentError,
)

Reply = Callable[[Message], None]
RETRY_SECONDS = 0.5


class KeyDecider(Protocol):
    """Decide whether a key that is not recorded may run here."""

    def refusal(self, scoped_key: str) -> str:
        """Return why a key is undecided, or nothing."""

    def clock_offset_seconds(self) -> float:
        """Return by how much the clocks of two machines may differ."""

    def retention_seconds(self) -> float:
        """Return for how long a key must be remembered."""


class CallSender(Protocol):
    """Send one call to the service."""

    def send(
        self, call: Call, deadline: float, check: Callable[[], str]
    ) -> Answer:
        """Raise NotSentError or NoAnswerError when there is no answer."""


class KeyedCallRunner:
    """Run each key at most once and give its answer to all repeats."""

    def __init__(
        self,
        ledger: CallLedger,
        decider: KeyDecider,
        sender: CallSender,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._ledger = ledger
        self._decider = decider
        self._sender = sender
        self._clock = clock
        self._wall_clock = wall_clock
        self._refusals = RefusalBook()
        # An attempt must not be recorded while another one of its key is
        # told that none has run.
        self._lock = threading.Lock()

    def admit(self, call: Call, refusal: str, reply: Reply) -> bool:
        """Record a new key and return True; else reply and return False.

        The refusal names why the agent takes no new work. It is `not_run`
        only for keys of which the agent can prove that none has run.
        """
        with self._lock:
            return self._admit(call, refusal, reply)

    def run(self, call: Call, deadline: float) -> Message:
        """Run a call whose key was recorded."""
        sent = True
        answer = None
        try:
            answer = self._sender.send(
                call, deadline, lambda: self._decider.refusal(call.key)
            )
        except NotSentError as error:
            sent = False
            return self._release(call, str(error))
        except NoAnswerError:
            return Failed(call.request_id, Outcome.unknown, 'no_answer')
        finally:
            if sent:
                self._ledger.complete(call.key, answer)
        if len(answer.body) > MAX_ANSWER_BYTES:
            return Failed(call.request_id, Outcome.run, 'answer_not_kept')
        return answer

    def _admit(self, call: Call, refusal: str, reply: Reply) -> bool:
        entry = self._ledger.find(call.key)
        if entry is not None:
            self._repeat(call, entry, reply)
            return False
        undecided = self._decider.refusal(call.key)
        if undecided:
            reply(Failed(call.request_id, Outcome.unknown, undecided))
            return False
        if refusal or self._is_late(call):
            reply(self._refuse(call, refusal or 'late_attempt'))
            return False
        try:
            self._ledger.record_key(
                call.key,
                _digest(call),
                self._clock(),
                self._decider.retention_seconds(),
            )
        except LedgerFullError:
            reply(self._refuse(call, 'ledger_full'))
            return False
        return True

    def _release(self, call: Call, reason: str) -> Message:
        with self._lock:
            reply = self._refuse(call, reason)
            waiters = self._ledger.release(call.key)
        for waiter in waiters:
            waiter(LedgerEntry('', 0, 0, CallState.released))
        return reply

    def _is_late(self, call: Call) -> bool:
        offset_seconds = self._decider.clock_offset_seconds()
        earliest = call.started_unix_seconds - offset_seconds
        return self._refusals.rules_out(call.key, earliest)

    def _refuse(self, call: Call, reason: str) -> Message:
        # Recorded before the caller can read it.
        retention_seconds = self._decider.retention_seconds()
        now = self._wall_clock()
        if not self._refusals.record(call.key, now, retention_seconds):
            return Failed(call.request_id, Outcome.unknown, reason)
        # A repeat that starts sooner may be taken for a late attempt.
        offset_seconds = self._decider.clock_offset_seconds()
        return Refused(
            call.request_id,
            Outcome.not_run,
            reason,
            RETRY_SECONDS + 2 * offset_seconds,
        )

    def _repeat(self, call: Call, entry: LedgerEntry, reply: Reply) -> None:
        if entry.digest != _digest(call):
            # This body never runs under the key, as another one holds it.
            reply(Refused(call.request_id, Outcome.not_run, 'key_reused'))
            return

        def answer(ended: LedgerEntry) -> None:
            if ended.state == CallState.released:
                reply(self._refuse(call, 'first_attempt_not_sent'))
            else:
                reply(_repeated_reply(call, ended))

        if self._ledger.wait(entry, answer):
            return
        reply(_repeated_reply(call, entry))


def _repeated_reply(call: Call, entry: LedgerEntry) -> Message:
    known = entry.answer
    if known is not None:
        return Answer(
            call.request_id, known.status, known.headers, known.body, True
        )
    match entry.state:
        case CallState.answer_not_kept:
            return Failed(call.request_id, Outcome.run, 'answer_not_kept')
        case CallState.no_answer:
            return Failed(call.request_id, Outcome.unknown, 'no_answer')
    return Failed(call.request_id, Outcome.unknown, 'in_progress')


def _digest(call: Call) -> str:
    body_digest = hash64(call.body.hex())
    return f'{hash64(call.method, call.path):016x}{body_digest:016x}'
