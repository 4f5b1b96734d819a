"""What the start queue of an entry knows about the fleet."""

from collections.abc import Callable, Collection, Mapping, Sequence

from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.fleets import FleetHolder
from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.forwarding.server_trackers import ServerTrackers
from wasabistream.queueing.interfaces import OutlookSource
from wasabistream.scheduling.engine_outlooks import EngineOutlook

# Pairs of service and route name.
DeferrableRoutes = frozenset[tuple[str, str]]


class EntryStartFleet:
    """Answer the start queue from the parts of an entry."""

    def __init__(
        self,
        fleet: FleetHolder,
        chooser: OutlookSource,
        servers: ServerTrackers,
        count_entries: Callable[[], int],
        count_running_tokens: Callable[[], Mapping[str, int]],
    ) -> None:
        self._fleet = fleet
        self._chooser = chooser
        self._servers = servers
        self._count_entries = count_entries
        self._count_running_tokens = count_running_tokens
        # The deferrable routes of a configuration and their services.
        self._known: tuple[DeferrableRoutes, frozenset[str]] = (
            frozenset(),
            frozenset(),
        )

    def predict_all(
        self, request: ForwardRequest, excluded: Collection[str] = ()
    ) -> list[EngineOutlook]:
        """Return the outlooks of all available engines; changes nothing."""
        return self._chooser.predict_all(request, excluded)

    def take_from(
        self, request: ForwardRequest, outlooks: Sequence[EngineOutlook]
    ) -> EngineOutlook | None:
        """Select an engine and count the request at its stated limit."""
        return self._chooser.take_from(request, outlooks)

    def has_deferrable_routes(self, service: str) -> bool:
        """Return whether any route of a service is deferrable."""
        routes = self._deferrable_routes
        known_routes, services = self._known
        if routes is not known_routes:
            services = frozenset(name for name, _ in routes)
            self._known = (routes, services)
        return service in services

    def is_deferrable(self, request: ForwardRequest) -> bool:
        """Return whether a request may start later than others."""
        pair = (request.service, request.route.name)
        return request.demand is not None and pair in self._deferrable_routes

    def has_fresh_reports(self, service: str) -> bool:
        """Return whether any agent of a service has reported recently.

        Without any engine, whether any agent at all has.
        """
        usable = self._fleet.current.usable_servers(service)
        endpoints = [server.endpoint for server in usable]
        return self._servers.load.has_fresh_reports(endpoints or None)

    def is_cold(self, server: BackendServer) -> bool:
        """Return whether the rate of requests to an engine is limited."""
        return self._servers.cold.is_cold(server)

    def live_entry_count(self) -> int:
        """Return the number of live entries, including this one."""
        return self._count_entries()

    def usable_engine_count(self, service: str) -> int:
        """Return the number of engines that may get new requests."""
        return len(self._fleet.current.usable_servers(service))

    def capacity_tokens(self, service: str) -> int:
        """Return the memory of an engine; 0 if not known."""
        configured = self._fleet.current.find_service(service)
        if configured is None or configured.engine is None:
            return 0
        return configured.engine.memory_tokens

    def running_tokens(self) -> Mapping[str, int]:
        """Return the expected tokens in progress here by organisation."""
        return self._count_running_tokens()

    def add_sent_request(
        self, server: BackendServer, request: ForwardRequest
    ) -> None:
        """Count a request before its attempt does, which replaces the count."""
        demand = request.demand
        self._servers.load.add_sent_request(
            server.endpoint,
            request.request_id,
            demand.expected_tokens if demand else 0,
            demand.prompt_tokens if demand else 0,
        )

    def remove_sent_request(
        self, server: BackendServer, request: ForwardRequest
    ) -> None:
        """Remove a request that has ended, or was not sent."""
        self._servers.load.remove_sent_request(
            server.endpoint, request.request_id
        )

    @property
    def _deferrable_routes(self) -> DeferrableRoutes:
        configuration = self._fleet.current.configuration
        if configuration is None:
            return frozenset()
        return configuration.deferrable_routes
