"""Refusals of requests that no backend server takes."""

import logging
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
    }
)


def name_refusal(wait_seconds: float) -> str:
    """Return the key of the reason when all servers want such a wait."""
    return 'server_advisory' if wait_seconds else 'no_server'


class Refuser:
    """Refuse requests that have not run and state when to come back."""

    def __init__(self, fleet: FleetHolder, advisories: AdvisoryGuard) -> None:
        self._fleet = fleet
        self._advisories = advisories

    def refuse(self, request: ForwardRequest) -> Reply:
        """Return the refusal of a request and log its reason."""
        remaining_seconds = request.deadline.remaining_seconds
        usable = self._fleet.current.usable_servers(request.service)
        wait_seconds = self._advisories.wait_seconds(usable)
        reason = name_refusal(wait_seconds)
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
