"""Ban on poison requests: requests that crash the servers that run them."""

import logging
import time
from collections.abc import Callable
from typing import Protocol

from wasabistream.crash_notices import (
    ClearNotice,
    CrashMessage,
    CrashNotice,
)
from wasabistream.exceptions import NotRunError
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.forwarding.routes import RouteKind
from wasabistream.messages import Message
from wasabistream.poison_part_guards import PoisonPartGuard
from wasabistream.poison_parts import PoisonPartDetector
from wasabistream.quarantines import Quarantine, QuarantineDecision

logger = logging.getLogger(__name__)

# Crashes of a server under one request within a window of this length count as
# one.
CRASH_WINDOW_SECONDS = 2.0
# A stream whose answer had not begun was most likely waiting in a server that
# crashed under another request, so it counts as one of this many: it is banned
# after three crashes in place of two.
WAITING_REQUEST_COUNT = 3


class ServerProbe(Protocol):
    """Check whether a server still accepts connections."""

    def probe(self, server: BackendServer) -> None:
        """Connect once; raises NotRunError when the connection fails."""


class PoisonRequestGuard:
    """Ban requests whose backend servers crashed while they ran them.

    Requests are identified by a fingerprint of caller, target and body, so
    that a request that is sent again under another id or through another entry
    is recognised. Requests that only share a part of their prompts are banned by
    that part.
    """

    def __init__(
        self,
        probe: ServerProbe,
        broadcast: Callable[[Message], None],
        detector: PoisonPartDetector,
    ) -> None:
        self._probe = probe
        self._broadcast = broadcast
        self._quarantine = Quarantine()
        self._part_guard = PoisonPartGuard(broadcast, detector)

    def find_refusal_reason(self, request: ForwardRequest) -> str:
        """Return why a new request is refused, or an empty string."""
        decision = self._quarantine.check(request.fingerprint)
        if decision == QuarantineDecision.banned:
            return 'it repeatedly crashed servers'
        if self._part_guard.refuses(request):
            return 'a part of its prompt crashes servers'
        return ''

    def refuses_since(self, request: ForwardRequest, at_seconds: float) -> bool:
        """Return whether a request was banned after a monotonic time.

        For a request that was admitted at this time and has not been sent yet.
        """
        return self._quarantine.is_banned(
            request.fingerprint
        ) or self._part_guard.refuses_since(request, at_seconds)

    def withdraw_trial(self, request: ForwardRequest) -> None:
        """Take back the trial of a request that no server could run."""
        self._part_guard.withdraw_trial(request)

    def refuses_repeat(self, request: ForwardRequest) -> bool:
        """Return whether a request must not be sent to a further server."""
        return self._part_guard.refuses_repeat(request)

    def record_lost_answer(
        self, server: BackendServer, request: ForwardRequest, *, has_begun: bool
    ) -> None:
        """Record a crash if the server of an unanswered request is down.

        `has_begun` tells whether the head of the answer had arrived.
        """
        try:
            self._probe.probe(server)
        except NotRunError:
            self._record_crash(server, request, has_begun=has_begun)
            self._part_guard.record_crash(
                server.endpoint, request, has_begun=has_begun
            )

    def record_answer(
        self, request: ForwardRequest, age_seconds: float
    ) -> None:
        """Clear the suspicion against a request that is being answered.

        `age_seconds` is the time since it was sent to its server.
        """
        if self._quarantine.record_completion(request.fingerprint):
            self._broadcast(ClearNotice(request.fingerprint))
        self._part_guard.record_answer(request, age_seconds)

    def on_crash_notice(self, notice: CrashMessage) -> None:
        """Apply a crash or clearance that another entry reports."""
        if isinstance(notice, CrashNotice):
            self._quarantine.record_crash(
                notice.crash_id,
                notice.fingerprints,
                notice.request_count,
                notice.age_seconds,
            )
        elif isinstance(notice, ClearNotice):
            self._quarantine.record_completion(notice.fingerprint)
        else:
            self._part_guard.on_notice(notice)

    def describe(self) -> list[Message]:
        """Return the notices for an entry that has just been linked."""
        return [*self._quarantine.describe(), *self._part_guard.describe()]

    def _record_crash(
        self, server: BackendServer, request: ForwardRequest, *, has_begun: bool
    ) -> None:
        is_waiting = request.route.kind == RouteKind.streaming and not has_begun
        request_count = WAITING_REQUEST_COUNT if is_waiting else 1
        crash_window = int(time.time() / CRASH_WINDOW_SECONDS)
        fingerprint = request.fingerprint
        crash_id = f'{server.endpoint}/{crash_window}/{fingerprint}'
        if self._quarantine.record_crash(
            crash_id, [fingerprint], request_count
        ):
            self._broadcast(CrashNotice(crash_id, [fingerprint], request_count))
            logger.warning(
                'crash: server went down while it ran a request',
                extra={
                    'request_id': request.request_id,
                    'peer': server.endpoint,
                    'prompt_parts': list(request.prompt_parts),
                    'crash_count': self._quarantine.crash_count(fingerprint),
                },
            )
