"""Dispatch of requests to agents, with safe retries."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from wasabistream.answers import error_body
from wasabistream.attempts import AttemptTable
from wasabistream.backends import BackendDirectory, BackendView
from wasabistream.call_senders import CallSender
from wasabistream.choosers import BackendChooser
from wasabistream.entry_quarantines import EntryQuarantine
from wasabistream.exceptions import AttemptError, LinkError
from wasabistream.generation_senders import GenerationSender
from wasabistream.links import Link
from wasabistream.messages import Message
from wasabistream.metrics import REFUSALS, REQUESTS
from wasabistream.notices import Hello
from wasabistream.outcomes import Outcome
from wasabistream.reply_handlers import (
    GenerationReplyHandler,
    StreamAnswerWriter,
)
from wasabistream.requests import Call, Generate, ServiceAnswer
from wasabistream.retries import Deadline, RetryBudget
from wasabistream.routers import RouteQuery, Router
from wasabistream.send_queues import Expiry
from wasabistream.vms import Vm
from wasabistream.withdrawals import SecondLinkWithdrawal

# Time in which a gate must accept or refuse an attempt.
GATE_REPLY_TIMEOUT_SECONDS = 2.0
RESEND_THREAD_COUNT = 8
OVERDUE_POLL_SECONDS = 1.0

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
    """Send requests of callers to agents and keep track of them.

    `link_remote_agents` starts to open links to agents of other data centres
    and returns whether it has started any. `request_quarantine` refuses
    requests that crash engines.
    """

    gate_reply_timeout_seconds = GATE_REPLY_TIMEOUT_SECONDS

    def __init__(
        self,
        router: Router,
        directory: BackendDirectory,
        attempts: AttemptTable,
        make_request_id: Callable[[], str],
        make_hello: Callable[[], Hello],
        link_remote_agents: Callable[[RouteQuery], bool],
        request_quarantine: EntryQuarantine,
    ) -> None:
        self.request_quarantine = request_quarantine
        self._attempts = attempts
        self._make_request_id = make_request_id
        self._make_hello = make_hello
        self._resend_pool = ThreadPoolExecutor(
            RESEND_THREAD_COUNT, 'redispatch'
        )
        self._lock = threading.Lock()
        # Generations in progress, so that a drain waits for them even between
        # two attempts.
        self._in_progress: dict[str, GenerationSender] = {}
        self._stopped = threading.Event()
        self.budget = RetryBudget()
        self.chooser = BackendChooser(router, directory, link_remote_agents)
        self._call_sender = CallSender(
            self.chooser, attempts, self.budget, make_request_id
        )

    def start(self) -> None:
        """Start the thread that ends generations past their deadline."""
        threading.Thread(
            target=self._end_overdue_generations, name='deadlines', daemon=True
        ).start()

    def stop(self) -> None:
        """Stop the threads."""
        self._stopped.set()
        self._resend_pool.shutdown(wait=False)

    def requests_in_progress(self) -> list[str]:
        """Return the ids of generations in progress."""
        with self._lock:
            return list(self._in_progress)

    def prepare(
        self, request: Generate, query: RouteQuery, writer: StreamAnswerWriter
    ) -> GenerationSender:
        """Return a sender for a generation, before its first attempt."""
        generation = GenerationSender(self, request, query, writer)
        self.budget.deposit()
        with self._lock:
            self._in_progress[generation.request_id] = generation
        return generation

    def on_generation_ended(self, generation: GenerationSender) -> None:
        """Record the end of a generation's answer."""
        with self._lock:
            self._in_progress.pop(generation.request_id, None)

    def call(self, call: Call, query: RouteQuery) -> ServiceAnswer:
        """Send a call and wait for its answer; raises AttemptError."""
        self.budget.deposit()
        try:
            return self._call_sender.call(call, query)
        except AttemptError as failure:
            REFUSALS.labels(failure.reason).inc()
            raise

    def start_attempt(
        self,
        view: BackendView,
        link: Link,
        message: Generate,
        handler: GenerationReplyHandler,
        deadline: Deadline,
    ) -> None:
        """Send an attempt under its own request id, not that of its request.

        If it cannot be sent, nothing is raised; its handler gets the error.
        """
        request_id = message.request_id
        self._add_attempt(request_id, view, link, handler)

        def on_expired() -> None:
            if self._attempts.remove(request_id):
                handler.end(AttemptError('deadline', Outcome.not_run))

        try:
            link.send(message, Expiry(deadline.at_seconds, on_expired))
        except LinkError:
            # The frame was not queued, so the agent cannot have it. If the
            # attempt is not in the table, the end of the link has ended it.
            if self._attempts.remove(request_id):
                handler.end(
                    AttemptError('no_link', Outcome.not_run, view.vm.id)
                )

    def send_resume(
        self,
        view: BackendView,
        message: Message,
        handler: GenerationReplyHandler,
    ) -> None:
        """Send a `Resume` as an attempt; the handler gets the replies.

        Raises AttemptError if there is no link to the agent.
        """
        link = view.link
        request_id: str = message.request_id  # type: ignore[attr-defined]
        if link is None:
            raise AttemptError('no_link', Outcome.not_run, view.vm.id)
        self._add_attempt(request_id, view, link, handler)
        try:
            link.send(message)
        except LinkError as error:
            if self._attempts.remove(request_id):
                raise AttemptError(
                    'no_link', Outcome.not_run, view.vm.id
                ) from error

    def remove_attempt(self, view: BackendView, request_id: str) -> None:
        """Ignore later messages of the attempt with this request id."""
        self._attempts.remove(request_id)

    def withdraw_over_second_link(
        self, vm: Vm, request_id: str, incarnation: str
    ) -> Outcome:
        """Withdraw an attempt over a second link; return its outcome."""
        withdrawal = SecondLinkWithdrawal(request_id, incarnation)
        return withdrawal.run(vm, self._make_hello())

    def fail(
        self,
        writer: StreamAnswerWriter,
        failure: AttemptError,
        outcome: Outcome,
        request_id: str,
    ) -> None:
        """Write to a caller why its answer is not complete.

        `outcome` and `request_id` are those of the request over all attempts.
        """
        REFUSALS.labels(failure.reason).inc()
        REQUESTS.labels('generation', outcome).inc()
        writer.fail(
            STATUS_BY_REASON.get(failure.reason, DEFAULT_STATUS),
            error_body(failure.reason, failure.reason, outcome, request_id),
            failure.retry_after_seconds,
        )

    def new_request_id(self) -> str:
        """Return an unused id for a request or for one of its attempts."""
        return self._make_request_id()

    def resend(self, generation: GenerationSender) -> bool:
        """Send the next attempt of a generation from a worker thread.

        Returns False if the worker threads have been stopped.
        """
        try:
            self._resend_pool.submit(generation.send)
        except RuntimeError:
            return False
        return True

    def _add_attempt(
        self,
        request_id: str,
        view: BackendView,
        link: Link,
        handler: GenerationReplyHandler,
    ) -> None:
        view.on_attempt_started()
        self._attempts.add(request_id, link, handler, view.on_attempt_ended)

    def _end_overdue_generations(self) -> None:
        while not self._stopped.wait(OVERDUE_POLL_SECONDS):
            with self._lock:
                generations = list(self._in_progress.values())
            for generation in generations:
                generation.end_if_overdue()
