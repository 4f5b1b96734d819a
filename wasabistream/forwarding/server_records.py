"""Records of backend servers that end with the server."""

import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

from wasabistream.forwarding.backend_servers import BackendServer

# Time to keep the record of a server that is no longer listed. It may still
# run, and its list entry may be back after an outage of the store.
UNLISTED_SECONDS = 20.0
# Servers that are not listed come from other entries' messages.
MAX_RECORD_COUNT = 10_000

RecordT = TypeVar('RecordT')


@dataclass(slots=True)
class _Slot(Generic[RecordT]):
    server: BackendServer
    record: RecordT
    # None while the server is listed.
    unlisted_at_seconds: float | None


class ServerRecords(Generic[RecordT]):
    """Keep one record for each backend server, found by its endpoint.

    A record is not found for another server at the same address, nor after
    a restart. Not thread-safe.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._slots: dict[str, _Slot[RecordT]] = {}
        self._listed: dict[str, BackendServer] = {}

    def __iter__(self) -> Iterator[tuple[BackendServer, RecordT]]:
        """Iterate over the servers and their records."""
        for slot in self._slots.values():
            yield slot.server, slot.record

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._slots)

    def on_servers_changed(self, servers: Iterable[BackendServer]) -> None:
        """Remove the records of servers that ended or restarted."""
        self._listed = {server.endpoint: server for server in servers}
        now = self._clock()
        for endpoint, slot in list(self._slots.items()):
            listed = self._listed.get(endpoint)
            if listed is None:
                slot.unlisted_at_seconds = slot.unlisted_at_seconds or now
                if now - slot.unlisted_at_seconds > UNLISTED_SECONDS:
                    self._slots.pop(endpoint)
            elif _continues(listed, slot.server):
                slot.unlisted_at_seconds = None
            else:
                self._slots.pop(endpoint)

    def is_outdated(self, server: BackendServer) -> bool:
        """Return whether another server is listed at this one's address."""
        listed = self._listed.get(server.endpoint)
        return listed is not None and not is_same_server(listed, server)

    def find(self, server: BackendServer) -> RecordT | None:
        """Return the record of a server, or None."""
        slot = self._slots.get(server.endpoint)
        if slot is None or not is_same_server(slot.server, server):
            return None
        return slot.record

    def find_at(self, endpoint: str) -> RecordT | None:
        """Return the record of the server at an endpoint, or None."""
        slot = self._slots.get(endpoint)
        return None if slot is None else slot.record

    def find_listed(self, endpoint: str) -> BackendServer | None:
        """Return the server that is listed at an endpoint, or None."""
        return self._listed.get(endpoint)

    def put(self, server: BackendServer, record: RecordT) -> None:
        """Keep a record in place of the one at the same endpoint.

        The record of a server that has ended is not kept: its last answers may
        come after another one was listed at its address.
        """
        if self.is_outdated(server):
            return
        endpoint = server.endpoint
        self._slots.pop(endpoint, None)
        if len(self._slots) >= MAX_RECORD_COUNT:
            self._slots.pop(next(iter(self._slots)))
        unlisted_at = None if endpoint in self._listed else self._clock()
        self._slots[endpoint] = _Slot(server, record, unlisted_at)


def is_same_server(one: BackendServer, other: BackendServer) -> bool:
    """Return whether two descriptions may be those of one running server.

    A server that is not listed has no id, and its start is not known.
    """
    if one.endpoint != other.endpoint:
        return False
    if not one.server_id or not other.server_id:
        return True
    starts = {one.started_unix_ms, other.started_unix_ms} - {0}
    return one.server_id == other.server_id and len(starts) <= 1


def _continues(listed: BackendServer, recorded: BackendServer) -> bool:
    # A record that was made without an id may be that of a server before.
    if listed.server_id and not recorded.server_id:
        return False
    return is_same_server(listed, recorded)
