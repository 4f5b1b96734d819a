"""Dispatch of requests to agents, with retries that are safe."""

import dataclasses
import logging
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from wasabistream.answers import error_body
from wasabistream.attempts import AttemptTable
from wasabistream.backends import BackendDirectory, BackendView
from wasabistream.exceptions import LinkError, RefusedError
from wasabistream.followers import (
    CallFollower,
    GenerationFollower,
    StreamAnswerWriter,
)
from wasabistream.messages import Message
from wasabistream.metrics import ATTEMPTS, REFUSALS, REQUESTS
from wasabistream.outcomes import Outcome
from wasabistream.requests import Answer, Call, Cancel, Generate, Withdraw
from wasabistream.routers import RouteQuery, Router

logger = logging.getLogger(__name__)

MAX_ATTEMPT_COUNT = 3
# Time in which a reachable gate says accepted or refused.
GATE_REPLY_SECONDS = 2.0
REDISPATCH_THREAD_COUNT = 8

STATUS_BY_REASON = {
    'deadline': 504,
    'timeout': 504,
    'queue_full': 429,
    'too_many_requests': 429,
    'no_stream': 404,
    'events_dropped': 410,
    'in_progress': 409,
    'key_reused': 409,
    'answer_not_kept': 410,
}
DEFAULT_STATUS = 503


class Dispatcher:
    """Send attempts and decide which may be sent again."""

    def __init__(
        self,
        router: Router,
        directory: BackendDirectory,
        attempts: AttemptTable,
        make_request_id: Callable[[], str],
    ) -> None:
        self._router = router
        self._directory = directory
        self._attempts = attempts
        self._make_request_id = make_request_id
        self._pool = ThreadPoolExecutor(REDISPATCH_THREAD_COUNT, 'redispatch')

    def prepare(
        self, request: Generate, query: RouteQuery, writer: StreamAnswerWriter
    ) -> 'GenerationRequest':
        """Prepare a generation whose answer goes to the writer."""
        return GenerationRequest(self, request, query, writer)

    def call(self, call: Call, query: RouteQuery) -> Answer:
        """Run a call and wait for its answer; raises RefusedError."""
        deadline = time.monotonic() + call.deadline_seconds
        excluded: set[str] = set()
        refusal = RefusedError('no_backend', Outcome.not_run, '', 1)
        for _ in range(MAX_ATTEMPT_COUNT):
            view = self.choose(
                dataclasses.replace(query, excluded=frozenset(excluded))
            )
            if view is None:
                break
            try:
                return self._call_once(call, view, deadline)
            except RefusedError as error:
                refusal = error
            ATTEMPTS.labels(refusal.outcome).inc()
            repeatable = call.repeatable or refusal.outcome == Outcome.not_run
            if not repeatable:
                break
            excluded.add(view.vm.id)
        REFUSALS.labels(refusal.reason).inc()
        raise refusal

    def choose(self, query: RouteQuery) -> BackendView | None:
        """Choose a backend server for a generation."""
        return self._router.route(self._directory.views(), query)

    def follow(
        self, view: BackendView, message: Message, follower: GenerationFollower
    ) -> None:
        """Send a message and follow its request id; raises RefusedError."""
        link = view.link
        if link is None:
            raise RefusedError('no_link', Outcome.not_run, view.vm.id)
        request_id: str = message.request_id  # type: ignore[attr-defined]
        self._attempts.add(request_id, link, follower)
        view.pending_count += 1
        try:
            link.send(message)
        except LinkError as error:
            self.forget(view, request_id)
            # The frame was not queued, so the agent cannot have it.
            raise RefusedError(
                'no_link', Outcome.not_run, view.vm.id
            ) from error

    def forget(self, view: BackendView, request_id: str) -> None:
        """Stop to follow an attempt."""
        self._attempts.remove(request_id)
        view.pending_count -= 1

    def new_request_id(self) -> str:
        """Return an id that is never used again."""
        return self._make_request_id()

    def resend(self, generation: 'GenerationRequest') -> None:
        """Send a generation again from a worker thread."""
        self._pool.submit(generation.send)

    def _call_once(
        self, call: Call, view: BackendView, deadline: float
    ) -> Answer:
        remaining_seconds = deadline - time.monotonic()
        if remaining_seconds <= 0:
            raise RefusedError('deadline', Outcome.not_run)
        attempt = dataclasses.replace(
            call,
            request_id=self._make_request_id(),
            deadline_seconds=remaining_seconds,
        )
        follower = CallFollower()
        link = view.link
        if link is None:
            raise RefusedError('no_link', Outcome.not_run, view.vm.id)
        self._attempts.add(attempt.request_id, link, follower)
        try:
            link.send(attempt)
        except LinkError as error:
            raise RefusedError(
                'no_link', Outcome.not_run, view.vm.id
            ) from error
        else:
            return follower.wait_answer(remaining_seconds + GATE_REPLY_SECONDS)
        finally:
            self._attempts.remove(attempt.request_id)


