"""Why a stream that has begun cannot go on."""

import logging
from enum import StrEnum

from wasabistream.continuations.first_events import FirstEvent
from wasabistream.continuations.stream_origins import StreamOrigin
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.metrics import CONTINUATION_FAILURES

logger = logging.getLogger(__name__)


class ContinuationFailure(StrEnum):
    """State why a stream cannot go on; the values are stable."""

    # The server that began it is not listed with its version.
    version_unknown = 'version_unknown'
    # Its server started again about when it sent the first event.
    server_replaced = 'server_replaced'
    # No other usable server has its version.
    no_server = 'no_server'
    # The servers of its version are busy, silent or out of reach.
    no_available_server = 'no_available_server'
    # Its memory was moved to a server that may not go on with it.
    moved_elsewhere = 'moved_elsewhere'


def find_failure(
    first: FirstEvent, origin: StreamOrigin, server_count: int
) -> ContinuationFailure:
    """Return why no server was chosen to go on with a stream.

    `origin` is the confirmed one and `server_count` that of the usable servers
    that may go on.
    """
    if not first.server.software_version:
        return ContinuationFailure.version_unknown
    if not origin.software_version:
        return ContinuationFailure.server_replaced
    if not server_count:
        return ContinuationFailure.no_server
    return ContinuationFailure.no_available_server


def report_failure(
    failure: ContinuationFailure,
    request_id: str,
    server: BackendServer,
    event_count: int,
    server_count: int,
) -> None:
    """Log and count that a stream cannot go on.

    `server` began the stream; the version that it was listed with is stated
    also where the stream's version is unknown.
    """
    CONTINUATION_FAILURES.labels(failure.value).inc()
    logger.warning(
        'stream: cannot go on: %s',
        failure.value,
        extra={
            'request_id': request_id,
            'reason': failure.value,
            'service': server.service,
            'software_version': server.software_version,
            'event_count': event_count,
            'server_count': server_count,
        },
    )
