"""Routing of requests to backend servers."""

import itertools
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from wasabistream.backends import BackendView
from wasabistream.notices import ServingReport

# Roles of engines to which entries send generations; '' stands for an engine
# that states no role.
GENERATION_ROLES = frozenset(('decode', 'mixed', ''))
# Prefix affinity applies only while the load of the server with the cached
# prefix exceeds the mean by at most this much, so that the requests of a
# frequent prefix spread over several servers.
MAX_AFFINITY_EXCESS_LOAD = 0.2
# Prefix affinity does not apply once this entry has sent this many requests to
# the server that its last load report lacks. The limit is low because about 16
# entries choose by the same old report at the same time.
MAX_AFFINITY_UNREPORTED_COUNT = 4
# Candidates sampled to estimate the mean load.
LOAD_SAMPLE_COUNT = 16


@dataclass(frozen=True)
class RouteQuery:
    """Describe which backend servers can serve a request."""

    # Data centre of the entry. Its servers are preferred, not required.
    data_centre: str
    model: str = ''
    adapter: str = ''
    service: str = ''
    # Hash of the model and the start of the prompt; 0 disables affinity.
    prefix: int = 0
    # Ids of the VMs, and so of the agents, that have had an attempt of the
    # request.
    excluded: frozenset[str] = frozenset()
    # True after repeated overload refusals in the entry's data centre.
    prefer_remote: bool = False


class RoutingPolicy(Protocol):
    """Choose one of the backend servers that can serve a request."""

    def choose(
        self, candidates: Sequence[BackendView], query: RouteQuery
    ) -> BackendView:
        """Return one of the candidates; the sequence is never empty."""

    def load(self, view: BackendView) -> float:
        """Return the load by which candidates are compared; 0 for none."""

    def preview(
        self, candidates: Sequence[BackendView], query: RouteQuery
    ) -> BackendView:
        """Return the most probable choice; changes nothing."""


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
    """Build a registered policy; raises KeyError for an unknown name."""
    return _policies[name]()


def estimate_load(view: BackendView) -> float:
    """Return the reported load plus sent requests that the report lacks.

    A server whose memory or request limit is used up has 1; requests that
    wait or are not reported yet add to it.
    """
    load = view.load
    limit_count = max(load.ramp_limit_count, 1)
    memory_ratio = load.memory_used_tokens / max(load.memory_capacity_tokens, 1)
    # While a cold server ramps up, its request limit is reached long before
    # its memory is full.
    used_ratio = max(memory_ratio, load.running_count / limit_count)
    waiting_count = load.queued_count + view.unreported_count
    return used_ratio + waiting_count / limit_count


@routing_policy('balanced')
class BalancedPolicy:
    """Choose the less loaded of two random candidates.

    Candidates whose engine has the prompt's prefix cached are preferred
    while they are not much more loaded than the others.
    """

    def choose(
        self, candidates: Sequence[BackendView], query: RouteQuery
    ) -> BackendView:
        """Return one of the candidates."""
        if query.prefix:
            cached = [
                view for view in candidates if view.has_prefix(query.prefix)
            ]
            if cached:
                preferred = _choose_less_loaded(cached)
                if _is_affinity_allowed(preferred, candidates):
                    return preferred
        return _choose_less_loaded(candidates)

    def load(self, view: BackendView) -> float:
        """Return the estimated load."""
        return estimate_load(view)

    def preview(
        self, candidates: Sequence[BackendView], query: RouteQuery
    ) -> BackendView:
        """Return the least loaded candidate; ignores cached prefixes."""
        return min(candidates, key=estimate_load)


def _choose_less_loaded(candidates: Sequence[BackendView]) -> BackendView:
    if len(candidates) == 1:
        return candidates[0]
    return min(random.sample(candidates, 2), key=estimate_load)


def _is_affinity_allowed(
    preferred: BackendView, candidates: Sequence[BackendView]
) -> bool:
    if preferred.unreported_count >= MAX_AFFINITY_UNREPORTED_COUNT:
        return False
    sample_count = min(len(candidates), LOAD_SAMPLE_COUNT)
    loads = [
        estimate_load(view) for view in random.sample(candidates, sample_count)
    ]
    mean_load = sum(loads) / sample_count
    return estimate_load(preferred) <= mean_load + MAX_AFFINITY_EXCESS_LOAD


