"""Builders of test data for the start queue, and a fleet in memory."""

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Sequence
from dataclasses import replace
from unittest.mock import Mock

from tests.forwarding_builders import (
    ENGINE_SERVICE,
    MEMORY_TOKENS,
    Clock,
    build_configuration,
    build_request,
    build_route,
    build_server,
)
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.fleets import Fleet, FleetHolder
from wasabistream.forwarding.requests import ForwardRequest, GenerationDemand
from wasabistream.forwarding.routes import Route, RouteKind
from wasabistream.queueing.start_fleets import EntryStartFleet
from wasabistream.queueing.start_lines import StartLine, StartTicket
from wasabistream.queueing.urgent_arrivals import UrgentArrivals
from wasabistream.queueing.waiting_requests import WaitingRequest
from wasabistream.retries import Deadline
from wasabistream.scheduling.engine_outlooks import EngineOutlook

# Prompt tokens that an engine processes per second; the fast one leaves memory
# as the only limit.
PROMPT_RATE = 7000
FAST_PROMPT_RATE = 1_000_000
STEP_SECONDS = 0.02
LONG_TOKENS = 3800
URGENT_TOKENS = 2900
# Memory that is not used by requests of the test.
OTHER = 'other'
TARGET_SECONDS = 4.0
LONG_ROUTE = replace(
    build_route(RouteKind.streaming, service=ENGINE_SERVICE),
    name='digests',
    timeout_seconds=39,
    target_latency_seconds=TARGET_SECONDS,
    priority=2,
)
URGENT_ROUTE = replace(
    LONG_ROUTE,
    name='tags',
    timeout_seconds=6,
    target_latency_seconds=1.5,
    priority=1,
)


def build_waiting(
    request_id: str = 'request-1', **changes: object
) -> WaitingRequest:
    """Return the facts of a long request that arrives at time 100."""
    facts = WaitingRequest(
        request_id=request_id,
        service=ENGINE_SERVICE,
        organisation='org',
        priority=2,
        route_priority=2,
        expected_tokens=LONG_TOKENS,
        arrived_at_seconds=100,
        asked_at_seconds=100,
        target_seconds=TARGET_SECONDS,
        deadline_at_seconds=139,
    )
    return replace(facts, **changes)  # type: ignore[arg-type]


def build_outlook(
    server: BackendServer,
    first_event_seconds: float = 0.5,
    late_chance: float = 0,
    free_tokens: int = 10000,
) -> EngineOutlook:
    """Return the outlook of a request on one engine."""
    return EngineOutlook(
        server,
        first_event_seconds,
        late_chance,
        own_pause_chance=0,
        disturbed_count=0,
        memory_excess_ratio=0,
        remote_loss=0,
        loss=first_event_seconds + late_chance + (free_tokens < 0),
        free_tokens=free_tokens,
    )


class FakeStartFleet(EntryStartFleet):
    """Engines that run each generation for a fixed time."""

    def __init__(
        self,
        clock: Callable[[], float],
        engine_count: int = 1,
        run_seconds: float = 2.5,
        prompt_rate: float = PROMPT_RATE,
    ) -> None:
        self.clock = clock
        self.run_seconds = run_seconds
        self.prompt_rate = prompt_rate
        # Endpoint, organisation, tokens and end of each generation.
        self.runs: dict[str, tuple[str, str, int, float]] = {}
        self.prompts_until_seconds: dict[str, float] = defaultdict(float)
        self.servers = [
            build_server(number, service=ENGINE_SERVICE)
            for number in range(1, engine_count + 1)
        ]
        self.load = Mock()
        self.cold = Mock()
        self.cold.is_cold.return_value = False
        holder = FleetHolder()
        holder.current = Fleet(
            build_configuration(LONG_ROUTE, URGENT_ROUTE),
            {server.server_id: server for server in self.servers},
        )
        trackers = Mock(load=self.load, cold=self.cold)
        super().__init__(
            holder, Mock(), trackers, lambda: 1, lambda: self.count(1)
        )

    def predict_all(
        self, request: ForwardRequest, excluded: Collection[str] = ()
    ) -> list[EngineOutlook]:
        """Return the outlook on each engine, without side effects."""
        used_tokens = self.count(0)
        demand, route = _demand(request), request.route
        age_seconds = route.timeout_seconds - request.deadline.remaining_seconds
        outlooks = []
        for server in self.servers:
            queued_until = self.prompts_until_seconds[server.endpoint]
            first_event_seconds = max(queued_until - self.clock(), 0) + (
                demand.prompt_tokens / self.prompt_rate
            )
            event_age_seconds = age_seconds + first_event_seconds
            late_chance = float(
                event_age_seconds > route.target_latency_seconds
            )
            free_tokens = MEMORY_TOKENS - used_tokens[server.endpoint]
            free_tokens -= demand.expected_tokens
            if server.endpoint not in excluded:
                outlooks.append(
                    build_outlook(
                        server, first_event_seconds, late_chance, free_tokens
                    )
                )
        return outlooks

    def take_from(
        self, request: ForwardRequest, outlooks: Sequence[EngineOutlook]
    ) -> EngineOutlook:
        """Return the engine with the least loss."""
        return min(outlooks, key=lambda outlook: outlook.loss)

    def count(self, column: int) -> Counter[str]:
        """Return running tokens by endpoint (0) or organisation (1)."""
        tokens: Counter[str] = Counter()
        for run in self.runs.values():
            tokens[str(run[column])] += run[2] * (run[3] > self.clock())
        return tokens

    def add_sent_request(
        self, server: BackendServer, request: ForwardRequest
    ) -> None:
        """Run a generation at an engine, which must not have left."""
        assert server in self.servers
        endpoint, demand = server.endpoint, _demand(request)
        self.prompts_until_seconds[endpoint] = (
            max(self.prompts_until_seconds[endpoint], self.clock())
            + demand.prompt_tokens / self.prompt_rate
        )
        self.runs[request.request_id] = (
            endpoint,
            request.organisation,
            demand.expected_tokens,
            self.prompts_until_seconds[endpoint] + self.run_seconds,
        )

    def remove_sent_request(
        self, server: BackendServer, request: ForwardRequest
    ) -> None:
        """End a generation, or withdraw one that was not sent."""
        self.runs.pop(request.request_id, None)

    def occupy(self, tokens: int) -> None:
        """Use memory of the first engine."""
        endpoint = self.servers[0].endpoint
        self.runs[OTHER] = (endpoint, OTHER, tokens, math.inf)


