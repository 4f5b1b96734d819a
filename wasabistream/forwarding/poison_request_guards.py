"""Ban on poison requests: requests that crash the servers that run them."""

import logging
import time
from collections.abc import Callable
from typing import Protocol

from wasabistream.crash_notices import ClearNotice, CrashNotice
from wasabistream.exceptions import NotRunError
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.messages import Message
from wasabistream.quarantines import Quarantine, QuarantineDecision

logger = logging.getLogger(__name__)

# Crashes of a server under one request within a window of this length count as
# one.
CRASH_WINDOW_SECONDS = 2.0


class ServerProbe(Protocol):
    """Check whether a server still accepts connections."""

    def probe(self, server: BackendServer) -> None:
        """Connect once; raises NotRunError when the connection fails."""


class PoisonRequestGuard:
    """Ban requests whose backend servers crashed while they ran them.

    Requests are identified by a fingerprint of caller, target and body, so
    that a request that is sent again under another id or through another entry
    is recognised.
    """

    def __init__(
        self,
        probe: ServerProbe,
        broadcast: Callable[[Message], None],
    ) -> None:
        self._probe = probe
        self._broadcast = broadcast
        self._quarantine = Quarantine()

    def is_banned(self, request: ForwardRequest) -> bool:
        """Return whether a request is banned after repeated crashes."""
        decision = self._quarantine.check(request.fingerprint)
        return decision == QuarantineDecision.banned

    def record_lost_answer(
        self, server: BackendServer, request: ForwardRequest
    ) -> None:
        """Record a crash if the server of an unanswered request is down."""
        try:
            self._probe.probe(server)
        except NotRunError:
            self._record_crash(server, request)

    def record_answer(self, request: ForwardRequest) -> None:
        """Clear the suspicion against a request that was answered."""
        if self._quarantine.record_completion(request.fingerprint):
            self._broadcast(ClearNotice(request.fingerprint))

    def on_crash_notice(self, notice: CrashNotice | ClearNotice) -> None:
        """Apply a crash or clearance that another entry reports."""
        if isinstance(notice, CrashNotice):
            self._quarantine.record_crash(notice.crash_id, notice.fingerprints)
        else:
            self._quarantine.record_completion(notice.fingerprint)

    def _record_crash(
        self, server: BackendServer, request: ForwardRequest
    ) -> None:
        crash_window = int(time.time() / CRASH_WINDOW_SECONDS)
        fingerprint = request.fingerprint
        crash_id = f'{server.endpoint}/{crash_window}/{fingerprint}'
        if self._quarantine.record_crash(crash_id, [fingerprint]):
            self._broadcast(CrashNotice(crash_id, [fingerprint]))
            logger.warning(
                'crash: server went down while it ran a request',
                extra={
                    'request_id': request.request_id,
                    'peer': server.endpoint,
                    'prompt_parts': list(request.prompt_parts),
                    'crash_count': self._quarantine.crash_count(fingerprint),
                },
            )