@routing_policy('round_robin')
class RoundRobinPolicy:
    """Choose the candidates in turn, ordered by VM id."""

    def __init__(self) -> None:
        self._counter = itertools.count()
        self._last_number = -1

    def choose(
        self, candidates: Sequence[BackendView], query: RouteQuery
    ) -> BackendView:
        """Return one of the candidates."""
        number = next(self._counter)
        self._last_number = number
        return _pick_in_turn(candidates, number)

    def load(self, view: BackendView) -> float:
        """Return 0, as loads are not compared."""
        return 0

    def preview(
        self, candidates: Sequence[BackendView], query: RouteQuery
    ) -> BackendView:
        """Return the candidate whose turn it is."""
        return _pick_in_turn(candidates, self._last_number + 1)


def _pick_in_turn(
    candidates: Sequence[BackendView], number: int
) -> BackendView:
    ordered = sorted(candidates, key=lambda view: view.vm.id)
    return ordered[number % len(ordered)]


@routing_policy('least_requests')
class LeastRequestsPolicy:
    """Choose the candidate with the fewest open attempts of this entry."""

    def choose(
        self, candidates: Sequence[BackendView], query: RouteQuery
    ) -> BackendView:
        """Return one of the candidates."""
        return min(candidates, key=self.load)

    def load(self, view: BackendView) -> float:
        """Return the number of open attempts of this entry."""
        return view.pending_count

    def preview(
        self, candidates: Sequence[BackendView], query: RouteQuery
    ) -> BackendView:
        """Return the candidate that is chosen."""
        return self.choose(candidates, query)


class Router:
    """Filter backend servers by a query and let a policy choose one.

    Servers in the entry's data centre are preferred unless the query prefers
    remote ones. The others are used if slow start leaves out all preferred
    ones. If it leaves out every server, it does not apply.
    """

    def __init__(self, policy_name: str) -> None:
        self._policy = make_policy(policy_name)

    def route(
        self, views: Sequence[BackendView], query: RouteQuery
    ) -> BackendView | None:
        """Return a backend server, or None if none can serve the query."""
        preferred, fallback = _split_candidates(views, query)
        eligible = (
            _sample_by_slow_start(preferred)
            or _sample_by_slow_start(fallback)
            or preferred
            or fallback
        )
        return self._policy.choose(eligible, query) if eligible else None

    def preview(
        self, views: Sequence[BackendView], query: RouteQuery
    ) -> BackendView | None:
        """Return the most probable choice of `route`; changes nothing."""
        preferred, fallback = _split_candidates(views, query)
        now = time.monotonic()
        eligible = (
            [view for view in preferred if view.slow_start_share(now) == 1]
            or preferred
            or fallback
        )
        return self._policy.preview(eligible, query) if eligible else None

    def load(self, view: BackendView) -> float:
        """Return the load by which the policy compares backend servers."""
        return self._policy.load(view)


def _split_candidates(
    views: Sequence[BackendView], query: RouteQuery
) -> tuple[list[BackendView], list[BackendView]]:
    """Return the preferred servers and the others that can serve a query."""
    local: list[BackendView] = []
    remote: list[BackendView] = []
    for view in views:
        if not find_exclusion(view, query):
            is_local = view.vm.data_centre == query.data_centre
            (local if is_local else remote).append(view)
    return (remote, local) if query.prefer_remote else (local, remote)


def _sample_by_slow_start(views: Sequence[BackendView]) -> list[BackendView]:
    # A server that has just returned to service is a candidate in a growing
    # share of the choices (slow start), so that load on it rises gradually.
    now = time.monotonic()
    return [
        view for view in views if random.random() < view.slow_start_share(now)
    ]


def find_exclusion(view: BackendView, query: RouteQuery) -> str:
    """Return why a server cannot serve a query; empty if it can."""
    serving = view.serving
    if serving is None or not _serves(serving, query):
        return 'does not serve it'
    if not view.usable:
        return _find_unusable_reason(view)
    return 'had an attempt' if view.vm.id in query.excluded else ''


def _find_unusable_reason(view: BackendView) -> str:
    if not view.connected:
        return 'not linked'
    if view.leaving:
        return 'leaving'
    return 'suspect' if view.suspect else 'not ready'


def _serves(serving: ServingReport, query: RouteQuery) -> bool:
    if query.service:
        return serving.service == query.service
    if query.adapter and query.adapter not in serving.adapters:
        return False
    return serving.role in GENERATION_ROLES and query.model in serving.models
