"""Sender that carries one caller's generation over its attempts."""

import dataclasses
import logging
import threading
from typing import TYPE_CHECKING

from wasabistream.backends import BackendView
from wasabistream.exceptions import AttemptError, LinkError
from wasabistream.links import Link
from wasabistream.messages import Message
from wasabistream.metrics import ATTEMPTS, REQUESTS
from wasabistream.outcomes import Outcome
from wasabistream.reply_handlers import (
    GenerationReplyHandler,
    StreamAnswerWriter,
)
from wasabistream.requests import Cancel, Generate, Withdraw
from wasabistream.retries import (
    LEAVING_REASONS,
    MAX_ATTEMPT_COUNT,
    MAX_REDIRECT_COUNT,
    OVERLOAD_REASONS,
    Deadline,
    worst_outcome,
)
from wasabistream.routers import RouteQuery

if TYPE_CHECKING:
    from wasabistream.dispatchers import Dispatcher

logger = logging.getLogger(__name__)

# Bound of the wait for the answer to a withdrawal on the same link.
WITHDRAW_REPLY_SECONDS = 1.0
# Time after its deadline in which a silent generation is given up.
DEADLINE_GRACE_SECONDS = 5.0
# Local refusals for overload after which another data centre is tried.
SPILL_REFUSAL_COUNT = 2


@dataclasses.dataclass(frozen=True)
class _Attempt:
    """Hold one attempt that was sent or is about to be."""

    view: BackendView
    link: Link
    request_id: str
    incarnation: str
    handler: GenerationReplyHandler


