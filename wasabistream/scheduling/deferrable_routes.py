"""Routes whose generations may start later than those of other routes."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from wasabistream.forwarding.routes import Route, RouteKind

# A route is deferrable if a more urgent one of the same service has at most
# this part of its target latency.
URGENT_TARGET_RATIO = 0.5


def find_deferrable_routes(
    routes: Iterable[Route],
) -> frozenset[tuple[str, str]]:
    """Return the pairs of service and route name that are deferrable."""
    routes_by_service: dict[str, list[Route]] = defaultdict(list)
    for stream_route in routes:
        if stream_route.kind == RouteKind.streaming:
            for destination in stream_route.destinations:
                routes_by_service[destination.service].append(stream_route)
    return frozenset(
        (service, route.name)
        for service, service_routes in routes_by_service.items()
        for route in _select_deferrable(service_routes)
    )


def _select_deferrable(routes: list[Route]) -> list[Route]:
    # The shortest target of the routes of each priority decides, so that a
    # configuration of thousands of routes takes one pass.
    shortest_seconds: dict[int, float] = {}
    for urgent_route in routes:
        seconds = urgent_route.target_latency_seconds
        known_seconds = shortest_seconds.get(urgent_route.priority, seconds)
        shortest_seconds[urgent_route.priority] = min(known_seconds, seconds)
    return [
        route for route in routes if _is_deferrable(route, shortest_seconds)
    ]


def _is_deferrable(route: Route, shortest_seconds: Mapping[int, float]) -> bool:
    limit_seconds = route.target_latency_seconds * URGENT_TARGET_RATIO
    return any(
        priority < route.priority and seconds <= limit_seconds
        for priority, seconds in shortest_seconds.items()
    )
