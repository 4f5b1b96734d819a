"""Services whose generations are placed by predicted loss."""

import logging
import statistics
import threading
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from wasabistream.forwarding.fleets import FleetHolder
from wasabistream.paces.engine_paces import UNKNOWN_PACE, EnginePace
from wasabistream.scheduling.interfaces import PaceSource

logger = logging.getLogger(__name__)

# A service is evaluated again after this time at the earliest.
EVALUATION_SECONDS = 0.5
# Fewer engines do not show whether they differ in speed.
MIN_KNOWN_COUNT = 4
# Part of the engines that is compared at each end.
COMPARED_RATIO = 0.25
# Ratio of the slowest to the fastest engines from which on a service is
# scheduled, and below which it no longer is.
START_RATIO = 1.5
END_RATIO = 1.3
# Time without enough known engines after which a service is not scheduled.
UNKNOWN_LIMIT_SECONDS = 10.0

DEFERRABLE_REASON = 'deferrable route'
PACE_REASON = 'engines differ in speed'
NO_REASON = ''


@dataclass(slots=True)
class _ServiceState:
    evaluated_seconds: float
    # Time at which enough engines were last known.
    known_seconds: float
    has_uneven_engines: bool = False
    reason: str = NO_REASON
    median_pace: EnginePace = UNKNOWN_PACE


class ScheduledServices:
    """Decide which services are scheduled, and know their median pace."""

    def __init__(
        self,
        fleet: FleetHolder,
        pace_source: PaceSource,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._fleet = fleet
        self._pace_source = pace_source
        self._clock = clock
        self._lock = threading.Lock()
        self._states: dict[str, _ServiceState] = {}

    def is_scheduled(self, service: str) -> bool:
        """Return whether a service is scheduled."""
        return bool(self.find_reason(service))

    def find_reason(self, service: str) -> str:
        """Return why a service is scheduled; empty if it is not."""
        return self._find_state(service).reason

    def median_pace(self, service: str) -> EnginePace:
        """Return the median of each known value of a service's engines."""
        return self._find_state(service).median_pace

    def _find_state(self, service: str) -> _ServiceState:
        with self._lock:
            now = self._clock()
            state = self._states.get(service)
            if state is None:
                state = _ServiceState(now, now)
                self._states[service] = state
            elif now - state.evaluated_seconds < EVALUATION_SECONDS:
                return state
            state.evaluated_seconds = now
            self._evaluate(service, state, now)
            return state

    def _evaluate(self, service: str, state: _ServiceState, now: float) -> None:
        fleet = self._fleet.current
        paces = [
            self._pace_source.pace(server.endpoint)
            for server in fleet.usable_servers(service)
        ]
        times = [pace.event_seconds for pace in paces if pace.event_seconds]
        ratio = compare_slowest(times)
        if len(times) >= MIN_KNOWN_COUNT:
            state.known_seconds = now
            limit = END_RATIO if state.has_uneven_engines else START_RATIO
            state.has_uneven_engines = ratio >= limit
        elif now - state.known_seconds >= UNKNOWN_LIMIT_SECONDS:
            state.has_uneven_engines = False
        state.median_pace = build_median_pace(paces)
        configuration = fleet.configuration
        reason = PACE_REASON if state.has_uneven_engines else NO_REASON
        if configuration and service in configuration.deferrable_services:
            reason = DEFERRABLE_REASON
        if reason != state.reason:
            state.reason = reason
            logger.info(
                'scheduling: service is %s',
                'scheduled' if reason else 'not scheduled',
                extra={
                    'service': service,
                    'reason': reason,
                    'known_engine_count': len(times),
                    'speed_ratio': round(ratio, 2),
                },
            )


def compare_slowest(event_seconds: Sequence[float]) -> float:
    """Return the ratio of the slowest quarter's median to the fastest's.

    Returns 1 if fewer than MIN_KNOWN_COUNT engines are known.
    """
    if len(event_seconds) < MIN_KNOWN_COUNT:
        return 1
    times = sorted(event_seconds)
    compared_count = int(len(times) * COMPARED_RATIO)
    slowest = statistics.median(times[-compared_count:])
    return slowest / statistics.median(times[:compared_count])


def build_median_pace(paces: Sequence[EnginePace]) -> EnginePace:
    """Return the median of each value over the engines that know it."""
    return EnginePace(
        event_seconds=_known_median(pace.event_seconds for pace in paces),
        prompt_event_seconds=_known_median(
            pace.prompt_event_seconds for pace in paces
        ),
        prompt_tokens_per_second=_known_median(
            pace.prompt_tokens_per_second for pace in paces
        ),
        output_tokens_per_second=_known_median(
            pace.output_tokens_per_second for pace in paces
        ),
        output_tokens=_known_median(pace.output_tokens for pace in paces),
        prompts_per_second=_known_median(
            pace.prompts_per_second for pace in paces
        ),
    )


def _known_median(numbers: Iterable[float]) -> float:
    known = [number for number in numbers if number]
    return statistics.median(known) if known else 0
