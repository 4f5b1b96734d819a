"""Refusals of requests that no backend server takes."""

import logging
from collections.abc import Callable
from types import MappingProxyType

from wasabistream.forwarding.advisory_guards import AdvisoryGuard
from wasabistream.forwarding.fleets import FleetHolder
from wasabistream.forwarding.replies import build_refusal
from wasabistream.forwarding.requests import ForwardRequest, Reply
from wasabistream.metrics import REFUSALS

logger = logging.getLogger(__name__)

REFUSAL_TEXTS = MappingProxyType(
    {
        # Each server is at its rate limit or wants no requests for a time.
        'server_advisory': 'no server takes it before the stated wait',
        # None is reachable and can begin it in time, or some turned it away.
        'no_server': 'no server took it',
        # Each engine of its scheduled service has too long a backlog.
        'no_start_in_time': 'no engine can start it in time',
        # The queue of deferrable requests is too long.
        'no_room_in_time': 'no room in time',
    }
)


def name_refusal(wait_seconds: float) -> str:
    """Return the key of the reason when all servers want such a wait."""
    return 'server_advisory' if wait_seconds else 'no_server'


class Refuser:
    """Refuse requests that have not run and state when to come back."""

    def __init__(
        self,
        fleet: FleetHolder,
        advisories: AdvisoryGuard,
        start_wait_seconds: Callable[[ForwardRequest], float] | None = None,
    ) -> None:
        self._fleet = fleet
        self._advisories = advisories
        # Returns the shortest expected wait of a request that no engine can
        # start in time; 0 for others.
        self._start_wait_seconds = start_wait_seconds

    def refuse(self, request: ForwardRequest) -> Reply:
        """Return the refusal of a request and log its reason."""
        usable = self._fleet.current.usable_servers(request.service)
        wait_seconds = self._advisories.wait_seconds(usable)
        reason = name_refusal(wait_seconds)
        if self._start_wait_seconds is not None:
            start_wait_seconds = self._start_wait_seconds(request)
            if start_wait_seconds:
                reason = 'no_start_in_time'
                wait_seconds = start_wait_seconds
        return self._refuse(request, reason, wait_seconds)

    def refuse_without_room(
        self, request: ForwardRequest, wait_seconds: float
    ) -> Reply:
        """Return the refusal of a request that would wait for too long."""
        return self._refuse(request, 'no_room_in_time', wait_seconds)

    def _refuse(
        self, request: ForwardRequest, reason: str, wait_seconds: float
    ) -> Reply:
        remaining_seconds = request.deadline.remaining_seconds
        usable = self._fleet.current.usable_servers(request.service)
        REFUSALS.labels(reason).inc()
        logger.info(
            'request: refused: %s',
            REFUSAL_TEXTS[reason],
            extra={
                'request_id': request.request_id,
                'service': request.service,
                'organisation': request.organisation,
                'priority': request.priority,
                'usable_server_count': len(usable),
                'wait_seconds': round(wait_seconds, 3),
            },
        )
        return build_refusal(remaining_seconds, wait_seconds)
