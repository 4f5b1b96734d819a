"""Attempts to run a request at a backend server."""

import time
from collections.abc import Iterator
from contextlib import AbstractContextManager, contextmanager, nullcontext
from dataclasses import dataclass, field
from functools import partial

from wasabistream.exceptions import BackendError, NotRunError
from wasabistream.forwarding.advisory_guards import AdvisoryGuard
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.budgets import RepeatBudgets
from wasabistream.forwarding.cold_limiters import ColdLimiter
from wasabistream.forwarding.failure_rates import FailureRates
from wasabistream.forwarding.interfaces import (
    AttemptOptions,
    ServerClient,
    ServerExchange,
)
from wasabistream.forwarding.load_trackers import LoadTracker
from wasabistream.forwarding.poison_request_guards import PoisonRequestGuard
from wasabistream.forwarding.requests import Continuation, ForwardRequest
from wasabistream.forwarding.supervisors import RequestWatch
from wasabistream.scheduling.prompt_announcers import PromptAnnouncer

# Attempts that backend servers turn away without running them do not count
# against the route's attempt limit; no more attempts are made after this many.
MAX_TURNED_AWAY_COUNT = 3


@dataclass
class AttemptHistory:
    """Count the attempts of one request."""

    sent_count: int = 0
    turned_away_count: int = 0
    # Attempts that ran or may have run; only these count against the limit.
    run_count: int = 0
    # Attempts whose answers have not begun; they will count as runs.
    unanswered_count: int = 0
    endpoints: list[str] = field(default_factory=list)
    # Whether the head of the answer to the last attempt has arrived.
    has_begun: bool = False

    @property
    def may_have_run(self) -> bool:
        """Return whether any attempt may have run."""
        return self.run_count > 0


class AttemptSender:
    """Send attempts within the limits and record load and outcomes."""

    def __init__(
        self,
        client: ServerClient,
        load_tracker: LoadTracker,
        failure_rates: FailureRates,
        budgets: RepeatBudgets,
        cold: ColdLimiter,
        poison_guard: PoisonRequestGuard,
        advisories: AdvisoryGuard,
        announcer: PromptAnnouncer | None = None,
    ) -> None:
        self._client = client
        self._load_tracker = load_tracker
        self._failure_rates = failure_rates
        self._budgets = budgets
        self._cold = cold
        self._poison_guard = poison_guard
        self._advisories = advisories
        self._announcer = announcer

    def may_send(self, watch: RequestWatch, history: AttemptHistory) -> bool:
        """Return whether to send an attempt; a further one uses the budget."""
        request = watch.request
        if watch.is_ended or request.deadline.expired:
            return False
        if not history.sent_count:
            self._budgets.request(request.service)
            return True
        if history.turned_away_count >= MAX_TURNED_AWAY_COUNT:
            return False
        if not self._may_run_again(request, history.run_count):
            return False
        return self._budgets.try_take(request.service)

    def may_repeat(
        self, request: ForwardRequest, history: AttemptHistory
    ) -> bool:
        """Return whether the request may run again if its attempt fails."""
        return self._may_run_again(
            request, history.run_count + history.unanswered_count
        ) and self._budgets.allows(request.service)

    def may_repeat_after_next(
        self, request: ForwardRequest, history: AttemptHistory
    ) -> bool:
        """Return whether a repeat after the next run would be allowed."""
        return self._may_run_again(
            request, history.run_count + 1
        ) and self._budgets.allows(request.service)

    @contextmanager
    def open(
        self,
        server: BackendServer,
        watch: RequestWatch,
        history: AttemptHistory,
        continuation: Continuation | None = None,
    ) -> Iterator[ServerExchange]:
        """Send one attempt and close its exchange at the end of the block.

        Raises NotRunError when the request has not run at this backend
        server, and BackendError when it may have.
        """
        history.sent_count += 1
        history.endpoints.append(server.endpoint)
        history.has_begun = False
        self._cold.add_sent_request(server)
        with (
            self._track_load(server.endpoint, watch),
            self._announce(server, watch, continuation),
        ):
            exchange = self._open(server, watch, history, continuation)
            try:
                yield exchange
            finally:
                watch.attach('', None)
                exchange.close()

    def _announce(
        self,
        server: BackendServer,
        watch: RequestWatch,
        continuation: Continuation | None,
    ) -> AbstractContextManager[None]:
        if self._announcer is None:
            return nullcontext()
        return self._announcer.announce(server.endpoint, watch, continuation)

    @contextmanager
    def _track_load(self, endpoint: str, watch: RequestWatch) -> Iterator[None]:
        request = watch.request
        demand = request.demand
        self._load_tracker.add_sent_request(
            endpoint,
            request.request_id,
            demand.expected_tokens if demand else 0,
            demand.prompt_tokens if demand else 0,
        )
        try:
            yield
        finally:
            self._load_tracker.remove_sent_request(endpoint, request.request_id)

    def _open(
        self,
        server: BackendServer,
        watch: RequestWatch,
        history: AttemptHistory,
        continuation: Continuation | None,
    ) -> ServerExchange:
        started = time.monotonic()
        # A moved generation that continues here is not a further run.
        counts_as_run = continuation is None or not continuation.handle
        history.unanswered_count = int(counts_as_run)
        if continuation is not None and continuation.handle:
            watch.record_continuation(continuation.handle)
            # Its memory is at this server only. Other attempts are counted
            # when their server is chosen.
            self._advisories.add_sent_request(server)
        try:
            exchange = self._client.open(
                server,
                watch.request,
                AttemptOptions(
                    watch.request.deadline.remaining_seconds, continuation
                ),
                partial(watch.attach, server.endpoint),
            )
        except NotRunError:
            history.turned_away_count += 1
            self._failure_rates.record_unreachable(server.endpoint)
            raise
        except BackendError:
            history.run_count += counts_as_run
            if not watch.is_ended:
                self._failure_rates.record(server.endpoint, failed=True)
            raise
        finally:
            history.unanswered_count = 0
        watch.server_deadline_seconds = exchange.server_deadline_seconds
        self._advisories.record_answer(server, exchange.head.advisory, started)
        if exchange.head.not_run:
            history.turned_away_count += 1
            exchange.close()
            raise NotRunError(
                f'turned away with {exchange.head.status}',
                f'head after {time.monotonic() - started:.3f} s',
                server.endpoint,
            )
        history.run_count += counts_as_run
        history.has_begun = True
        return exchange

    def _may_run_again(self, request: ForwardRequest, run_count: int) -> bool:
        route = request.route
        if run_count and not route.repeatable:
            return False
        if self._poison_guard.refuses_repeat(request):
            return False
        return run_count < route.max_attempt_count
