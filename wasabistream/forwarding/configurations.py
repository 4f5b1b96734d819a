"""Routing configuration: routes, services and API keys."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import cached_property

from wasabistream.forwarding.caller_limits import CallerLimits
from wasabistream.forwarding.organisations import KeyHolder
from wasabistream.forwarding.routes import Route
from wasabistream.forwarding.services import Service
from wasabistream.scheduling.deferrable_routes import find_deferrable_routes


@dataclass(frozen=True)
class RoutingConfiguration:
    """Hold one version of the routes, services and API keys."""

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    # By API key; None where requests need no key.
    key_holders: Mapping[str, KeyHolder] | None
    limits: CallerLimits = field(default_factory=CallerLimits)

    @cached_property
    def deferrable_routes(self) -> frozenset[tuple[str, str]]:
        """Return the pairs of service and route name that are deferrable."""
        pairs = find_deferrable_routes(
            route for group in self.routes_by_host.values() for route in group
        )
        # Nothing is known of the memory and the prompts of plain services.
        return frozenset(
            (service, route_name)
            for service, route_name in pairs
            if service in self.services
            and self.services[service].engine is not None
        )

    @cached_property
    def deferrable_services(self) -> frozenset[str]:
        """Return the services that have a deferrable route."""
        return frozenset(service for service, _ in self.deferrable_routes)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


def group_routes(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Return the routes of each host, those with the longest prefix first."""
    groups: dict[str, list[Route]] = {}
    for route in routes:
        groups.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(group, key=_prefix_length, reverse=True))
        for host, group in groups.items()
    }
