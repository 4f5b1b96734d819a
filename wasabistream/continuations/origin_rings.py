"""Choice of the agents that keep the origin of a stream."""

from bisect import bisect
from collections.abc import Iterable, Iterator

from wasabistream.digests import hash64
from wasabistream.forwarding.backend_servers import BackendServer

POSITION_BYTES = 8
# Copies beside that of the agent whose engine began the stream.
RING_COPY_COUNT = 2
# Engines from the key's position on among which the copies are placed; a part
# of those that are asked, as engines come and go between.
MAX_COPY_DISTANCE = 16


class AgentRing:
    """Order the engines by hash, so that a change moves few keys.

    A rendezvous hash would have to be computed of all engines for each stream.
    """

    def __init__(self, servers: Iterable[BackendServer]) -> None:
        ordered = sorted(
            (hash64(server.endpoint), server.endpoint, server)
            for server in servers
        )
        self._positions = [position for position, _, _ in ordered]
        self._servers = [server for _, _, server in ordered]

    def walk(self, key: bytes) -> Iterator[BackendServer]:
        """Yield all engines once, from the position of a key on."""
        position = int.from_bytes(key[:POSITION_BYTES])
        start = bisect(self._positions, position)
        yield from self._servers[start:]
        yield from self._servers[:start]


def choose_copies(
    candidates: Iterable[BackendServer], origin_data_centre: str
) -> list[BackendServer]:
    """Return the engines whose agents get copies, in different data centres.

    If there are too few data centres, the nearest of the others are taken.
    """
    chosen: list[BackendServer] = []
    skipped: list[BackendServer] = []
    used = {origin_data_centre}
    for server in candidates:
        if len(chosen) == RING_COPY_COUNT:
            return chosen
        if server.data_centre in used:
            skipped.append(server)
        else:
            chosen.append(server)
            used.add(server.data_centre)
    return [*chosen, *skipped][:RING_COPY_COUNT]
