"""Servers at which moved generations go on."""

import logging
from dataclasses import replace

from wasabistream.continuations.stream_origins import (
    StreamOrigin,
    may_continue,
)
from wasabistream.forwarding.backend_servers import (
    BackendServer,
    build_unlisted_server,
)
from wasabistream.forwarding.endpoints import parse_endpoint
from wasabistream.forwarding.fleets import Fleet
from wasabistream.forwarding.move_messages import RunMoved

logger = logging.getLogger(__name__)


def find_move_destination(
    fleet: Fleet, moved: RunMoved, source: BackendServer
) -> BackendServer | None:
    """Return the server at which a stream of the source may go on."""
    if moved.endpoint == source.endpoint:
        # The last copy has failed, and the stopped source keeps the memory.
        return source
    listed = fleet.newest_servers().get(moved.endpoint)
    destination = listed or _build_destination(moved, source)
    if destination is None:
        return None
    origin = _find_origin(moved, source)
    if not destination.software_version and moved.software_version:
        # Other entries may list what this one does not: the agent has compared
        # both versions, and the handle of the copy distinguishes the server
        # from any other at its address.
        destination = replace(
            destination, software_version=moved.software_version
        )
    if may_continue(origin, destination):
        return destination
    logger.warning(
        'stream: move to %s is not used, its software version is another one',
        moved.endpoint,
        extra={
            'request_id': moved.run_id,
            'from': source.endpoint,
            'software_version': origin.software_version,
            'destination_version': destination.software_version,
        },
    )
    return None


def _find_origin(moved: RunMoved, source: BackendServer) -> StreamOrigin:
    versions = {source.software_version, moved.software_version} - {''}
    # If both are known and differ, one is that of another start of the source.
    version = versions.pop() if len(versions) == 1 else ''
    return StreamOrigin(source.service, version)


def _build_destination(
    moved: RunMoved, source: BackendServer
) -> BackendServer | None:
    logger.info(
        'stream: moved to %s, which is not listed',
        moved.endpoint,
        extra={'request_id': moved.run_id, 'from': source.endpoint},
    )
    try:
        endpoint = parse_endpoint(moved.endpoint)
    except ValueError as error:
        logger.warning('stream: move is malformed: %s', error)
        return None
    server = build_unlisted_server(
        endpoint, source.service, source.data_centre, source.slot_count
    )
    return replace(server, started_unix_ms=moved.started_unix_ms)
