"""View of the fleet: configuration and backend servers."""

import time
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.configurations import RoutingConfiguration
from wasabistream.forwarding.services import Service
from wasabistream.route_queries.server_verdicts import Exclusion

# Services that are remembered, with those of earlier configurations.
MAX_SERVICE_COUNT = 4096


@dataclass(frozen=True)
class Fleet:
    """Hold configuration, backend servers and data centres out of service.

    A request is decoded with one view, so that two configuration versions are
    never mixed; its backend server is chosen from the newest view.
    """

    configuration: RoutingConfiguration | None = None
    servers: Mapping[str, BackendServer] = field(default_factory=dict)
    data_centres_out: frozenset[str] = frozenset()

    def find_service(self, name: str) -> Service | None:
        """Return a service, or None if it is not configured."""
        if self.configuration is None:
            return None
        return self.configuration.services.get(name)

    def usable_servers(self, service: str) -> list[BackendServer]:
        """Return the backend servers of a service that may get new requests."""
        return [
            server
            for server in self.servers.values()
            if server.service == service
            and self._find_exclusion(server) is None
        ]

    def unusable_servers(
        self, service: str
    ) -> list[tuple[BackendServer, Exclusion]]:
        """Return the other backend servers of a service and why."""
        return [
            (server, exclusion)
            for server in self.servers.values()
            if server.service == service
            and (exclusion := self._find_exclusion(server)) is not None
        ]

    def newest_servers(self) -> dict[str, BackendServer]:
        """Return the server that started last at each endpoint.

        The item of a server that has crashed stays in the list for a while,
        also when another one has started at its address.
        """
        newest: dict[str, BackendServer] = {}
        for server in self.servers.values():
            other = newest.get(server.endpoint)
            if other is None or _started_after(server, other):
                newest[server.endpoint] = server
        return newest

    def _find_exclusion(self, server: BackendServer) -> Exclusion | None:
        if server.draining:
            return Exclusion.draining
        if server.data_centre in self.data_centres_out:
            return Exclusion.data_centre_out
        return None


def _started_after(server: BackendServer, other: BackendServer) -> bool:
    return server.started_unix_ms > other.started_unix_ms


class FleetHolder:
    """Hold the newest view, which is only replaced as a whole."""

    def __init__(self) -> None:
        self._current = Fleet()
        # Whether each service has engines, as it was configured last.
        self._engine_services: OrderedDict[str, bool] = OrderedDict()
        # Monotonic time at which its configuration came into force.
        self.configured_at_seconds = time.monotonic()

    @property
    def current(self) -> Fleet:
        """Return the newest view."""
        return self._current

    @current.setter
    def current(self, fleet: Fleet) -> None:
        """Replace the view."""
        before = self._current
        self._current = fleet
        if fleet.configuration is not before.configuration:
            self._record_services(fleet)

    def has_engines(self, service: str) -> bool:
        """Return whether a service has engines, or had when last configured.

        Requests are in progress for a while after their service was removed.
        """
        return self._engine_services.get(service, False)

    @property
    def configuration_age_seconds(self) -> float:
        """Return for how long the configuration has been in force here."""
        return time.monotonic() - self.configured_at_seconds

    def _record_services(self, fleet: Fleet) -> None:
        if fleet.configuration is None:
            return
        for name, service in fleet.configuration.services.items():
            self._engine_services[name] = service.engine is not None
            self._engine_services.move_to_end(name)
        while len(self._engine_services) > MAX_SERVICE_COUNT:
            self._engine_services.popitem(last=False)
