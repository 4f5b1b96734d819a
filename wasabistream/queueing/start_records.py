"""Logs and metrics about the waits for a start."""

import logging

from wasabistream.metrics import START_QUEUE_ENDS, START_QUEUE_SECONDS
from wasabistream.queueing.engine_rooms import Shortage
from wasabistream.queueing.starts import Start
from wasabistream.queueing.waiting_requests import WaitingRequest

logger = logging.getLogger(__name__)


def record_end(
    request: WaitingRequest,
    start: Start,
    now_seconds: float,
    position: int,
    shortage: Shortage,
) -> None:
    """Record why a wait ended; one that did not wait is only counted."""
    reason = start.reason
    if reason is None:
        return
    seconds = now_seconds - request.arrived_at_seconds
    START_QUEUE_ENDS.labels(reason.value).inc()
    START_QUEUE_SECONDS.observe(seconds)
    if shortage == Shortage.none:
        return
    logger.info(
        'queue: waited',
        extra={
            'request_id': request.request_id,
            'service': request.service,
            'organisation': request.organisation,
            'priority': request.priority,
            'seconds': round(seconds, 3),
            'reason': reason.value,
            'position': position,
            'waited_for': shortage.value,
            'late': request.is_late,
            'servers': [start.server.endpoint] if start.server else [],
        },
    )
