"""Choice of a backend server for a request."""

import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from wasabistream.backends import BackendView


@dataclass(frozen=True)
class RouteQuery:
    """Describe what a request needs of a backend server."""

    data_centre: str
    model: str = ''
    adapter: str = ''
    service: str = ''
    prefix: int = 0
    excluded: frozenset[str] = frozenset()


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
    memory_ratio = load.memory_used_tokens / max(load.memory_capacity_tokens, 1)
    waiting_count = load.queued_count + view.unreported_count
    return memory_ratio + waiting_count / max(load.ramp_limit_count, 1)


@routing_policy('balanced')
class BalancedPolicy:
    """Take the less loaded of two random candidates."""

    def choose(
        self, candidates: Sequence[BackendView], query: RouteQuery
    ) -> BackendView:
        """Return one of the candidates."""
        if len(candidates) == 1:
            return candidates[0]
        return min(random.sample(list(candidates), 2), key=estimated_load)


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
        local = [
            view
            for view in candidates
            if view.vm.data_centre == query.data_centre
        ]
        chosen_from = local or candidates
        if not chosen_from:
            return None
        view = self._policy.choose(chosen_from, query)
        view.unreported_count += 1
        return view


def _matches(view: BackendView, query: RouteQuery) -> bool:
    serving = view.serving
    if not view.usable or serving is None or view.vm.id in query.excluded:
        return False
    if query.service:
        return serving.service == query.service
    if query.adapter and query.adapter not in serving.adapters:
        return False
    return query.model in serving.models
