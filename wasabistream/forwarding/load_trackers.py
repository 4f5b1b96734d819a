"""Load of backend servers as one entry estimates it."""

import threading
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.notices import LoadReport

# A report includes the requests that were sent at least this long before it
# arrived; the entry adds later ones to the reported load itself.
REPORT_DELAY_SECONDS = 0.15
# The same for a request that was announced to the agent, which reports it
# before the engine has it.
ANNOUNCED_REPORT_DELAY_SECONDS = 0.02
# The agent reports an announced request within 20 ms, often at once, and then
# perhaps not again for a second. From this time after a request was sent, any
# report that has arrived since is taken to include it.
ANNOUNCED_WAIT_SECONDS = 0.05
# Older reports are ignored.
REPORT_AGE_LIMIT_SECONDS = 3.0
# Time after the end of a server in which its address is not assigned again.
DEFAULT_REUSE_SECONDS = 2.0
# Part of it for a request to be sent and to arrive.
SEND_MARGIN_SECONDS = 0.5


@dataclass(slots=True)
class SentRequest:
    """Hold one request that was sent to a backend server."""

    sent_at_seconds: float
    tokens: int
    prompt_tokens: int = 0
    # Whether it was announced over the link that is open now.
    announced: bool = False


@dataclass
class ServerLoad:
    """Hold a server's last report and this entry's open requests there."""

    report: LoadReport | None = None
    received_at_seconds: float = 0
    requests: dict[str, SentRequest] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LoadEstimate:
    """Hold the estimated current load of one backend server."""

    request_count: int
    waiting_count: int
    memory_tokens: int
    # 0 if unknown, as the agent has not reported recently.
    memory_capacity_tokens: int
    leaving: bool
    responsive: bool
    # None if the agent has not reported recently.
    report_age_seconds: float | None = None
    # Prompt tokens that are sent and without an event yet, as announced to the
    # agent or sent by this entry since; 0 without announcements.
    backlog_tokens: int = 0
    # Memory that these are expected to need beyond what is in use.
    reserved_tokens: int = 0
    # Tokens by which generations with events are expected to grow.
    growth_tokens: int = 0


class LoadTracker:
    """Track this entry's requests and the load reports of agents."""

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        reuse_seconds: float = DEFAULT_REUSE_SECONDS,
    ) -> None:
        self._clock = clock
        self._reuse_seconds = reuse_seconds
        self._lock = threading.Lock()
        self._loads: dict[str, ServerLoad] = {}

    def add_sent_request(
        self,
        endpoint: str,
        request_id: str,
        tokens: int,
        prompt_tokens: int = 0,
    ) -> None:
        """Record a request that is about to be sent."""
        with self._lock:
            load = self._loads.setdefault(endpoint, ServerLoad())
            load.requests[request_id] = SentRequest(
                self._clock(), tokens, prompt_tokens
            )

    def record_announcement(self, endpoint: str, request_id: str) -> None:
        """Record that the agent is told of a request that is about to run."""
        with self._lock:
            load = self._loads.get(endpoint)
            request = load and load.requests.get(request_id)
            if request:
                request.announced = True

    def forget_announcements(self, endpoint: str) -> None:
        """Count all requests as not announced, as the link has closed."""
        with self._lock:
            load = self._loads.get(endpoint)
            if load is not None:
                for request in load.requests.values():
                    request.announced = False

    def remove_sent_request(self, endpoint: str, request_id: str) -> None:
        """Remove a request that has ended."""
        with self._lock:
            load = self._loads.get(endpoint)
            if load is not None:
                load.requests.pop(request_id, None)

    def report(self, endpoint: str, report: LoadReport) -> None:
        """Record an agent's newest load report."""
        with self._lock:
            load = self._loads.setdefault(endpoint, ServerLoad())
            load.report = report
            load.received_at_seconds = self._clock()

    def keep_only(self, endpoints: frozenset[str]) -> None:
        """Remove all other backend servers that run no request."""
        with self._lock:
            for endpoint in list(self._loads):
                idle = not self._loads[endpoint].requests
                if idle and endpoint not in endpoints:
                    self._loads.pop(endpoint)

    def has_certain_address(self, server: BackendServer) -> bool:
        """Return whether no other server can have the address by now.

        A server with an id turns away requests for another one. Without an id
        only a recent report of its agent tells that it is still there.
        """
        if server.server_id:
            return True
        age_seconds = self.estimate(server.endpoint).report_age_seconds
        return (
            age_seconds is not None
            and age_seconds < self._reuse_seconds - SEND_MARGIN_SECONDS
        )

    def has_fresh_reports(
        self, endpoints: Collection[str] | None = None
    ) -> bool:
        """Return whether the agent of any of these has reported recently.

        Without endpoints, those of all backend servers count.
        """
        oldest = self._clock() - REPORT_AGE_LIMIT_SECONDS
        with self._lock:
            loads = (
                self._loads.values()
                if endpoints is None
                else map(self._loads.get, endpoints)
            )
            return any(
                load is not None
                and load.report is not None
                and load.received_at_seconds > oldest
                for load in loads
            )

    def estimate(self, endpoint: str) -> LoadEstimate:
        """Return the estimated current load of one backend server."""
        with self._lock:
            now = self._clock()
            load = self._loads.get(endpoint) or ServerLoad()
            report = load.report
            if (
                report is None
                or now - load.received_at_seconds > REPORT_AGE_LIMIT_SECONDS
            ):
                return _without_report(load)
            return _with_report(load, report, now)


def _without_report(load: ServerLoad) -> LoadEstimate:
    return LoadEstimate(
        request_count=len(load.requests),
        waiting_count=len(load.requests),
        memory_tokens=sum(request.tokens for request in load.requests.values()),
        memory_capacity_tokens=0,
        leaving=False,
        responsive=True,
    )


def _with_report(
    load: ServerLoad, report: LoadReport, now: float
) -> LoadEstimate:
    unreported = [
        request
        for request in load.requests.values()
        if _is_unreported(request, load.received_at_seconds, now)
    ]
    # These are reserved until the engine uses memory for them.
    announced = [request for request in unreported if request.announced]
    reported_count = report.running_count + report.queued_count
    return LoadEstimate(
        request_count=max(reported_count + len(unreported), len(load.requests)),
        waiting_count=report.queued_count + len(unreported),
        memory_tokens=report.memory_used_tokens
        + sum(
            request.tokens for request in unreported if not request.announced
        ),
        memory_capacity_tokens=report.memory_capacity_tokens,
        leaving=report.leaving,
        responsive=report.responsive,
        report_age_seconds=now - load.received_at_seconds,
        backlog_tokens=report.backlog_tokens
        + sum(request.prompt_tokens for request in announced),
        reserved_tokens=report.reserved_tokens
        + sum(request.tokens for request in announced),
        growth_tokens=report.growth_tokens,
    )


def _is_unreported(
    request: SentRequest, report_at_seconds: float, now: float
) -> bool:
    sent_at_seconds = request.sent_at_seconds
    if not request.announced:
        return sent_at_seconds > report_at_seconds - REPORT_DELAY_SECONDS
    if now - sent_at_seconds > ANNOUNCED_WAIT_SECONDS:
        return sent_at_seconds >= report_at_seconds
    return sent_at_seconds > report_at_seconds - ANNOUNCED_REPORT_DELAY_SECONDS
