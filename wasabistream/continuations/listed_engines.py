"""Software versions of engines, as the list of an entry states them."""

import time
from collections.abc import Callable

from wasabistream.continuations.stream_origins import StreamOrigin
from wasabistream.continuations.version_messages import EngineVersionNotice
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.fleets import Fleet

# Time to keep a server that has left the list. It still serves for some
# seconds, in which its agent moves its generations.
UNLISTED_SECONDS = 20.0


class ListedEngines:
    """Keep the server at each endpoint, also for a while after it has left.

    Not thread-safe.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._servers: dict[str, BackendServer] = {}
        self._unlisted_at_seconds: dict[str, float] = {}

    def on_fleet_changed(self, fleet: Fleet) -> list[str]:
        """Return the endpoints at which another version or start is listed."""
        listed = fleet.newest_servers()
        before = self._servers
        now = self._clock()
        self._unlisted_at_seconds = {
            endpoint: self._unlisted_at_seconds.get(endpoint, now)
            for endpoint in before
            if endpoint not in listed
        }
        self._servers = {
            endpoint: server
            for endpoint, server in before.items()
            if now - self._unlisted_at_seconds.get(endpoint, now)
            <= UNLISTED_SECONDS
        } | listed
        return [
            endpoint
            for endpoint, server in listed.items()
            if _build_notice(server) != _build_notice(before.get(endpoint))
        ]

    def find_server(self, endpoint: str) -> BackendServer | None:
        """Return the server at an endpoint."""
        return self._servers.get(endpoint)

    def find_origin(self, endpoint: str, service: str) -> StreamOrigin:
        """Return the origin of streams that began at an engine."""
        server = self._servers.get(endpoint)
        if server is None or server.service != service:
            return StreamOrigin(service, '')
        return StreamOrigin(service, server.software_version)

    def build_notice(self, endpoint: str) -> EngineVersionNotice | None:
        """Return what to tell the agent of an engine, or None if unknown."""
        return _build_notice(self._servers.get(endpoint))


def _build_notice(server: BackendServer | None) -> EngineVersionNotice | None:
    if server is None or not server.software_version:
        return None
    return EngineVersionNotice(
        server.service, server.software_version, server.started_unix_ms
    )
