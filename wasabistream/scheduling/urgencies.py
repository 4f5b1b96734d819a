"""Urgency with which engines admit a generation; 0 is the most urgent."""

from wasabistream.forwarding.configurations import RoutingConfiguration

# Engines know no urgency beyond this.
LOWEST_URGENCY = 9


def find_urgency(
    configuration: RoutingConfiguration,
    service: str,
    route_name: str,
    priority: int,
) -> int:
    """Return the urgency of a request at the engines of its service.

    The priority decides first. Among requests of the same priority, those of
    deferrable routes are admitted after the others.
    """
    if service not in configuration.deferrable_services:
        return priority
    is_deferrable = (service, route_name) in configuration.deferrable_routes
    return min(2 * priority + is_deferrable, LOWEST_URGENCY)
