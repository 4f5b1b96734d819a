"""Builders of engines and entries for the tests of the selection."""

import dataclasses
import random
from collections import Counter

from tests.forwarding_builders import (
    ENGINE_SERVICE,
    OWN_DATA_CENTRE,
    Clock,
    build_advisories,
    build_cold_limiter,
    build_configuration,
    build_fleet,
    build_report,
    build_request,
    build_route,
    build_server,
)
from wasabistream.forwarding.advisory_guards import AdvisoryGuard
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.cold_limiters import ColdLimiter
from wasabistream.forwarding.failure_rates import FailureRates
from wasabistream.forwarding.first_event_paces import FirstEventPaces
from wasabistream.forwarding.fleets import FleetHolder
from wasabistream.forwarding.load_trackers import LoadTracker
from wasabistream.forwarding.requests import ForwardRequest, GenerationDemand
from wasabistream.forwarding.routes import Route, RouteKind
from wasabistream.forwarding.server_choosers import ServerChooser
from wasabistream.paces.engine_paces import UNKNOWN_PACE, EnginePace
from wasabistream.retries import Deadline
from wasabistream.scheduling.scheduled_services import ScheduledServices
from wasabistream.scheduling.scheduling_parts import SchedulingParts

TIMEOUT_SECONDS = 40.0
USUAL_PACE = EnginePace(0.03, 0.06, 7000, 100, 190, 1)


def build_stream_route(
    name: str, priority: int, target_seconds: float
) -> Route:
    """Return a streaming route to the engines with a target gap of 180 ms."""
    return dataclasses.replace(
        build_route(RouteKind.streaming, service=ENGINE_SERVICE),
        name=name,
        priority=priority,
        timeout_seconds=TIMEOUT_SECONDS,
        target_latency_seconds=target_seconds,
        target_gap_seconds=0.18,
    )


TAG_ROUTE = build_stream_route('tags', 0, 1.5)
LETTER_ROUTE = build_stream_route('letters', 1, 1.8)
DIGEST_ROUTE = build_stream_route('digests', 1, 4)


def build_generation(
    route: Route, prompt_tokens: int, output_tokens: int, age_seconds: float = 0
) -> ForwardRequest:
    """Return a generation that its caller asked for some time ago."""
    return dataclasses.replace(
        build_request(route),
        demand=GenerationDemand(prompt_tokens, output_tokens, 0),
        deadline=Deadline(TIMEOUT_SECONDS - age_seconds),
    )


def build_tag() -> ForwardRequest:
    """Return a request with a short answer."""
    return build_generation(TAG_ROUTE, 2200, 2)


def build_letter(age_seconds: float = 0) -> ForwardRequest:
    """Return a request with a long answer."""
    return build_generation(LETTER_ROUTE, 3000, 187, age_seconds)


def scale_pace(factor: float, pace: EnginePace = USUAL_PACE) -> EnginePace:
    """Return the pace of an engine whose steps take `factor` as long."""
    return dataclasses.replace(
        pace,
        event_seconds=pace.event_seconds * factor,
        prompt_event_seconds=pace.prompt_event_seconds * factor,
        prompt_tokens_per_second=pace.prompt_tokens_per_second / factor,
        output_tokens_per_second=pace.output_tokens_per_second / factor,
    )


def build_engines(count: int) -> list[BackendServer]:
    """Return engines of one data centre."""
    return [
        build_server(number, service=ENGINE_SERVICE)
        for number in range(1, count + 1)
    ]


class FakePaces:
    """Paces that the test sets."""

    def __init__(self, paces: dict[str, EnginePace]) -> None:
        self.paces = paces

    def pace(self, endpoint: str) -> EnginePace:
        """Return the pace of an engine."""
        return self.paces.get(endpoint, UNKNOWN_PACE)


class FakeRemoteLosses:
    """Remote losses by data centre; records what is dispatched."""

    def __init__(self, losses: dict[str, float] | None = None) -> None:
        self._losses = losses or {}
        self.dispatched: list[str] = []

    def remote_loss(self, request: ForwardRequest, data_centre: str) -> float:
        """Return the loss that the test set for the data centre."""
        return self._losses.get(data_centre, 0)

    def record_dispatch(
        self, request: ForwardRequest, server: BackendServer
    ) -> None:
        """Record a dispatch."""
        self.dispatched.append(server.server_id)


@dataclasses.dataclass
class SchedulingEntry:
    """An entry with its own view of the load of engines."""

    engines: list[BackendServer]
    seed: int = 1
    routes: tuple[Route, ...] = (TAG_ROUTE, DIGEST_ROUTE)
    clock: Clock = dataclasses.field(default_factory=Clock)
    failure_rates: FailureRates = dataclasses.field(
        default_factory=FailureRates
    )
    cold: ColdLimiter = dataclasses.field(default_factory=build_cold_limiter)
    advisories: AdvisoryGuard = dataclasses.field(
        default_factory=build_advisories
    )
    remote_losses: FakeRemoteLosses = dataclasses.field(
        default_factory=FakeRemoteLosses
    )

    def __post_init__(self) -> None:
        """Create a chooser; all engines are idle and have the usual pace."""
        self.holder = FleetHolder()
        self.holder.current = dataclasses.replace(
            build_fleet(*self.engines),
            configuration=build_configuration(*self.routes),
        )
        self.cold.on_fleet_changed(self.holder.current)
        self.advisories.on_fleet_changed(self.holder.current)
        self.load = LoadTracker(self.clock)
        self.paces = FakePaces(
            {engine.endpoint: USUAL_PACE for engine in self.engines}
        )
        self.scheduled = ScheduledServices(self.holder, self.paces, self.clock)
        self.chooser = self.build_chooser(
            SchedulingParts(
                self.paces,
                self.scheduled,
                self.remote_losses,
                random.Random(self.seed),
            )
        )
        for engine in self.engines:
            self.report(engine)

    def build_chooser(self, parts: SchedulingParts) -> ServerChooser:
        """Return a chooser with this view."""
        return ServerChooser(
            self.holder,
            self.load,
            self.failure_rates,
            self.cold,
            self.advisories,
            FirstEventPaces(),
            OWN_DATA_CENTRE,
            scheduling=parts,
        )

    def report(
        self,
        engine: BackendServer,
        *,
        running_count: int = 0,
        used_tokens: int = 0,
        backlog_tokens: int = 0,
        reserved_tokens: int = 0,
        growth_tokens: int = 0,
    ) -> None:
        """Receive a load report of an engine."""
        report = dataclasses.replace(
            build_report(used_tokens=used_tokens, running_count=running_count),
            backlog_tokens=backlog_tokens,
            reserved_tokens=reserved_tokens,
            growth_tokens=growth_tokens,
        )
        self.load.report(engine.endpoint, report)

    def sample(self, request: ForwardRequest, count: int = 400) -> Counter[str]:
        """Return how often each engine is chosen."""
        chosen = [self.chooser.choose(request) for _ in range(count)]
        return Counter(server.server_id for server in chosen if server)
