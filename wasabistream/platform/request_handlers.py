"""Handler of callers' requests at an entry."""

import logging
import time
from collections.abc import Callable

from wasabistream.exceptions import RequestError
from wasabistream.forwarding.drain_gates import DrainGate
from wasabistream.forwarding.fleets import FleetHolder
from wasabistream.forwarding.forwarders import Forwarder
from wasabistream.forwarding.replies import build_refusal
from wasabistream.forwarding.requests import Reply
from wasabistream.platform.ingress_servers import (
    HttpCaller,
    IngressRequest,
    read_request_id,
)
from wasabistream.platform.request_decoders import decode_request

logger = logging.getLogger(__name__)

# The retry time of a refusal is a part of the request's remaining time. In a
# drain a short time is taken for it, as other entries can serve at once.
DRAIN_REFUSAL_REMAINING_SECONDS = 0.2
# Remaining time assumed for requests that are refused undecoded; their callers
# retry within the time in which an entry reads its first configuration.
UNDECODED_REMAINING_SECONDS = 3.0


class RequestHandler:
    """Decode requests with the configuration in force and forward them."""

    def __init__(
        self,
        fleet: FleetHolder,
        gate: DrainGate,
        forwarder: Forwarder,
        store_answer_age_seconds: Callable[[], float],
    ) -> None:
        self._fleet = fleet
        self._gate = gate
        self._forwarder = forwarder
        self._store_answer_age_seconds = store_answer_age_seconds

    def handle(self, request: IngressRequest, body: bytes) -> None:
        """Answer one request; `body` is its whole body."""
        if self._gate.is_closed:
            request.close_connection = True
        caller = HttpCaller(request, read_request_id(request))
        configuration = self._fleet.current.configuration
        if configuration is None:
            caller.reply(build_refusal(UNDECODED_REMAINING_SECONDS))
            return
        try:
            decoded = decode_request(
                configuration,
                request,
                body,
                time.monotonic() - request.head_at_seconds,
            )
        except RequestError as error:
            logger.info(
                'request: refused: %s',
                error.reason,
                extra={
                    'request_id': read_request_id(request),
                    'status': error.status,
                    'version': configuration.version,
                    'version_age_seconds': round(
                        self._fleet.configuration_age_seconds, 3
                    ),
                    'store_answer_age_seconds': round(
                        self._store_answer_age_seconds(), 3
                    ),
                },
            )
            caller.reply(Reply(error.status))
            return
        if not self._gate.admits(decoded):
            logger.info(
                'request: refused: this entry shuts down',
                extra={'request_id': decoded.request_id},
            )
            caller.reply(build_refusal(DRAIN_REFUSAL_REMAINING_SECONDS))
            return
        self._forwarder.forward(decoded, caller)
