"""Rate limits that backend servers state, shared by all entries."""

import logging
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from wasabistream.forwarding.advisory_messages import (
    AdvisoryMessage,
    LimitedSendNotice,
    RateLimitNotice,
)
from wasabistream.forwarding.backend_servers import (
    BackendServer,
    build_unlisted_server,
)
from wasabistream.forwarding.endpoints import parse_endpoint
from wasabistream.forwarding.entry_shares import EntryShares
from wasabistream.forwarding.server_advisories import NO_LIMIT, format_limit
from wasabistream.forwarding.server_records import (
    ServerRecords,
    is_same_server,
)
from wasabistream.messages import Message
from wasabistream.metrics import LIMITED_SENDS, LIMITED_SERVERS
from wasabistream.rate_buckets import RateBucket, interval_seconds

logger = logging.getLogger(__name__)

# Part of the time between two requests over which the entries spread their
# turns, in another order for each server, so that they do not all send to a
# server that has just become due.
TURN_RATIO = 0.25
MAX_TURN_DELAY_SECONDS = 0.5


@dataclass(slots=True)
class _StatedLimit:
    limit_per_second: float
    # Time of the answer that stated it.
    observed_at_seconds: float
    bucket: RateBucket


class RateLimits:
    """Keep the requests of all entries within each server's stated limit.

    Each entry tells the others what limits it hears of and which requests it
    sends to servers that have one, so that all entries count the same requests.
    """

    def __init__(
        self,
        shares: EntryShares,
        broadcast: Callable[[Message], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._shares = shares
        self._broadcast = broadcast
        self._clock = clock
        self._lock = threading.Lock()
        self._limits: ServerRecords[_StatedLimit] = ServerRecords(clock)

    def admits(self, server: BackendServer) -> bool:
        """Return whether a request to a server is within its limit."""
        return not self.wait_seconds(server)

    def try_take(self, server: BackendServer) -> bool:
        """Count a request if it is within the limit; return whether it is."""
        with self._lock:
            stated = self._find(server)
            if stated is None:
                return True
            if self._wait_seconds(server, stated) > 0:
                return False
            self._count(stated)
        self._broadcast(LimitedSendNotice(server.endpoint))
        return True

    def add_sent_request(self, server: BackendServer) -> None:
        """Count a request that is sent regardless of the limit."""
        with self._lock:
            stated = self._find(server)
            if stated is None:
                return
            self._count(stated)
        self._broadcast(LimitedSendNotice(server.endpoint))

    def wait_seconds(self, server: BackendServer) -> float:
        """Return the time until a server takes the next request."""
        with self._lock:
            stated = self._find(server)
            if stated is None:
                return 0
            return max(self._wait_seconds(server, stated), 0)

    def record_answer(
        self,
        server: BackendServer,
        limit_per_second: float,
        sent_at_seconds: float,
    ) -> None:
        """Apply what a server states in the answer to a request."""
        with self._lock:
            if self._limits.is_outdated(server):
                return
            stated = self._find(server)
            if limit_per_second == NO_LIMIT and (
                stated is None or sent_at_seconds < stated.observed_at_seconds
            ):
                # An answer that the server began before it stated its limit
                # does not end that limit.
                return
            has_changed = self._apply(server, limit_per_second, self._clock())
            notice = self._build_notice(server)
        if has_changed and notice is not None:
            self._broadcast(notice)

    def record_report(self, endpoint: str, limit_per_second: float) -> None:
        """Apply the limit in the report of a server's agent."""
        with self._lock:
            server = self._limits.find_listed(endpoint)
        if server is not None:
            self.record_answer(server, limit_per_second, self._clock())

    def on_fleet_changed(self, servers: Iterable[BackendServer]) -> None:
        """Forget the limits of servers that ended or restarted."""
        with self._lock:
            self._limits.on_servers_changed(servers)
            self._update_gauge()

    def on_message(self, notice: AdvisoryMessage) -> None:
        """Apply what another entry reports."""
        match notice:
            case RateLimitNotice():
                self._on_limit_notice(notice)
            case LimitedSendNotice():
                self._on_send_notice(notice)

    def describe(self) -> list[Message]:
        """Return the notices for an entry that has just been linked."""
        with self._lock:
            notices = [self._build_notice(server) for server, _ in self._limits]
        return [notice for notice in notices if notice is not None]

    def _find(self, server: BackendServer) -> _StatedLimit | None:
        stated = self._limits.find(server)
        if stated is None or stated.limit_per_second == NO_LIMIT:
            return None
        return stated

    def _wait_seconds(
        self, server: BackendServer, stated: _StatedLimit
    ) -> float:
        wait_seconds = stated.bucket.due_at_seconds - self._clock()
        if wait_seconds > 0:
            return wait_seconds
        delay_seconds = TURN_RATIO * interval_seconds(self._rate(stated))
        delay_seconds = min(delay_seconds, MAX_TURN_DELAY_SECONDS)
        return wait_seconds + delay_seconds * self._shares.rank(server.endpoint)

    def _count(self, stated: _StatedLimit) -> None:
        stated.bucket.add(self._clock(), self._rate(stated))
        LIMITED_SENDS.inc()

    def _rate(self, stated: _StatedLimit) -> float:
        return stated.limit_per_second * self._shares.ratio()

    def _apply(
        self,
        server: BackendServer,
        limit_per_second: float,
        observed_at_seconds: float,
    ) -> bool:
        """Set a limit; return whether it differs from the one before."""
        stated = self._limits.find(server)
        if stated is None:
            stated = _StatedLimit(NO_LIMIT, 0, RateBucket(self._clock()))
            self._limits.put(server, stated)
        stated.observed_at_seconds = observed_at_seconds
        before = stated.limit_per_second
        if limit_per_second == before:
            return False
        stated.limit_per_second = limit_per_second
        if limit_per_second == NO_LIMIT:
            # The next limit starts without the delays of this one.
            stated.bucket = RateBucket(self._clock())
        elif limit_per_second > before:
            stated.bucket.limit_debt(self._clock(), self._rate(stated))
        self._update_gauge()
        logger.info(
            'server: rate limit changed',
            extra={
                'peer': server.endpoint,
                'server': server.server_id,
                'limit_per_second': format_limit(limit_per_second),
                'before_per_second': format_limit(before),
                'age_seconds': round(self._clock() - observed_at_seconds, 3),
            },
        )
        return True

    def _build_notice(self, server: BackendServer) -> RateLimitNotice | None:
        stated = self._limits.find(server)
        if stated is None:
            return None
        now = self._clock()
        return RateLimitNotice(
            server.endpoint,
            server.server_id,
            server.started_unix_ms,
            float(stated.limit_per_second),
            now - stated.observed_at_seconds,
            max(stated.bucket.due_at_seconds - now, 0.0),
        )

    def _on_limit_notice(self, notice: RateLimitNotice) -> None:
        # Not a number compares as false with everything.
        numbers = (
            notice.limit_per_second,
            notice.age_seconds,
            notice.wait_seconds,
        )
        if not all(number >= 0 for number in numbers):
            logger.warning(
                'server: notice of a rate limit is malformed',
                extra={'peer': notice.endpoint},
            )
            return
        now = self._clock()
        observed_at_seconds = now - notice.age_seconds
        with self._lock:
            server = self._find_noticed(notice)
            if server is None:
                return
            stated = self._limits.find(server)
            if stated is None or (
                stated.observed_at_seconds < observed_at_seconds
            ):
                self._apply(
                    server, notice.limit_per_second, observed_at_seconds
                )
            stated = self._find(server)
            if stated is not None:
                stated.bucket.defer(now, notice.wait_seconds)

    def _find_noticed(self, notice: RateLimitNotice) -> BackendServer | None:
        """Return the server of a notice, or None if it is another one here."""
        listed = self._limits.find_listed(notice.endpoint)
        try:
            endpoint = parse_endpoint(notice.endpoint)
        except ValueError as error:
            logger.warning('server: notice is malformed: %s', error)
            return None
        noticed = replace(
            listed or build_unlisted_server(endpoint, '', '', 0),
            server_id=notice.server_id,
            started_unix_ms=notice.started_unix_ms,
        )
        if listed is None:
            return noticed
        return listed if is_same_server(listed, noticed) else None

    def _on_send_notice(self, notice: LimitedSendNotice) -> None:
        with self._lock:
            stated = self._limits.find_at(notice.endpoint)
            if stated is not None and stated.limit_per_second != NO_LIMIT:
                stated.bucket.add(self._clock(), self._rate(stated))

    def _update_gauge(self) -> None:
        LIMITED_SERVERS.set(
            sum(
                stated.limit_per_second != NO_LIMIT
                for _, stated in self._limits
            )
        )
