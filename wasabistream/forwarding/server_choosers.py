"""Load balancing: choice of the backend server for a request."""

import dataclasses
import random
from collections import Counter
from collections.abc import Collection, Iterable

from wasabistream.continuations.stream_origins import may_continue
from wasabistream.forwarding.advisory_guards import AdvisoryGuard
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.cold_limiters import ColdLimiter
from wasabistream.forwarding.failure_rates import FailureRates
from wasabistream.forwarding.first_event_paces import FirstEventPaces
from wasabistream.forwarding.fleets import Fleet, FleetHolder
from wasabistream.forwarding.load_trackers import LoadEstimate, LoadTracker
from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.route_queries.server_verdicts import Exclusion, ServerVerdict
from wasabistream.scheduling.engine_outlooks import EngineOutlook
from wasabistream.scheduling.scheduled_choosers import (
    DEFAULT_MEMORY_TOKENS,
    ScheduledChooser,
    can_start_in_time,
)
from wasabistream.scheduling.scheduling_parts import (
    NOT_SCHEDULED,
    SchedulingParts,
)

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


class ServerChooser:
    """Choose backend servers by load, failure rate and data centre.

    A request with an origin gets only servers that may continue its stream.
    """

    def __init__(
        self,
        fleet: FleetHolder,
        load_tracker: LoadTracker,
        failure_rates: FailureRates,
        cold: ColdLimiter,
        advisories: AdvisoryGuard,
        paces: FirstEventPaces,
        data_centre: str,
        *,
        scheduling: SchedulingParts = NOT_SCHEDULED,
    ) -> None:
        self._fleet = fleet
        self._load_tracker = load_tracker
        self._failure_rates = failure_rates
        self._cold = cold
        self._advisories = advisories
        self._paces = paces
        self._data_centre = data_centre
        self._scheduled = ScheduledChooser(
            failure_rates, cold, advisories, scheduling
        )

    def choose(
        self, request: ForwardRequest, excluded: Collection[str] = ()
    ) -> BackendServer | None:
        """Return the best backend server, or None if none is available.

        For a generation of a scheduled service it is sampled by expected loss.
        """
        if self._scheduled.applies(request):
            selected = self._scheduled.select(
                self.predict_all(request, excluded)
            )
            return selected.server if selected else None
        candidates = self._find_candidates(request, excluded)
        if not candidates:
            return None
        costs = self._find_costs(request, candidates)
        return candidates[costs.index(min(costs))].server

    def predict_all(
        self, request: ForwardRequest, excluded: Collection[str] = ()
    ) -> list[EngineOutlook]:
        """Return the engines that can start a generation in time.

        Changes nothing. Returns none for a request that is no generation.
        """
        available = self._find_available(request, excluded)
        return [
            outlook
            for outlook in self._scheduled.predict(request, available)
            if can_start_in_time(request, outlook, available[outlook.server])
        ]

    def predict_taken(
        self, request: ForwardRequest, server: BackendServer
    ) -> EngineOutlook | None:
        """Return what happens at the engine that a generation is sent to.

        To be called before it is sent. Returns None for requests that are not
        scheduled.
        """
        if not self._scheduled.applies(request):
            return None
        estimate = self._load_tracker.estimate(server.endpoint)
        usable = self._fleet.current.usable_servers(request.service)
        outlooks = self._scheduled.predict(
            request,
            {server: estimate},
            Counter(
                other.data_centre
                for other in usable
                if _may_serve(request, other)
            ),
        )
        return outlooks[0] if outlooks else None

    def start_wait_seconds(self, request: ForwardRequest) -> float:
        """Return the shortest wait of a generation that cannot start in time.

        Returns 0 if an engine can start it in time, if none is available, and
        for requests that are not scheduled.
        """
        if not self._scheduled.applies(request):
            return 0
        available = self._find_available(request, ())
        outlooks = self._scheduled.predict(request, available)
        if any(
            can_start_in_time(request, outlook, available[outlook.server])
            for outlook in outlooks
        ):
            return 0
        return min(
            (outlook.first_event_seconds for outlook in outlooks), default=0
        )

    def explain(self, request: ForwardRequest) -> list[ServerVerdict]:
        """Return each server of the service with its cost or its exclusion.

        The filters and the cost are those of a first attempt in `choose`;
        nothing is counted.
        """
        fleet = self._fleet.current
        verdicts = self._examine(
            fleet,
            request,
            fleet.usable_servers(request.service),
            try_unreachable=True,
        )
        if self._scheduled.applies(request):
            verdicts = self._exclude_too_late(request, verdicts)
        candidates = _select_candidates(verdicts)
        costs = self._find_costs(request, candidates)
        unusable = [
            ServerVerdict(
                server,
                self._load_tracker.estimate(server.endpoint),
                exclusion,
            )
            for server, exclusion in fleet.unusable_servers(request.service)
        ]
        return [
            *(
                dataclasses.replace(candidate, cost=cost)
                for candidate, (cost, _) in zip(candidates, costs)
            ),
            *(verdict for verdict in verdicts if verdict.exclusion),
            *unusable,
        ]

    def take(
        self, request: ForwardRequest, excluded: Collection[str] = ()
    ) -> BackendServer | None:
        """Choose a backend server and count the request at its limit."""
        if self._scheduled.applies(request):
            outlooks = self.predict_all(request, excluded)
            taken = self.take_from(request, outlooks)
            return taken.server if taken else None
        while True:
            server = self.choose(request, excluded)
            # Another request may have used the server's limit meanwhile.
            if server is None or self._advisories.try_take(server):
                return server

    def take_from(
        self, request: ForwardRequest, outlooks: Iterable[EngineOutlook]
    ) -> EngineOutlook | None:
        """Sample one of these engines and count the request at its limit."""
        return self._scheduled.take_from(request, outlooks)

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

    def describe(
        self, server: BackendServer, outlook: EngineOutlook | None = None
    ) -> dict[str, object]:
        """Return what a choice of a server rests on, as log fields."""
        estimate = self._load_tracker.estimate(server.endpoint)
        age_seconds = estimate.report_age_seconds
        fields: dict[str, object] = {
            'server_running_count': estimate.request_count,
            'server_waiting_count': estimate.waiting_count,
            'server_memory_tokens': estimate.memory_tokens,
            'report_age_seconds': (
                None if age_seconds is None else round(age_seconds, 3)
            ),
        }
        if outlook is not None:
            fields['predicted_first_event_seconds'] = round(
                outlook.first_event_seconds, 3
            )
            fields['loss'] = round(outlook.loss, 3)
            fields['server_backlog_tokens'] = estimate.backlog_tokens
        return fields

    def _find_candidates(
        self, request: ForwardRequest, excluded: Collection[str]
    ) -> list[ServerVerdict]:
        fleet = self._fleet.current
        usable = [
            server
            for server in fleet.usable_servers(request.service)
            if not excluded or server.endpoint not in excluded
        ]
        return _select_candidates(
            self._examine(fleet, request, usable, try_unreachable=not excluded)
        )

    def _find_available(
        self, request: ForwardRequest, excluded: Collection[str]
    ) -> dict[BackendServer, LoadEstimate]:
        return {
            candidate.server: candidate.estimate
            for candidate in self._find_candidates(request, excluded)
        }

    def _exclude_too_late(
        self, request: ForwardRequest, verdicts: list[ServerVerdict]
    ) -> list[ServerVerdict]:
        in_time = {
            outlook.server.endpoint for outlook in self.predict_all(request)
        }
        return [
            verdict
            if verdict.exclusion or verdict.server.endpoint in in_time
            else dataclasses.replace(verdict, exclusion=Exclusion.too_late)
            for verdict in verdicts
        ]

    def _examine(
        self,
        fleet: Fleet,
        request: ForwardRequest,
        servers: list[BackendServer],
        *,
        try_unreachable: bool,
    ) -> list[ServerVerdict]:
        """Return which of the usable servers are candidates, without costs."""
        service = fleet.find_service(request.service)
        cold_rate = service.cold_requests_per_second if service else 0
        exclusions = [
            self._find_server_exclusion(request, server, cold_rate)
            for server in servers
        ]
        # If no server is reachable, the first attempt tries one anyway to
        # detect a recovery; further attempts would only delay the refusal.
        if try_unreachable and None not in exclusions:
            exclusions = [
                None if exclusion == Exclusion.unreachable else exclusion
                for exclusion in exclusions
            ]
        is_scheduled = self._scheduled.applies(request)
        verdicts = []
        for server, exclusion in zip(servers, exclusions):
            estimate = self._load_tracker.estimate(server.endpoint)
            verdicts.append(
                ServerVerdict(
                    server,
                    estimate,
                    exclusion
                    or self._find_load_exclusion(
                        request, estimate, is_scheduled=is_scheduled
                    ),
                )
            )
        return verdicts

    def _find_server_exclusion(
        self,
        request: ForwardRequest,
        server: BackendServer,
        cold_rate: float,
    ) -> Exclusion | None:
        if not _may_serve(request, server):
            return Exclusion.other_version
        if not self._cold.admits(server, cold_rate):
            return Exclusion.cold_rate
        advised = self._advisories.find_exclusion(server)
        if advised is not None:
            return advised
        if not self._load_tracker.has_certain_address(server):
            return Exclusion.uncertain_address
        if self._failure_rates.is_unreachable(server.endpoint):
            return Exclusion.unreachable
        return None

    def _find_load_exclusion(
        self,
        request: ForwardRequest,
        estimate: LoadEstimate,
        *,
        is_scheduled: bool,
    ) -> Exclusion | None:
        if estimate.leaving:
            return Exclusion.leaving
        if not estimate.responsive:
            return Exclusion.silent
        # The start of a scheduled generation is predicted for all candidates.
        if not (is_scheduled or self._can_begin_in_time(request, estimate)):
            return Exclusion.too_late
        return None

    def _find_costs(
        self, request: ForwardRequest, candidates: list[ServerVerdict]
    ) -> list[tuple[float, float]]:
        data_centres = Counter(
            candidate.server.data_centre for candidate in candidates
        )
        return [
            self._cost(
                candidate.server,
                candidate.estimate,
                request,
                is_sole_server=data_centres[candidate.server.data_centre] == 1,
            )
            for candidate in candidates
        ]

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


def _may_serve(request: ForwardRequest, server: BackendServer) -> bool:
    return request.origin is None or may_continue(request.origin, server)


def _select_candidates(
    verdicts: Iterable[ServerVerdict],
) -> list[ServerVerdict]:
    return [verdict for verdict in verdicts if verdict.exclusion is None]


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
