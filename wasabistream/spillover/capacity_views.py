"""Capacity of the data centres for a service."""

import time
from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from statistics import median

from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.fleets import FleetHolder
from wasabistream.forwarding.load_trackers import LoadEstimate, LoadTracker
from wasabistream.paces.engine_paces import EnginePace
from wasabistream.scheduling.interfaces import PaceSource
from wasabistream.spillover.spillover_plans import DataCentreCapacity

# Assumed rate while no engine of a service has a known one.
DEFAULT_PROMPT_TOKENS_PER_SECOND = 7000.0
# An engine's memory counts as used up to this multiple of its capacity. Until an
# engine reports a request, it counts with the tokens that its caller states,
# which may be any number.
MAX_MEMORY_RATIO = 2
# A cold engine prefills at half speed.
COLD_RATIO = 0.5
# Engines that are read per second at most, on average over the services. One
# takes about 10 microseconds, so a fleet of 4,700 engines read each second
# would take more than a daemon's share of a core.
MAX_ENGINES_PER_SECOND = 1000
# Measurements are due this much earlier, as plans are made once a second.
EARLY_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class _Engine:
    server: BackendServer
    estimate: LoadEstimate
    pace: EnginePace


@dataclass(frozen=True, slots=True)
class _Measurement:
    valid_until_seconds: float
    capacities: Mapping[str, DataCentreCapacity]


class CapacityView:
    """Sum what the usable engines of each data centre can do."""

    def __init__(
        self,
        fleet: FleetHolder,
        load_tracker: LoadTracker,
        paces: PaceSource,
        is_cold: Callable[[BackendServer], bool],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._fleet = fleet
        self._load_tracker = load_tracker
        self._paces = paces
        self._is_cold = is_cold
        self._clock = clock
        self._measurements: dict[str, _Measurement] = {}

    def list_services(self) -> list[str]:
        """Return the services with engines."""
        configuration = self._fleet.current.configuration
        if configuration is None:
            return []
        return [
            service.name
            for service in configuration.services.values()
            if service.engine is not None
        ]

    def measure(self, service: str) -> Mapping[str, DataCentreCapacity]:
        """Return the capacity of each data centre with usable engines.

        In a fleet of thousands of engines it may be some seconds old.
        """
        now = self._clock()
        last = self._measurements.get(service)
        if last is not None and now < last.valid_until_seconds:
            return last.capacities
        server_count = len(self._fleet.current.servers)
        valid_seconds = server_count / MAX_ENGINES_PER_SECOND - EARLY_SECONDS
        capacities = self._sum_engines(service)
        self._measurements[service] = _Measurement(
            now + valid_seconds, capacities
        )
        return capacities

    def _sum_engines(self, service: str) -> dict[str, DataCentreCapacity]:
        engines = self._find_usable(service)
        typical = EnginePace(
            event_seconds=_known_median(
                [engine.pace.event_seconds for engine in engines], 0
            ),
            prompt_tokens_per_second=_known_median(
                [engine.pace.prompt_tokens_per_second for engine in engines],
                DEFAULT_PROMPT_TOKENS_PER_SECOND,
            ),
        )
        by_data_centre: dict[str, list[_Engine]] = defaultdict(list)
        for member in engines:
            by_data_centre[member.server.data_centre].append(member)
        found = self._fleet.current.find_service(service)
        profile = found.engine if found else None
        listed_tokens = profile.memory_tokens if profile else 0
        return {
            data_centre: DataCentreCapacity(
                sum(self._prompt_rate(engine, typical) for engine in members),
                sum(
                    _memory_tokens(engine.estimate, listed_tokens)
                    for engine in members
                ),
                sum(
                    _capacity_tokens(engine.estimate, listed_tokens)
                    for engine in members
                ),
            )
            for data_centre, members in by_data_centre.items()
        }

    def _find_usable(self, service: str) -> list[_Engine]:
        engines = [
            _Engine(
                server,
                self._load_tracker.estimate(server.endpoint),
                self._paces.pace(server.endpoint),
            )
            for server in self._fleet.current.usable_servers(service)
        ]
        return [
            engine
            for engine in engines
            if engine.estimate.responsive and not engine.estimate.leaving
        ]

    def _prompt_rate(self, engine: _Engine, typical: EnginePace) -> float:
        rate = engine.pace.prompt_tokens_per_second
        if not rate:
            rate = typical.prompt_tokens_per_second
            if engine.pace.event_seconds:
                rate *= typical.event_seconds / engine.pace.event_seconds
        return rate * COLD_RATIO if self._is_cold(engine.server) else rate


def _capacity_tokens(estimate: LoadEstimate, listed_tokens: int) -> int:
    return estimate.memory_capacity_tokens or listed_tokens


def _memory_tokens(estimate: LoadEstimate, listed_tokens: int) -> int:
    tokens = (
        estimate.memory_tokens
        + estimate.reserved_tokens
        + estimate.growth_tokens
    )
    limit = MAX_MEMORY_RATIO * _capacity_tokens(estimate, listed_tokens)
    return min(tokens, limit)


def _known_median(values: list[float], default: float) -> float:
    known = [value for value in values if value]
    return median(known) if known else default
