"""Runner of calls that may not be repeated."""

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
    ) -> None:
        self._ledger = ledger
        self._decider = decider
        self._sender = sender
        self._clock = clock

    def admit(self, call: Call, refusal: str, reply: Reply) -> bool:
        """Record a new key and return True; else reply and return False.

        The refusal names why the agent takes no new work. It is `not_run`
        only for keys of which the agent can prove that none has run.
        """
        entry = self._ledger.find(call.key)
        if entry is not None:
            self._repeat(call, entry, reply)
            return False
        undecided = self._decider.refusal(call.key)
        if undecided:
            reply(Failed(call.request_id, Outcome.unknown, undecided))
            return False
        if refusal:
            reply(_refused(call, refusal))
            return False
        try:
            entry, is_new = self._ledger.claim(
                call.key,
                _digest(call),
                self._clock(),
                self._decider.retention_seconds(),
            )
        except LedgerFullError:
            reply(_refused(call, 'ledger_full'))
            return False
        if not is_new:
            self._repeat(call, entry, reply)
        return is_new

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

    def _release(self, call: Call, reason: str) -> Message:
        for waiter in self._ledger.release(call.key):
            waiter(LedgerEntry('', 0, 0, CallState.running))
        return _refused(call, reason)

    def _repeat(self, call: Call, entry: LedgerEntry, reply: Reply) -> None:
        if entry.digest != _digest(call):
            # This body never runs under the key, as another one holds it.
            reply(_refused(call, 'key_reused'))
            return

        def answer(ended: LedgerEntry) -> None:
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
    if entry.digest:
        return Failed(call.request_id, Outcome.unknown, 'in_progress')
    # The first attempt was released: nothing was sent for the key.
    return _refused(call, 'first_attempt_not_sent')


def _refused(call: Call, reason: str) -> Refused:
    return Refused(call.request_id, Outcome.not_run, reason, RETRY_SECONDS)


def _digest(call: Call) -> str:
    body_digest = hash64(call.body.hex())
    return f'{hash64(call.method, call.path):016x}{body_digest:016x}'
