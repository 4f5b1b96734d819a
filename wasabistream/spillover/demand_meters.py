"""Rates at which requests arrive at one entry."""

import math
import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from wasabistream.forwarding.requests import GenerationDemand

# Time constant of the rates.
DECAY_SECONDS = 2.0
# Time over which the slope is taken, and the least for any slope: right after
# a start, a few arrivals would look like a steep rise.
SLOPE_SECONDS = 4.0
MIN_SLOPE_SECONDS = 2.0
# Least time between two stored rates.
SAMPLE_SECONDS = 0.5
# Least time over which a rate is taken, so that the first request after a
# start does not count as an endless rate.
MIN_RATE_SECONDS = 0.5
# Most tokens that one request counts for.
MAX_REQUEST_TOKENS = 2**31


@dataclass(frozen=True, slots=True)
class ServiceDemand:
    """Hold the rate at which work for one service arrives."""

    prompt_tokens_per_second: float = 0
    expected_tokens_per_second: float = 0
    # Change of the prompt tokens per second, in each second.
    slope: float = 0
    requests_per_second: float = 0


NO_DEMAND = ServiceDemand()


@dataclass(slots=True)
class _Arrivals:
    """Hold decayed sums of the arrivals for one service."""

    started_seconds: float
    decayed_seconds: float
    prompt_tokens: float = 0
    expected_tokens: float = 0
    request_count: float = 0
    # Times and prompt tokens per second of the last reads.
    samples: deque[tuple[float, float]] = field(default_factory=deque)

    def decay(self, now: float) -> None:
        """Decay the sums until now."""
        ratio = math.exp((self.decayed_seconds - now) / DECAY_SECONDS)
        self.prompt_tokens *= ratio
        self.expected_tokens *= ratio
        self.request_count *= ratio
        self.decayed_seconds = now


class DemandMeter:
    """Measure the arrivals at this entry, by service."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._started_seconds = clock()
        self._arrivals: dict[str, _Arrivals] = {}

    def record_arrival(self, service: str, demand: GenerationDemand) -> None:
        """Count one request."""
        with self._lock:
            arrivals = self._find(service)
            arrivals.prompt_tokens += _limit_tokens(demand.prompt_tokens)
            arrivals.expected_tokens += _limit_tokens(demand.expected_tokens)
            arrivals.request_count += 1

    def read(self, service: str) -> ServiceDemand:
        """Return the present rates; the slope rests on the reads before."""
        with self._lock:
            arrivals = self._find(service)
            now = arrivals.decayed_seconds
            # Equals the time constant after a long time, and less right after
            # the start, so that the rates do not begin too low.
            age_seconds = max(now - arrivals.started_seconds, MIN_RATE_SECONDS)
            seconds = DECAY_SECONDS * (
                1 - math.exp(-age_seconds / DECAY_SECONDS)
            )
            rate = arrivals.prompt_tokens / seconds
            return ServiceDemand(
                rate,
                arrivals.expected_tokens / seconds,
                _take_slope(arrivals.samples, now, rate),
                arrivals.request_count / seconds,
            )

    def _find(self, service: str) -> _Arrivals:
        now = self._clock()
        arrivals = self._arrivals.get(service)
        if arrivals is None:
            arrivals = _Arrivals(self._started_seconds, now)
            self._arrivals[service] = arrivals
        arrivals.decay(now)
        return arrivals


def _limit_tokens(tokens: int) -> int:
    # Callers may state any numbers; larger ones exceed a float.
    return min(max(tokens, 0), MAX_REQUEST_TOKENS)


def _take_slope(
    samples: deque[tuple[float, float]], now: float, rate: float
) -> float:
    """Store a rate and return its change since the oldest one in the window."""
    while samples and samples[0][0] < now - SLOPE_SECONDS:
        samples.popleft()
    if not samples or now - samples[-1][0] >= SAMPLE_SECONDS:
        samples.append((now, rate))
    then, earlier_rate = samples[0]
    if now - then < MIN_SLOPE_SECONDS:
        return 0
    return (rate - earlier_rate) / (now - then)
