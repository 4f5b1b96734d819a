"""Streams whose engine's start is known before its software version."""

import time
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from wasabistream.forwarding.backend_servers import BackendServer

# Streams that wait; the version of a start follows within a second as a rule.
MAX_AWAITED_COUNT = 1024


@dataclass(frozen=True, slots=True)
class AwaitedVersion:
    """Hold a stream and the server that began it, without its version."""

    key: bytes
    server: BackendServer
    expires_at_seconds: float


class AwaitedVersions:
    """Keep streams until the version of the start that began them is known.

    Not thread-safe.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._awaited: OrderedDict[bytes, AwaitedVersion] = OrderedDict()

    def add(
        self, key: bytes, server: BackendServer, keep_seconds: float
    ) -> None:
        """Keep a stream for a time; the oldest ones are evicted."""
        self._awaited[key] = AwaitedVersion(
            key, server, self._clock() + keep_seconds
        )
        if len(self._awaited) > MAX_AWAITED_COUNT:
            self._awaited.popitem(last=False)

    def discard(self, key: bytes) -> None:
        """Forget a stream."""
        self._awaited.pop(key, None)

    def take(
        self, servers: Mapping[str, BackendServer]
    ) -> list[tuple[AwaitedVersion, str]]:
        """Remove and return the streams whose versions the servers state.

        The servers are those at each endpoint now.
        """
        now_seconds = self._clock()
        known = []
        for key, awaited in tuple(self._awaited.items()):
            server = servers.get(awaited.server.endpoint)
            if awaited.expires_at_seconds <= now_seconds:
                self._awaited.pop(key)
            elif server is not None and is_version_of_start(
                server, awaited.server
            ):
                self._awaited.pop(key)
                known.append((awaited, server.software_version))
        return known


def is_version_of_start(listed: BackendServer, server: BackendServer) -> bool:
    """Return whether a listed server states the version of a server's start.

    The version of a start never changes.
    """
    if not listed.software_version or not server.started_unix_ms:
        return False
    return _identify_start(listed) == _identify_start(server)


def _identify_start(server: BackendServer) -> tuple[int, str, str]:
    return (server.started_unix_ms, server.service, server.endpoint)
