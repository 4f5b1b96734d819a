"""Decisions from what backend servers state about themselves."""

from collections.abc import Iterable

from wasabistream.forwarding.advisory_messages import AdvisoryMessage
from wasabistream.forwarding.back_offs import BackOffs
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.fleets import Fleet
from wasabistream.forwarding.leaving_servers import LeavingServers
from wasabistream.forwarding.rate_limits import RateLimits
from wasabistream.forwarding.server_advisories import ServerAdvisory
from wasabistream.messages import Message
from wasabistream.notices import UNKNOWN_LIMIT, LoadReport
from wasabistream.route_queries.server_verdicts import Exclusion


class AdvisoryGuard:
    """Decide whether a backend server takes a request now."""

    def __init__(
        self,
        rate_limits: RateLimits,
        leaving_servers: LeavingServers,
        back_offs: BackOffs,
    ) -> None:
        self._rate_limits = rate_limits
        self._leaving_servers = leaving_servers
        self._back_offs = back_offs

    def admits(self, server: BackendServer) -> bool:
        """Return whether a server takes one more request now."""
        return self.find_exclusion(server) is None

    def find_exclusion(self, server: BackendServer) -> Exclusion | None:
        """Return why a server takes no request now, or None if it takes one."""
        if self._leaving_servers.is_leaving(server):
            return Exclusion.leaving
        if self._back_offs.wait_seconds(server):
            return Exclusion.back_off
        if not self._rate_limits.admits(server):
            return Exclusion.stated_limit
        return None

    def try_take(self, server: BackendServer) -> bool:
        """Count a request that is about to be sent, if the server takes it."""
        return self._wants_requests(server) and self._rate_limits.try_take(
            server
        )

    def add_sent_request(self, server: BackendServer) -> None:
        """Count a request that can only be sent to this server."""
        self._rate_limits.add_sent_request(server)

    def wait_seconds(self, servers: Iterable[BackendServer]) -> float:
        """Return the time until the first of these servers takes a request."""
        waits = (
            max(
                self._rate_limits.wait_seconds(server),
                self._back_offs.wait_seconds(server),
            )
            for server in servers
            if not self._leaving_servers.is_leaving(server)
        )
        return min(waits, default=0)

    def record_answer(
        self,
        server: BackendServer,
        advisory: ServerAdvisory | None,
        sent_at_seconds: float,
    ) -> None:
        """Apply what the head of an answer states.

        `sent_at_seconds` is the monotonic time at which the request was sent.
        """
        if advisory is None:
            return
        if advisory.is_leaving:
            self._leaving_servers.record(server)
        if advisory.retry_after_seconds:
            self._back_offs.record(server, advisory.retry_after_seconds)
        limit = advisory.limit_per_second
        if limit is not None:
            self._rate_limits.record_answer(server, limit, sent_at_seconds)

    def record_report(self, endpoint: str, report: LoadReport) -> None:
        """Apply what a server's agent reports."""
        if report.limit_per_second != UNKNOWN_LIMIT:
            self._rate_limits.record_report(endpoint, report.limit_per_second)

    def on_fleet_changed(self, fleet: Fleet) -> None:
        """Forget what servers stated that ended or restarted."""
        servers = fleet.servers.values()
        for part in (self._rate_limits, self._leaving_servers, self._back_offs):
            part.on_fleet_changed(servers)

    def on_message(self, notice: AdvisoryMessage) -> None:
        """Apply what another entry reports."""
        self._rate_limits.on_message(notice)

    def describe(self) -> list[Message]:
        """Return the notices for an entry that has just been linked."""
        return self._rate_limits.describe()

    def _wants_requests(self, server: BackendServer) -> bool:
        return not (
            self._leaving_servers.is_leaving(server)
            or self._back_offs.wait_seconds(server)
        )
