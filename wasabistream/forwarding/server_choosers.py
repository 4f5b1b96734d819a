"""Load balancing: choice of the backend server for a request."""

import random
from collections import Counter
from collections.abc import Collection, Sequence

from wasabistream.forwarding.advisory_guards import AdvisoryGuard
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.cold_limiters import ColdLimiter
from wasabistream.forwarding.failure_rates import FailureRates
from wasabistream.forwarding.first_event_paces import FirstEventPaces
from wasabistream.forwarding.fleets import FleetHolder
from wasabistream.forwarding.load_trackers import LoadEstimate, LoadTracker
from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.scheduling.engine_outlooks import EngineOutlook

# Cost of a failure rate of 1, in requests in progress.
FAILURE_COST = 12.0
# The same for engines, whose full memory and full slots cost 1 each. An engine
# that resets its requests looks idle, so a few failures outweigh its low load.
ENGINE_FAILURE_COST = 6.0
# Cost of another data centre, in requests in progress.
REMOTE_COST = 0.4
# Costs of full memory and of full slots. A generation whose memory does not fit
# waits or preempts another.
MEMORY_WEIGHT = 1.0
SLOT_WEIGHT = 1.0
# Cost of needing more than the memory, times the excess as a ratio of it.
MEMORY_OVERFLOW_COST = 4.0
# Cost of each prompt that is queued ahead; processing one takes up to half a
# second.
WAITING_COST = 0.6
# Cost of a cold engine, which processes prompts at half speed or less.
COLD_COST = 0.5
# Cost of each request at the only engine of a data centre: its generations take
# twice as long to move when it leaves, so it gets fewer.
SOLE_SERVER_COST = 0.16
REMOTE_ENGINE_COST = 0.03
# Assumed memory of an engine whose agent has not reported.
DEFAULT_MEMORY_TOKENS = 32768


class ServerChooser:
    """Choose backend servers by load, failure rate and data centre."""

    def __init__(
        self,
        fleet: FleetHolder,
        load_tracker: LoadTracker,
        failure_rates: FailureRates,
        cold: ColdLimiter,
        advisories: AdvisoryGuard,
        paces: FirstEventPaces,
        data_centre: str,
    ) -> None:
        self._fleet = fleet
        self._load_tracker = load_tracker
        self._failure_rates = failure_rates
        self._cold = cold
        self._advisories = advisories
        self._paces = paces
        self._data_centre = data_centre

    def choose(
        self, request: ForwardRequest, excluded: Collection[str] = ()
    ) -> BackendServer | None:
        """Return the best backend server, or None if none is available."""
        fleet = self._fleet.current
        service = fleet.find_service(request.service)
        cold_rate = service.cold_requests_per_second if service else 0
        servers = [
            server
            for server in fleet.usable_servers(request.service)
            if server.endpoint not in excluded
            and self._cold.admits(server, cold_rate)
            and self._advisories.admits(server)
            and self._load_tracker.has_certain_address(server)
        ]
        reachable = [
            server
            for server in servers
            if not self._failure_rates.is_unreachable(server.endpoint)
        ]
        # If no server is reachable, the first attempt tries one anyway to
        # detect a recovery; further attempts would only delay the refusal.
        if not reachable and not excluded:
            reachable = servers
        candidates = self._find_available(request, reachable)
        if not candidates:
            return None
        data_centres = Counter(server.data_centre for server in candidates)
        return min(
            candidates,
            key=lambda server: self._cost(
                server,
                candidates[server],
                request,
                is_sole_server=data_centres[server.data_centre] == 1,
            ),
        )

    def take(
        self, request: ForwardRequest, excluded: Collection[str] = ()
    ) -> BackendServer | None:
        """Choose a backend server and count the request at its limit."""
        while True:
            server = self.choose(request, excluded)
            # Another request may have used the server's limit meanwhile.
            if server is None or self._advisories.try_take(server):
                return server

    def predict_all(
        self, request: ForwardRequest, excluded: Collection[str] = ()
    ) -> list[EngineOutlook]:
        """Return the outlooks of all candidates; none without predictions."""
        return list[EngineOutlook]()

    def take_from(
        self, request: ForwardRequest, outlooks: Sequence[EngineOutlook]
    ) -> EngineOutlook | None:
        """Select an engine and count the request at its stated limit."""
        return next(iter(outlooks), None)

    def has_other(
        self, request: ForwardRequest, excluded: Collection[str]
    ) -> bool:
        """Return whether a server outside the excluded ones is available."""
        return self.choose(request, excluded) is not None

    def count_waiting(self, server: BackendServer) -> int:
        """Return the number of prompts that wait at a server."""
        return self._load_tracker.estimate(server.endpoint).waiting_count

    def record_first_event(
        self, request: ForwardRequest, waiting_count: int, seconds: float
    ) -> None:
        """Record that a generation began `seconds` after it was sent."""
        self._paces.record(request.service, waiting_count, seconds)

    def describe(self, server: BackendServer) -> dict[str, object]:
        """Return what a choice of a server rests on, as log fields."""
        estimate = self._load_tracker.estimate(server.endpoint)
        age_seconds = estimate.report_age_seconds
        return {
            'server_running_count': estimate.request_count,
            'server_waiting_count': estimate.waiting_count,
            'server_memory_tokens': estimate.memory_tokens,
            'report_age_seconds': (
                None if age_seconds is None else round(age_seconds, 3)
            ),
        }

    def _find_available(
        self, request: ForwardRequest, servers: list[BackendServer]
    ) -> dict[BackendServer, LoadEstimate]:
        estimates = {
            server: self._load_tracker.estimate(server.endpoint)
            for server in servers
        }
        return {
            server: estimate
            for server, estimate in estimates.items()
            if not estimate.leaving
            and estimate.responsive
            and self._can_begin_in_time(request, estimate)
        }

    def _can_begin_in_time(
        self, request: ForwardRequest, estimate: LoadEstimate
    ) -> bool:
        # Without a report, requests in progress cannot be told from those that
        # wait.
        if request.demand is None or estimate.report_age_seconds is None:
            return True
        return self._paces.can_begin_in_time(request, estimate.waiting_count)

    def _cost(
        self,
        server: BackendServer,
        estimate: LoadEstimate,
        request: ForwardRequest,
        *,
        is_sole_server: bool,
    ) -> tuple[float, float]:
        remote = server.data_centre != self._data_centre
        failure_rate = self._failure_rates.rate(server.endpoint)
        if request.demand is None:
            cost = estimate.request_count + FAILURE_COST * failure_rate
            cost += REMOTE_COST * remote
        else:
            cost = _engine_cost(
                estimate, server, request.demand.expected_tokens
            )
            cost += COLD_COST * self._cold.is_cold(server)
            cost += ENGINE_FAILURE_COST * failure_rate
            cost += REMOTE_ENGINE_COST * remote
            if is_sole_server:
                cost += SOLE_SERVER_COST * estimate.request_count
        return cost, random.random()


def _engine_cost(
    estimate: LoadEstimate, server: BackendServer, tokens: int
) -> float:
    capacity = estimate.memory_capacity_tokens or DEFAULT_MEMORY_TOKENS
    memory_ratio = (estimate.memory_tokens + tokens) / capacity
    slot_ratio = estimate.request_count / max(server.slot_count, 1)
    cost = MEMORY_WEIGHT * memory_ratio + SLOT_WEIGHT * slot_ratio
    cost += WAITING_COST * estimate.waiting_count
    if memory_ratio > 1:
        cost += MEMORY_OVERFLOW_COST * (memory_ratio - 1)
    return cost