class GenerationRequest:
    """Follow one caller's generation over its attempts."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        request: Generate,
        query: RouteQuery,
        writer: StreamAnswerWriter,
    ) -> None:
        self._dispatcher = dispatcher
        self._request = request
        self._query = query
        self._writer = writer
        self._deadline = time.monotonic() + request.deadline_seconds
        self._attempt_count = 0
        self._excluded: set[str] = set()
        self._lock = threading.Lock()
        self._current: tuple[BackendView, str] | None = None
        self._gone = False

    def send(self) -> None:
        """Send one attempt; end the answer when none is possible."""
        try:
            self._send_once()
        except RefusedError as refusal:
            self._conclude(refusal)

    def caller_gone(self) -> None:
        """Cancel the attempt in progress."""
        with self._lock:
            self._gone = True
            current = self._current
        if current is None:
            return
        view, request_id = current
        link = view.link
        if link is None:
            return
        try:
            link.send(Cancel(request_id))
        except LinkError as error:
            logger.info('entry: cancel lost: %s', error)

    def _send_once(self) -> None:
        remaining_seconds = self._deadline - time.monotonic()
        if remaining_seconds <= 0:
            raise RefusedError('deadline', Outcome.not_run)
        view = self._dispatcher.choose(
            dataclasses.replace(self._query, excluded=frozenset(self._excluded))
        )
        if view is None:
            raise RefusedError('no_backend', Outcome.not_run, '', 1)
        self._attempt_count += 1
        self._excluded.add(view.vm.id)
        request_id = self._dispatcher.new_request_id()
        with self._lock:
            self._current = (view, request_id)
        follower = GenerationFollower(self._writer, self._attempt_ended)
        self._dispatcher.follow(
            view,
            dataclasses.replace(
                self._request,
                request_id=request_id,
                deadline_seconds=remaining_seconds,
            ),
            follower,
        )
        if not follower.wait_decided(GATE_REPLY_SECONDS):
            self._withdraw(view, request_id)

    def _withdraw(self, view: BackendView, request_id: str) -> None:
        link = view.link
        if link is not None:
            try:
                link.send(Withdraw(request_id))
            except LinkError as error:
                logger.info('entry: withdrawal lost: %s', error)

    def _attempt_ended(
        self, follower: GenerationFollower, failure: RefusedError | None
    ) -> None:
        with self._lock:
            current = self._current
            self._current = None
        if current is not None:
            self._dispatcher.forget(*current)
        if failure is None:
            ATTEMPTS.labels(Outcome.run).inc()
            REQUESTS.labels('generation', 'answered').inc()
            return
        ATTEMPTS.labels(failure.outcome).inc()
        if self._may_retry(failure):
            self._dispatcher.resend(self)
            return
        self._conclude(failure)

    def _may_retry(self, failure: RefusedError) -> bool:
        # A generation has no effect but its answer, so it may run again
        # while its caller has seen nothing of it.
        return (
            not self._gone
            and not self._writer.started
            and self._attempt_count < MAX_ATTEMPT_COUNT
        )

    def _conclude(self, failure: RefusedError) -> None:
        REFUSALS.labels(failure.reason).inc()
        REQUESTS.labels('generation', failure.outcome).inc()
        self._writer.fail(
            STATUS_BY_REASON.get(failure.reason, DEFAULT_STATUS),
            error_body(
                failure.reason,
                failure.reason,
                failure.outcome,
                self._request.request_id,
            ),
            failure.retry_after_seconds,
        )
