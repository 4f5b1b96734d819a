"""Handler of the requests that callers send to an entry."""

import logging

from cheroot.server import HTTPRequest

from wasabistream.exceptions import RequestError
from wasabistream.forwarding.drain_gates import DrainGate
from wasabistream.forwarding.fleets import FleetHolder
from wasabistream.forwarding.forwarders import Forwarder
from wasabistream.forwarding.replies import build_refusal
from wasabistream.forwarding.requests import Reply
from wasabistream.platform.ingress_servers import HttpCaller
from wasabistream.platform.request_decoders import (
    decode_request,
    request_id_of,
)

logger = logging.getLogger(__name__)

# Other entries can serve at once what this one refuses as it shuts down.
DRAIN_RETRY_SECONDS = 0.2
# Callers that are refused before their request is decoded come back within
# the time in which an entry reads its first configuration.
UNKNOWN_DEADLINE_SECONDS = 3.0


class RequestHandler:
    """Decode each request with the configuration in force and forward it."""

    def __init__(
        self, fleet: FleetHolder, gate: DrainGate, forwarder: Forwarder
    ) -> None:
        self._fleet = fleet
        self._gate = gate
        self._forwarder = forwarder

    def handle(self, request: HTTPRequest, body: bytes) -> None:
        """Answer one request whose body has been read."""
        if self._gate.is_closed:
            request.close_connection = True
        caller = HttpCaller(request, request_id_of(request))
        configuration = self._fleet.current.configuration
        if configuration is None:
            caller.reply(build_refusal(UNKNOWN_DEADLINE_SECONDS))
            return
        try:
            decoded = decode_request(configuration, request, body)
        except RequestError as error:
            logger.info(
                'request: refused: %s',
                error.reason,
                extra={
                    'request_id': request_id_of(request),
                    'status': error.status,
                    'version': configuration.version,
                },
            )
            caller.reply(Reply(error.status))
            return
        if not self._gate.admits(decoded):
            logger.info(
                'request: refused: this entry shuts down',
                extra={'request_id': decoded.request_id},
            )
            caller.reply(build_refusal(DRAIN_RETRY_SECONDS))
            return
        self._forwarder.forward(decoded, caller)
