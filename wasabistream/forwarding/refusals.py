"""Refusals of requests that no backend server takes."""

import logging

from wasabistream.forwarding.advisory_guards import AdvisoryGuard
from wasabistream.forwarding.fleets import FleetHolder
from wasabistream.forwarding.replies import build_refusal
from wasabistream.forwarding.requests import ForwardRequest, Reply
from wasabistream.metrics import REFUSALS

logger = logging.getLogger(__name__)


class Refuser:
    """Refuse requests that have not run and state when to come back."""

    def __init__(self, fleet: FleetHolder, advisories: AdvisoryGuard) -> None:
        self._fleet = fleet
        self._advisories = advisories

    def refuse(self, request: ForwardRequest) -> Reply:
        """Return the refusal of a request; log a limit that caused it."""
        remaining_seconds = request.deadline.remaining_seconds
        wait_seconds = self._advisories.wait_seconds(
            self._fleet.current.usable_servers(request.service)
        )
        if not wait_seconds:
            return build_refusal(remaining_seconds)
        REFUSALS.labels('server_advisory').inc()
        logger.info(
            'request: refused: no server takes it before the stated wait',
            extra={
                'request_id': request.request_id,
                'service': request.service,
                'organisation': request.organisation,
                'priority': request.priority,
                'wait_seconds': round(wait_seconds, 3),
            },
        )
        return build_refusal(remaining_seconds, wait_seconds)
