"""Origin of a stream, by what the list says of the server that began it."""

import math
from dataclasses import dataclass, replace

from wasabistream.continuations.stream_origins import StreamOrigin
from wasabistream.engine_starts.awaited_versions import is_version_of_start
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.move_messages import RunMoved

# The clocks of machines differ by seconds, so only a server that starts later
# than this after a first event cannot have sent it.
MAX_CLOCK_DIFFERENCE_MS = 5_000


@dataclass(frozen=True, slots=True)
class FirstEvent:
    """Hold where and when the first event of a stream was passed on."""

    # The server as it was listed when the request was sent there.
    server: BackendServer
    # By the list, which may name another start than the one that serves.
    origin: StreamOrigin
    at_unix_ms: int
    # Whether the engine has stated the listed start since, or its agent had
    # just before.
    is_start_known: bool = True
    # Whether the engine or its agent has confirmed the start of the server while
    # its version was not known. Agents state a new start before its version.
    awaits_version: bool = False
    # When the event arrived, on the boot clock.
    at_boot_seconds: float = math.inf

    @property
    def known_origin(self) -> StreamOrigin:
        """Return the origin as far as it is known for certain."""
        if self.is_start_known:
            return self.origin
        return StreamOrigin(self.origin.service, '')


def bind_origin(
    chosen: BackendServer, listed: BackendServer | None, now_unix_ms: int
) -> FirstEvent:
    """Return the first event that arrives now from a chosen server.

    `listed` is the server that the list now has under its id. If it differs,
    the event may be of either one and its version is unknown.
    """
    software_version = chosen.software_version
    if _is_replaced(chosen, listed):
        software_version = ''
    return FirstEvent(
        chosen, StreamOrigin(chosen.service, software_version), now_unix_ms
    )


def confirm_origin(
    first: FirstEvent, listed: BackendServer | None
) -> StreamOrigin:
    """Return the origin by what the list says now, which may lag behind.

    A server that has left the list proves nothing against its version. One
    that started before the first event, or not clearly after it, may have sent
    the event, so the version is unknown.
    """
    latest_start_unix_ms = first.at_unix_ms + MAX_CLOCK_DIFFERENCE_MS
    if (
        listed is None
        or not _is_replaced(first.server, listed)
        or listed.started_unix_ms > latest_start_unix_ms
    ):
        return first.origin
    return StreamOrigin(first.origin.service, '')


def note_missing_version(first: FirstEvent) -> FirstEvent:
    """Return the first event, marked if only its version is missing.

    The start of its server must have been confirmed.
    """
    server = first.server
    lacks_version = not server.software_version and server.started_unix_ms > 0
    return replace(first, awaits_version=lacks_version)


def learn_version(
    first: FirstEvent, listed: BackendServer | None
) -> FirstEvent:
    """Return the first event with the version that its start is listed with.

    Once a later start is listed, the version is in doubt for good, as it is
    where it was known at the first event.
    """
    if not first.awaits_version or listed is None:
        return first
    if listed.started_unix_ms > first.server.started_unix_ms:
        return replace(first, awaits_version=False)
    if not is_version_of_start(listed, first.server):
        return first
    software_version = listed.software_version
    return replace(
        first,
        server=replace(first.server, software_version=software_version),
        origin=StreamOrigin(first.origin.service, software_version),
        awaits_version=False,
    )


def is_confirmed_by_move(first: FirstEvent, moved: RunMoved) -> bool:
    """Return whether a move of the run confirms the origin of its stream.

    A run does not outlive its engine's start, so the agent that has copied it
    states the version of its events. What the list says of later starts, or what
    nobody has confirmed, does not count against that; a start that was refuted
    does.
    """
    return (
        moved.memory_endpoint == first.server.endpoint
        and moved.software_version != ''
        and moved.software_version == first.origin.software_version
    )


def _is_replaced(chosen: BackendServer, listed: BackendServer | None) -> bool:
    return listed is not None and _identify(chosen) != _identify(listed)


def _identify(server: BackendServer) -> tuple[int, str, str, str]:
    return (
        server.started_unix_ms,
        server.software_version,
        server.service,
        server.endpoint,
    )