class QueueCase:
    """Advance a line of waiting requests step by step on a fake clock."""

    def __init__(
        self,
        engine_count: int = 1,
        run_seconds: float = 2.5,
        prompt_rate: float = FAST_PROMPT_RATE,
    ) -> None:
        self.clock = Clock()
        self.fleet = FakeStartFleet(
            self.clock, engine_count, run_seconds, prompt_rate
        )
        self.arrivals = UrgentArrivals()
        self.line = StartLine(self.fleet, self.arrivals, lambda: 0.5)
        self.end_seconds: dict[StartTicket, float] = {}
        self.tickets: list[StartTicket] = []
        self.sent_count = 0
        # More urgent requests for which no engine had memory.
        self.displaced_count = 0

    def add(
        self,
        tokens: int = LONG_TOKENS,
        organisation: str = 'org',
        is_ended: Callable[[], bool] = bool,
    ) -> StartTicket:
        """Add a long request that arrives now."""
        request = replace(
            self._build(LONG_ROUTE, tokens), organisation=organisation
        )
        ticket = self.line.add(request, is_ended, self.clock())
        self.tickets.append(ticket)
        self._note_ends()
        return ticket

    def send_at_once(self, route: Route, tokens: int) -> None:
        """Send a request to the best engine, past the line."""
        request = self._build(route, tokens)
        outlooks = self.fleet.predict_all(request)
        if route == URGENT_ROUTE:
            self.arrivals.record(request, self.clock())
            free_tokens = max(outlook.free_tokens for outlook in outlooks)
            self.displaced_count += free_tokens < 0
        taken = self.fleet.take_from(request, outlooks)
        self.fleet.add_sent_request(taken.server, request)

    def step(self, seconds: float = STEP_SECONDS) -> None:
        """Advance the time and scan the line."""
        self.clock.advance(seconds)
        self.line.scan(self.clock())
        self._note_ends()

    def run(self, seconds: float) -> None:
        """Scan the line for some time."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.step()

    def waited_seconds(self, ticket: StartTicket) -> float:
        """Return how long a request waited until its wait ended."""
        return self.end_seconds[ticket] - ticket.facts.arrived_at_seconds

    def reasons(self) -> Counter[str]:
        """Return the reasons for which waits ended."""
        return Counter(map(reason_of, self.end_seconds))

    def _build(self, route: Route, tokens: int) -> ForwardRequest:
        self.sent_count += 1
        return replace(
            build_request(route, f'request-{self.sent_count}'),
            demand=GenerationDemand(tokens * 3 // 4, tokens // 4, 0),
            deadline=Deadline(route.timeout_seconds, self.clock),
        )

    def _note_ends(self) -> None:
        for ticket in self.tickets:
            if ticket.start is not None:
                self.line.pick_up(ticket)
                self.end_seconds.setdefault(ticket, self.clock())


def reason_of(ticket: StartTicket) -> str:
    """Return why a wait ended; '' if it has not."""
    return (ticket.start and ticket.start.reason) or ''


def _demand(request: ForwardRequest) -> GenerationDemand:
    return request.demand or GenerationDemand(0, 0, 0)