class GenerationSender:
    """Follow one caller's generation over its attempts.

    Attempts follow one another: the next starts only after the current one
    has ended, and an end of an attempt that is not the current one is
    ignored. `_concluded` makes the end towards the caller the only one.
    """

    def __init__(
        self,
        dispatcher: 'Dispatcher',
        request: Generate,
        query: RouteQuery,
        writer: StreamAnswerWriter,
    ) -> None:
        self.request_id = dispatcher.new_request_id()
        self._dispatcher = dispatcher
        self._request = request
        self._query = query
        self._writer = writer
        self._deadline = Deadline(request.deadline_seconds)
        self._attempt_count = 0
        self._redirect_count = 0
        self._refusal_count = 0
        self._excluded: frozenset[str] = frozenset()
        self._lock = threading.Lock()
        self._current: _Attempt | None = None
        self._outcome = Outcome.not_run
        self._last_failure: AttemptError | None = None
        self._gone = False
        self._concluded = False

    def send(self) -> None:
        """Send one attempt; end the answer when none is possible."""
        try:
            self._send_once()
        except AttemptError as refusal:
            self._conclude(refusal)
        except Exception:
            # Whatever goes wrong here, the caller must get an end.
            logger.exception('entry: attempt could not be sent')
            self._conclude(AttemptError('internal_error', Outcome.unknown))

    def caller_gone(self) -> None:
        """Cancel the attempt in progress and start no other."""
        with self._lock:
            self._gone = True
            current = self._current
        if current is not None:
            _notify(current.link, Cancel(current.request_id))

    def expire(self) -> None:
        """Give up a generation that is silent long after its deadline."""
        current = self._current
        if self._deadline.remaining_seconds > -DEADLINE_GRACE_SECONDS:
            return
        if current is None or current.handler.next_index:
            return
        _notify(current.link, Cancel(current.request_id))
        current.handler.end(AttemptError('timeout', Outcome.unknown))

    def _send_once(self) -> None:
        if self._deadline.expired:
            raise AttemptError('deadline', Outcome.not_run)
        # A content that was in crashes is not tried on one engine after
        # the other.
        request = self._dispatcher.quarantine.admit(self._request)
        query = dataclasses.replace(
            self._query,
            excluded=self._excluded,
            spill=self._refusal_count >= SPILL_REFUSAL_COUNT,
        )
        view, link = self._choose(query)
        self._excluded |= {view.vm.id}
        handler = GenerationReplyHandler(self._writer, self._attempt_ended)
        attempt = _Attempt(
            view,
            link,
            self._dispatcher.new_request_id(),
            link.peer.incarnation,
            handler,
        )
        self._start(attempt, request)
        if not handler.wait_decided(self._dispatcher.gate_reply_seconds):
            self._withdraw(attempt)

    def _choose(self, query: RouteQuery) -> tuple[BackendView, Link]:
        try:
            return self._dispatcher.chooser.choose_link(query)
        except AttemptError as refusal:
            # The last failure tells more than that no server is left.
            raise self._last_failure or refusal from refusal

    def _start(self, attempt: _Attempt, request: Generate) -> None:
        with self._lock:
            gone = self._gone
            if not gone:
                self._current = attempt
        remaining_seconds = self._deadline.remaining_seconds
        if gone or remaining_seconds <= 0:
            attempt.view.remove_sent_request(attempt.link)
            reason = 'caller_gone' if gone else 'deadline'
            raise AttemptError(reason, Outcome.not_run)
        message = dataclasses.replace(
            request,
            request_id=attempt.request_id,
            deadline_seconds=remaining_seconds,
        )
        self._dispatcher.start_attempt(
            attempt.view,
            attempt.link,
            message,
            attempt.handler,
            self._deadline,
        )
        # A caller that left before the frame was queued had its cancel sent
        # ahead of the frame, where the agent ignores it.
        if self._gone:
            _notify(attempt.link, Cancel(attempt.request_id))

    def _withdraw(self, attempt: _Attempt) -> None:
        handler = attempt.handler
        if not handler.withdraw():
            return
        # Nothing more goes to this gate until it reports again.
        attempt.view.refuses_work = True
        _notify(attempt.link, Withdraw(attempt.request_id))
        if handler.wait_ended(WITHDRAW_REPLY_SECONDS):
            return
        outcome = self._dispatcher.prove(
            attempt.view.vm, attempt.request_id, attempt.incarnation
        )
        handler.end(AttemptError('timeout', outcome, attempt.view.vm.id))

    def _attempt_ended(
        self, handler: GenerationReplyHandler, failure: AttemptError | None
    ) -> None:
        with self._lock:
            current = self._current
            if current is None or current.handler is not handler:
                return
            self._current = None
        self._dispatcher.forget(current.view, current.request_id)
        if failure is None:
            ATTEMPTS.labels(Outcome.run).inc()
            if self._set_concluded():
                REQUESTS.labels('generation', 'answered').inc()
            return
        ATTEMPTS.labels(failure.outcome).inc()
        self._outcome = worst_outcome(self._outcome, failure.outcome)
        self._last_failure = failure
        if self._may_retry(current, failure) and self._dispatcher.resend(self):
            return
        self._conclude(failure)

    def _may_retry(self, attempt: _Attempt, failure: AttemptError) -> bool:
        # A generation has no effect but its answer, so it may run again
        # while its caller has seen nothing of it.
        if self._gone or self._writer.started:
            return False
        if failure.outcome == Outcome.not_run:
            if failure.reason in OVERLOAD_REASONS:
                self._refusal_count += 1
            if failure.reason in LEAVING_REASONS:
                attempt.view.refuses_work = True
                self._redirect_count += 1
                return self._redirect_count <= MAX_REDIRECT_COUNT
        self._attempt_count += 1
        if self._attempt_count >= MAX_ATTEMPT_COUNT:
            return False
        return self._dispatcher.budget.try_take()

    def _set_concluded(self) -> bool:
        with self._lock:
            if self._concluded:
                return False
            self._concluded = True
        self._dispatcher.concluded(self)
        return True

    def _conclude(self, failure: AttemptError) -> None:
        if not self._set_concluded():
            return
        outcome = worst_outcome(self._outcome, failure.outcome)
        self._dispatcher.fail(self._writer, failure, outcome, self.request_id)


def _notify(link: Link, message: Message) -> None:
    try:
        link.send(message)
    except LinkError as error:
        logger.info('entry: %s lost: %s', type(message).__name__, error)
