"""Cost of sending a request to another data centre."""

import threading
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass

from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.metrics import REMOTE_REQUESTS
from wasabistream.spillover.spillover_plans import SpilloverPlan

# Time over which dispatches are compared with the shares.
DISPATCH_WINDOW_SECONDS = 2.0
# Added beyond the share of the plan, in lost requests.
BEYOND_SHARE_LOSS = 0.2
# Assumed until a route has answered.
DEFAULT_BYTES_PER_TOKEN = 120.0
# Part of the sums that each new answer leaves of those before.
ANSWER_DECAY = 0.95
BYTES_PER_GIGABYTE = 10**9
# A route with a target latency of 0 must not divide by it.
MIN_TARGET_SECONDS = 0.001
# Sums of larger numbers, which callers may state, exceed a float.
MAX_OUTPUT_TOKENS = 2**31


@dataclass(frozen=True, slots=True)
class RemoteCosts:
    """Hold what the traffic between data centres costs."""

    # Lost requests that one gigabyte is worth; 0 if it is free.
    gigabyte_cost: float = 25.0
    # One-way delay.
    delay_seconds: float = 0.001


class AnswerSizes:
    """Learn the bytes of answers for each expected output token, by route.

    The ratio to the expected tokens, not the produced ones, makes the product
    with the expected tokens an estimate of the bytes.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # Decayed sums of bytes and of expected tokens.
        self._sums: dict[tuple[str, str], tuple[float, float]] = {}

    def record(self, request: ForwardRequest, byte_count: int) -> None:
        """Record the bytes of a complete answer."""
        tokens = expected_output_tokens(request)
        if not tokens:
            return
        key = (request.service, request.route.name)
        with self._lock:
            byte_sum, token_sum = self._sums.get(key, (0, 0))
            self._sums[key] = (
                byte_sum * ANSWER_DECAY + byte_count,
                token_sum * ANSWER_DECAY + tokens,
            )

    def estimate(self, request: ForwardRequest) -> float:
        """Return the expected bytes of an answer."""
        sums = self._sums.get((request.service, request.route.name))
        ratio = sums[0] / sums[1] if sums else DEFAULT_BYTES_PER_TOKEN
        return expected_output_tokens(request) * ratio


class DispatchWindow:
    """Count the last dispatches of each service by data centre."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._dispatches: dict[str, deque[tuple[float, str]]] = {}
        self._counts: dict[str, Counter[str]] = {}

    def add(self, service: str, data_centre: str) -> None:
        """Count a dispatch."""
        with self._lock:
            counts = self._trim(service)
            self._dispatches[service].append((self._clock(), data_centre))
            counts[data_centre] += 1

    def ratio(self, service: str, data_centre: str) -> float:
        """Return the part of the dispatches that went to a data centre."""
        with self._lock:
            counts = self._trim(service)
            return counts[data_centre] / max(counts.total(), 1)

    def _trim(self, service: str) -> Counter[str]:
        counts = self._counts.setdefault(service, Counter())
        dispatches = self._dispatches.setdefault(service, deque())
        oldest = self._clock() - DISPATCH_WINDOW_SECONDS
        while dispatches and dispatches[0][0] < oldest:
            _, data_centre = dispatches.popleft()
            counts[data_centre] -= 1
        return counts


class SpilloverLosses:
    """Price requests to other data centres by bytes, delay and the plan."""

    def __init__(
        self,
        own_data_centre: str,
        costs: RemoteCosts,
        find_plan: Callable[[str], SpilloverPlan | None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._own_data_centre = own_data_centre
        self._costs = costs
        self._find_plan = find_plan
        self._sizes = AnswerSizes()
        self._window = DispatchWindow(clock)

    def remote_loss(self, request: ForwardRequest, data_centre: str) -> float:
        """Return the cost in lost requests; 0 for the own data centre."""
        if data_centre == self._own_data_centre:
            return 0
        byte_count = len(request.body) + self._sizes.estimate(request)
        loss = byte_count * self._costs.gigabyte_cost / BYTES_PER_GIGABYTE
        target_seconds = request.route.target_latency_seconds
        loss += (
            2
            * self._costs.delay_seconds
            / max(target_seconds, MIN_TARGET_SECONDS)
        )
        if self._is_share_used(request.service, data_centre):
            loss += BEYOND_SHARE_LOSS
        return loss

    def record_dispatch(
        self, request: ForwardRequest, server: BackendServer
    ) -> None:
        """Count a request that is sent to a server."""
        self._window.add(request.service, server.data_centre)
        if server.data_centre != self._own_data_centre:
            REMOTE_REQUESTS.labels(request.service, server.data_centre).inc()

    def record_answer(self, request: ForwardRequest, byte_count: int) -> None:
        """Learn from the bytes of a complete answer."""
        self._sizes.record(request, byte_count)

    def _is_share_used(self, service: str, data_centre: str) -> bool:
        # Without a plan, no share is known to be free.
        plan = self._find_plan(service)
        share = plan.share(data_centre) if plan else 0
        if not share:
            return True
        # A share of 1 cannot be used up.
        return share < 1 and self._window.ratio(service, data_centre) >= share


def expected_output_tokens(request: ForwardRequest) -> int:
    """Return the output tokens that a request is expected to need."""
    demand = request.demand
    if demand is None:
        return 0
    # Callers may state any numbers.
    tokens = demand.expected_tokens - demand.prompt_tokens
    return min(max(tokens, 0), MAX_OUTPUT_TOKENS)
