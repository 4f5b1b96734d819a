"""Sending of a caller's generation, with retries of failed attempts."""

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
    MAX_LEAVING_REFUSAL_COUNT,
    OVERLOAD_REASONS,
    Deadline,
    worst_outcome,
)
from wasabistream.routers import RouteQuery

if TYPE_CHECKING:
    from wasabistream.dispatchers import Dispatcher

logger = logging.getLogger(__name__)

# Longest wait for the reply to a withdrawal on the link of the attempt.
WITHDRAW_REPLY_TIMEOUT_SECONDS = 1.0
# Time after the deadline at which a generation without any token is ended.
DEADLINE_GRACE_SECONDS = 5.0
# Overload refusals after which other data centres are preferred.
REMOTE_AFTER_REFUSAL_COUNT = 2


@dataclasses.dataclass(frozen=True)
class _Attempt:
    """Hold one attempt that was sent or is about to be sent."""

    view: BackendView
    link: Link
    # Id of this attempt alone. The request_id of a GenerationSender names the
    # caller's request with all its attempts.
    request_id: str
    incarnation: str
    handler: GenerationReplyHandler


class GenerationSender:
    """Send one caller's generation, retrying failed attempts if it is safe.

    Attempts never overlap: the next one starts after the current one has
    ended, and a second report of the end of an attempt is ignored. The caller
    gets one end of its answer, which `_has_ended` ensures.
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
        # Without the attempts that leaving agents refused.
        self._failed_attempt_count = 0
        self._leaving_refusal_count = 0
        self._overload_refusal_count = 0
        self._excluded: frozenset[str] = frozenset()
        self._lock = threading.Lock()
        self._current: _Attempt | None = None
        self._outcome = Outcome.not_run
        self._last_failure: AttemptError | None = None
        self._caller_gone = False
        self._has_ended = False

    def send(self) -> None:
        """Send one attempt; end the answer with an error if that fails."""
        try:
            self._send_attempt()
        except AttemptError as failure:
            self._end_with_failure(failure)
        except Exception:
            # Without an end of its answer the caller would wait forever.
            logger.exception('entry: attempt could not be sent')
            self._end_with_failure(
                AttemptError('internal_error', Outcome.unknown)
            )

    def caller_gone(self) -> None:
        """Record a hangup: cancel the current attempt and start no other."""
        with self._lock:
            self._caller_gone = True
            current = self._current
        if current is not None:
            _send_or_log(current.link, Cancel(current.request_id))

    def end_if_overdue(self) -> None:
        """End a generation without any token well after its deadline."""
        current = self._current
        if self._deadline.remaining_seconds > -DEADLINE_GRACE_SECONDS:
            return
        if current is None or current.handler.next_index:
            return
        _send_or_log(current.link, Cancel(current.request_id))
        current.handler.end(AttemptError('timeout', Outcome.unknown))

    def _send_attempt(self) -> None:
        if self._deadline.expired:
            raise AttemptError('deadline', Outcome.not_run)
        # Refuses a request whose content crashed engines, so that a retry does
        # not crash one engine after another.
        request = self._dispatcher.request_quarantine.admit(self._request)
        query = dataclasses.replace(
            self._query,
            excluded=self._excluded,
            prefer_remote=self._overload_refusal_count
            >= REMOTE_AFTER_REFUSAL_COUNT,
        )
        view, link = self._choose_link(query)
        self._excluded |= {view.vm.id}
        handler = GenerationReplyHandler(self._writer, self._on_attempt_ended)
        attempt = _Attempt(
            view,
            link,
            self._dispatcher.new_request_id(),
            link.peer.incarnation,
            handler,
        )
        self._start_attempt(attempt, request)
        if not handler.wait_admission_reply(
            self._dispatcher.gate_reply_timeout_seconds
        ):
            self._withdraw(attempt)

    def _choose_link(self, query: RouteQuery) -> tuple[BackendView, Link]:
        try:
            return self._dispatcher.chooser.choose_link(query)
        except AttemptError as failure:
            # The last failure says more than that no server is left.
            raise self._last_failure or failure from failure

    def _start_attempt(self, attempt: _Attempt, request: Generate) -> None:
        with self._lock:
            caller_gone = self._caller_gone
            if not caller_gone:
                self._current = attempt
        remaining_seconds = self._deadline.remaining_seconds
        if caller_gone or remaining_seconds <= 0:
            # The choice of the link has counted the request as sent.
            attempt.view.remove_sent_request(attempt.link)
            reason = 'caller_gone' if caller_gone else 'deadline'
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
        # If the caller went before the frame was queued, its Cancel was sent
        # ahead of the Generate and the agent ignored it, so it is repeated.
        if self._caller_gone:
            _send_or_log(attempt.link, Cancel(attempt.request_id))

    def _withdraw(self, attempt: _Attempt) -> None:
        handler = attempt.handler
        if not handler.withdraw():
            return
        # No new work goes to this gate until the next load report.
        attempt.view.refuses_work = True
        _send_or_log(attempt.link, Withdraw(attempt.request_id))
        if handler.wait_ended(WITHDRAW_REPLY_TIMEOUT_SECONDS):
            return
        outcome = self._dispatcher.withdraw_over_second_link(
            attempt.view.vm, attempt.request_id, attempt.incarnation
        )
        handler.end(AttemptError('timeout', outcome, attempt.view.vm.id))

    def _on_attempt_ended(
        self, handler: GenerationReplyHandler, failure: AttemptError | None
    ) -> None:
        with self._lock:
            current = self._current
            if current is None or current.handler is not handler:
                return
            self._current = None
        self._dispatcher.remove_attempt(current.view, current.request_id)
        if failure is None:
            ATTEMPTS.labels(Outcome.run).inc()
            if self._try_set_ended():
                REQUESTS.labels('generation', 'answered').inc()
            return
        ATTEMPTS.labels(failure.outcome).inc()
        self._outcome = worst_outcome(self._outcome, failure.outcome)
        self._last_failure = failure
        if self._may_retry(current, failure) and self._dispatcher.resend(self):
            return
        self._end_with_failure(failure)

    def _may_retry(self, attempt: _Attempt, failure: AttemptError) -> bool:
        # A generation has no side effect, so it may run again as long as no
        # part of its answer has reached the caller.
        if self._caller_gone or self._writer.has_started:
            return False
        if failure.outcome == Outcome.not_run:
            if failure.reason in OVERLOAD_REASONS:
                self._overload_refusal_count += 1
            if failure.reason in LEAVING_REASONS:
                attempt.view.refuses_work = True
                self._leaving_refusal_count += 1
                return self._leaving_refusal_count <= MAX_LEAVING_REFUSAL_COUNT
        self._failed_attempt_count += 1
        if self._failed_attempt_count >= MAX_ATTEMPT_COUNT:
            return False
        return self._dispatcher.budget.try_take()

    def _try_set_ended(self) -> bool:
        with self._lock:
            if self._has_ended:
                return False
            self._has_ended = True
        self._dispatcher.on_generation_ended(self)
        return True

    def _end_with_failure(self, failure: AttemptError) -> None:
        if not self._try_set_ended():
            return
        outcome = worst_outcome(self._outcome, failure.outcome)
        self._dispatcher.fail(self._writer, failure, outcome, self.request_id)


def _send_or_log(link: Link, message: Message) -> None:
    try:
        link.send(message)
    except LinkError as error:
        logger.info('entry: %s lost: %s', type(message).__name__, error)
