"""Choice of a backend server for a request."""

import itertools
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from wasabistream.backends import BackendView

# Roles of engines that run whole generations; empty when not stated.
GENERATION_ROLES = frozenset(('decode', 'mixed', ''))
# A server that holds the prompt's prefix is preferred only while its load is
# at most this far above the mean, so that one hot prefix spreads.
AFFINITY_LOAD_MARGIN = 0.2
# Sends in one report interval that affinity may give to one server. About 16
# entries decide at the same time on the same lagged report.
AFFINITY_UNREPORTED_COUNT = 4
# Candidates whose mean load stands for that of all.
MEAN_SAMPLE_COUNT = 16


@dataclass(frozen=True)
class RouteQuery:
    """Describe what a request needs of a backend server."""

    data_centre: str
    model: str = ''
    adapter: str = ''
    service: str = ''
    prefix: int = 0
    excluded: frozenset[str] = frozenset()
    # True once backend servers of the own data centre have refused.
    spill: bool = False


class RoutingPolicy(Protocol):
    """Choose one of several usable backend servers."""

    def choose(
        self, candidates: Sequence[BackendView], query: RouteQuery
    ) -> BackendView:
        """Return one of the candidates, of which there is at least one."""


_policies: dict[str, Callable[[], RoutingPolicy]] = {}


def routing_policy(
    name: str,
) -> Callable[[type[RoutingPolicy]], type[RoutingPolicy]]:
    """Register a routing policy under a name."""

    def register(policy_type: type[RoutingPolicy]) -> type[RoutingPolicy]:
        _policies[name] = policy_type
        return policy_type

    return register


def make_policy(name: str) -> RoutingPolicy:
    """Build a registered policy; raises KeyError."""
    return _policies[name]()


def estimated_load(view: BackendView) -> float:
    """Return reported load plus own sends that the report lacks."""
    load = view.load
    limit_count = max(load.ramp_limit_count, 1)
    memory_ratio = load.memory_used_tokens / max(load.memory_capacity_tokens, 1)
    # A cold server is full by its ramp long before its memory is.
    used_ratio = max(memory_ratio, load.running_count / limit_count)
    waiting_count = load.queued_count + view.unreported_count
    return used_ratio + waiting_count / limit_count


@routing_policy('balanced')
class BalancedPolicy:
    """Take the less loaded of two random candidates.

    Candidates that hold the prefix of the prompt go first while they are not
    much more loaded than the others.
    """

    def choose(
        self, candidates: Sequence[BackendView], query: RouteQuery
    ) -> BackendView:
        """Return one of the candidates."""
        if query.prefix:
            holders = [view for view in candidates if view.holds(query.prefix)]
            if holders:
                holder = _less_loaded(holders)
                if _may_prefer(holder, candidates):
                    return holder
        return _less_loaded(candidates)


def _less_loaded(candidates: Sequence[BackendView]) -> BackendView:
    if len(candidates) == 1:
        return candidates[0]
    return min(random.sample(candidates, 2), key=estimated_load)


def _may_prefer(holder: BackendView, candidates: Sequence[BackendView]) -> bool:
    if holder.unreported_count >= AFFINITY_UNREPORTED_COUNT:
        return False
    sample_count = min(len(candidates), MEAN_SAMPLE_COUNT)
    loads = [
        estimated_load(view) for view in random.sample(candidates, sample_count)
    ]
    mean_load = sum(loads) / sample_count
    return estimated_load(holder) <= mean_load + AFFINITY_LOAD_MARGIN


@routing_policy('round_robin')
class RoundRobinPolicy:
    """Take the candidates in turn."""

    def __init__(self) -> None:
        self._turns = itertools.count()

    def choose(
        self, candidates: Sequence[BackendView], query: RouteQuery
    ) -> BackendView:
        """Return one of the candidates."""
        ordered = sorted(candidates, key=lambda view: view.vm.id)
        return ordered[next(self._turns) % len(ordered)]


@routing_policy('least_requests')
class LeastRequestsPolicy:
    """Take the candidate with the fewest requests of this entry."""

    def choose(
        self, candidates: Sequence[BackendView], query: RouteQuery
    ) -> BackendView:
        """Return one of the candidates."""
        return min(candidates, key=lambda view: view.pending_count)


class Router:
    """Filter usable backend servers and let a policy choose."""

    def __init__(self, policy_name: str) -> None:
        self._policy = make_policy(policy_name)

    def route(
        self, views: Sequence[BackendView], query: RouteQuery
    ) -> BackendView | None:
        """Return a backend server, or None when there is none."""
        candidates = [view for view in views if _matches(view, query)]
        if not candidates:
            return None
        local = [
            view
            for view in candidates
            if view.vm.data_centre == query.data_centre
        ]
        remote = [
            view
            for view in candidates
            if view.vm.data_centre != query.data_centre
        ]
        near, far = (remote, local) if query.spill else (local, remote)
        chosen_from = _returned(near) or _returned(far) or near or far
        return self._policy.choose(chosen_from, query)


def _returned(views: Sequence[BackendView]) -> list[BackendView]:
    # A server that has just returned to service takes part in a growing
    # share of the choices, so that its work does not come all at once.
    now = time.monotonic()
    return [view for view in views if random.random() < view.share(now)]


def _matches(view: BackendView, query: RouteQuery) -> bool:
    serving = view.serving
    if not view.usable or serving is None or view.vm.id in query.excluded:
        return False
    if query.service:
        return serving.service == query.service
    if query.adapter and query.adapter not in serving.adapters:
        return False
    return serving.role in GENERATION_ROLES and query.model in serving.models
