"""Exchange of the origins of streams between an entry and the agents."""

import itertools
import logging
import math
import threading
import time
from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from functools import partial

from wasabistream.continuations.origin_messages import (
    ORIGINS_VERSION,
    StreamOriginQuery,
    StreamOriginRecord,
    StreamOriginReply,
)
from wasabistream.continuations.origin_rings import (
    MAX_COPY_DISTANCE,
    RING_COPY_COUNT,
    AgentRing,
    choose_copies,
)
from wasabistream.continuations.origin_tables import OriginTable, is_recordable
from wasabistream.continuations.question_budgets import (
    MAX_QUESTION_COUNT,
    QuestionBudget,
)
from wasabistream.continuations.resume_decisions import (
    OriginSearch,
    ResumeDecision,
    ResumeRefusal,
)
from wasabistream.continuations.stream_origins import StreamOrigin
from wasabistream.engine_starts.awaited_versions import AwaitedVersions
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.link_senders import send_or_log
from wasabistream.links import Link
from wasabistream.messages import Message
from wasabistream.units import MILLISECONDS_PER_SECOND

logger = logging.getLogger(__name__)

# Records of an entry; it begins some tens of streams a second.
MAX_OWN_COUNT = 16_384
# Agents that are asked first for an origin; all of a fleet of this size.
MAX_ASKED_COUNT = 48
# Records that wait for links, to get all their copies.
MAX_UNPLACED_COUNT = 1024
# Records that are repeated to an agent that is linked again.
MAX_REPEATED_COUNT = 2048
# Time in which a link to a listed engine is made, or made again.
LINKING_SECONDS = 3.0

# Nobody that was asked knew the stream.
NOT_FOUND = frozenset((ResumeRefusal.unknown, ResumeRefusal.incomplete))

Decide = Callable[[OriginSearch], ResumeDecision]


@dataclass(frozen=True, slots=True)
class _PlacedRecord:
    """Hold a record that an agent was told to keep."""

    notice: StreamOriginRecord
    expires_at_seconds: float


@dataclass
class _Search:
    """A search for the origin of one stream."""

    key: bytes
    number: int
    started_at_seconds: float
    # Waits for news about this search, with the lock of the exchange.
    changed: threading.Condition
    asked_at_seconds: float = 0
    found_at_seconds: float = math.inf
    origins: set[StreamOrigin] = field(default_factory=set)
    asked: set[str] = field(default_factory=set)
    pending: set[str] = field(default_factory=set)
    # Whether the agents that seldom know the stream were asked as well.
    is_wide: bool = False


class OriginExchange:
    """Send the origins of streams to agents and ask them.

    Agents outlive the entries: when all entries were killed, new ones find out
    there which software began a stream.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self.own = OriginTable(MAX_OWN_COUNT, clock)
        self._lock = threading.RLock()
        self._links: dict[str, Link] = {}
        self._servers: dict[str, BackendServer] = {}
        self._ring = AgentRing(())
        # When each listed engine was listed, or its link ended.
        self._unlinked_since_seconds: dict[str, float] = {}
        # Records with too few copies, made while links were being made, and
        # the engines that began their streams.
        self._unplaced: deque[tuple[StreamOriginRecord, str]] = deque(
            maxlen=MAX_UNPLACED_COUNT
        )
        # Records by the agents that keep them, in the order of their placement.
        self._placed: defaultdict[str, deque[_PlacedRecord]] = defaultdict(
            partial(deque, maxlen=MAX_REPEATED_COUNT)
        )
        # Streams to record once the versions of their engines are known.
        self._awaited_versions = AwaitedVersions(clock)
        self._numbers = itertools.count(1)
        self._searches: dict[int, _Search] = {}
        self._wide_budget = QuestionBudget(clock)

    @property
    def link_count(self) -> int:
        """Return the number of open links."""
        return len(self._links)

    def on_fleet_changed(self, engines: Iterable[BackendServer]) -> None:
        """Place the origins of streams at the agents of these engines."""
        servers = {server.endpoint: server for server in engines}
        if servers == self._servers:
            return
        ring = AgentRing(servers.values())
        now_seconds = self._clock()
        with self._lock:
            self._servers = servers
            self._ring = ring
            for gone in self._placed.keys() - servers.keys():
                if gone not in self._links:
                    self._placed.pop(gone)
            self._unlinked_since_seconds = {
                endpoint: self._unlinked_since_seconds.get(
                    endpoint, now_seconds
                )
                for endpoint in servers
                if endpoint not in self._links
            }
            self._keep_known()

    def on_opened(self, endpoint: str, link: Link) -> None:
        """Use the link to an agent, also for searches in progress.

        An agent that has restarted has lost its records and gets them again.
        """
        with self._lock:
            self._links[endpoint] = link
            self._unlinked_since_seconds.pop(endpoint, None)
            for search in self._searches.values():
                search.changed.notify()
            self._repeat(endpoint)
            self._place_again()

    def on_closed(self, endpoint: str, link: Link) -> None:
        """Forget a link that has ended."""
        with self._lock:
            if self._links.get(endpoint) is not link:
                return
            self._links.pop(endpoint)
            if endpoint in self._servers:
                self._unlinked_since_seconds[endpoint] = self._clock()
            for search in self._searches.values():
                search.pending.discard(endpoint)
                search.changed.notify()

    def on_reply(self, endpoint: str, reply: StreamOriginReply) -> None:
        """Take the reply of an agent."""
        with self._lock:
            search = self._searches.get(reply.number)
            if search is None or endpoint not in search.pending:
                return
            search.pending.discard(endpoint)
            if reply.found:
                search.found_at_seconds = min(
                    search.found_at_seconds, self._clock()
                )
                search.origins.add(
                    StreamOrigin(reply.service, reply.software_version)
                )
            # Each of 48 replies would wake the thread otherwise.
            if reply.found or not search.pending:
                search.changed.notify()

    def keep(
        self,
        key: bytes,
        origin: StreamOrigin,
        endpoint: str,
        keep_seconds: float,
    ) -> None:
        """Keep the origin of a stream that an engine has begun, also there."""
        with self._lock:
            # One that is withdrawn must not come back with its version.
            self._awaited_versions.discard(key)
        self.own.record(key, origin, keep_seconds)
        notice = StreamOriginRecord(
            key,
            origin.service,
            origin.software_version,
            int(keep_seconds * MILLISECONDS_PER_SECOND),
        )
        with self._lock:
            self._place_again()
            self._place(notice, endpoint)

    def keep_later(
        self, key: bytes, server: BackendServer, keep_seconds: float
    ) -> None:
        """Keep the origin of a stream once the server's version is known."""
        with self._lock:
            self._awaited_versions.add(key, server, keep_seconds)
            self._keep_known()

    def find(
        self, key: bytes, remaining_seconds: Callable[[], float], decide: Decide
    ) -> ResumeDecision:
        """Ask the agents until a decision is made."""
        with self._lock:
            search = _Search(
                key,
                next(self._numbers),
                self._clock(),
                threading.Condition(self._lock),
            )
            self._searches[search.number] = search
            try:
                return self._run(search, remaining_seconds, decide)
            finally:
                self._searches.pop(search.number)

    def _run(
        self,
        search: _Search,
        remaining_seconds: Callable[[], float],
        decide: Decide,
    ) -> ResumeDecision:
        while True:
            self._ask(search)
            decision = decide(self._describe(search, remaining_seconds()))
            if decision.wait_seconds > 0:
                search.changed.wait(decision.wait_seconds)
            elif decision.refusal not in NOT_FOUND or not self._widen(search):
                return decision

    def _describe(
        self, search: _Search, remaining_seconds: float
    ) -> OriginSearch:
        now_seconds = self._clock()
        return OriginSearch(
            origins=frozenset(search.origins),
            pending_count=len(search.pending),
            asked_seconds=now_seconds - search.asked_at_seconds,
            found_seconds=max(now_seconds - search.found_at_seconds, 0),
            is_linking=self._is_linking_to(search.key),
            # Later ones must not take the place of those that wait already.
            search_count=sum(
                number <= search.number for number in self._searches
            ),
            waited_seconds=now_seconds - search.started_at_seconds,
            remaining_seconds=remaining_seconds,
            is_wide=search.is_wide,
        )

    def _ask(self, search: _Search) -> None:
        self._ask_all(search, self._find_unasked(search, 0, MAX_ASKED_COUNT))

    def _widen(self, search: _Search) -> bool:
        """Ask the other agents; return False if that is not possible.

        Once both copies are lost, only the agent beside the engine knows the
        stream, and the key does not tell which one that is.
        """
        if search.is_wide:
            return False
        search.is_wide = True
        links = self._find_unasked(search, MAX_ASKED_COUNT, MAX_QUESTION_COUNT)
        if not links or not self._wide_budget.take(len(links)):
            return False
        self._ask_all(search, links)
        return True

    def _find_unasked(
        self, search: _Search, begin: int, end: int
    ) -> dict[str, Link]:
        """Return the links to agents of a part of the ring, by endpoint."""
        return {
            server.endpoint: link
            for server in itertools.islice(
                self._ring.walk(search.key), begin, end
            )
            if server.endpoint not in search.asked
            and (link := self._find_link(server.endpoint)) is not None
        }

    def _ask_all(self, search: _Search, links: Mapping[str, Link]) -> None:
        query = StreamOriginQuery(search.number, search.key)
        for endpoint, link in links.items():
            search.asked.add(endpoint)
            search.pending.add(endpoint)
            search.asked_at_seconds = self._clock()
            _send(link, query)

    def _place(self, notice: StreamOriginRecord, endpoint: str) -> None:
        links = self._choose_keepers(notice.key, endpoint)
        if len(links) <= RING_COPY_COUNT and self._is_linking():
            self._unplaced.append((notice, endpoint))
        placed = _PlacedRecord(
            notice,
            self._clock() + notice.keep_ms / MILLISECONDS_PER_SECOND,
        )
        for keeper, link in links.items():
            self._drop_expired(keeper)
            self._placed[keeper].append(placed)
            _send(link, notice)

    def _repeat(self, endpoint: str) -> None:
        if endpoint not in self._placed:
            return
        link = self._find_link(endpoint)
        if link is None:
            return
        self._drop_expired(endpoint)
        now_seconds = self._clock()
        for placed in self._placed[endpoint]:
            keep_seconds = placed.expires_at_seconds - now_seconds
            if keep_seconds > 0:
                keep_ms = int(keep_seconds * MILLISECONDS_PER_SECOND)
                _send(link, replace(placed.notice, keep_ms=keep_ms))

    def _drop_expired(self, endpoint: str) -> None:
        records = self._placed[endpoint]
        now_seconds = self._clock()
        while records and records[0].expires_at_seconds <= now_seconds:
            records.popleft()

    def _keep_known(self) -> None:
        """Record the streams whose versions have become known."""
        now_seconds = self._clock()
        for awaited, version in self._awaited_versions.take(self._servers):
            server = awaited.server
            origin = StreamOrigin(server.service, version)
            if not is_recordable(origin):
                continue
            logger.info(
                'stream: can be taken up, its version is known now',
                extra={
                    'endpoint': server.endpoint,
                    'software_version': version,
                    'started_unix_ms': server.started_unix_ms,
                },
            )
            self.keep(
                awaited.key,
                origin,
                server.endpoint,
                awaited.expires_at_seconds - now_seconds,
            )

    def _place_again(self) -> None:
        """Send the records that had too few copies, once links are made."""
        if not self._unplaced or self._is_linking():
            return
        unplaced = tuple(self._unplaced)
        self._unplaced.clear()
        for notice, endpoint in unplaced:
            self._place(notice, endpoint)

    def _is_linking(self) -> bool:
        oldest_seconds = self._clock() - LINKING_SECONDS
        return any(
            since_seconds > oldest_seconds
            for since_seconds in self._unlinked_since_seconds.values()
        )

    def _is_linking_to(self, key: bytes) -> bool:
        """Return whether links to agents that are asked are being made."""
        if not self._servers:
            # No engine is listed yet.
            return True
        oldest_seconds = self._clock() - LINKING_SECONDS
        return any(
            self._unlinked_since_seconds.get(server.endpoint, -math.inf)
            > oldest_seconds
            for server in itertools.islice(
                self._ring.walk(key), MAX_ASKED_COUNT
            )
        )

    def _choose_keepers(self, key: bytes, endpoint: str) -> dict[str, Link]:
        """Return the links to the agents that keep a record."""
        origin_server = self._servers.get(endpoint)
        candidates = (
            server
            for server in itertools.islice(
                self._ring.walk(key), MAX_COPY_DISTANCE
            )
            if server.endpoint != endpoint
            and not server.draining
            and self._find_link(server.endpoint)
        )
        copies = choose_copies(
            candidates, origin_server.data_centre if origin_server else ''
        )
        keepers = (endpoint, *(copy.endpoint for copy in copies))
        return {
            keeper: link
            for keeper in keepers
            if (link := self._find_link(keeper)) is not None
        }

    def _find_link(self, endpoint: str) -> Link | None:
        """Return the link to an agent that keeps the origins of streams."""
        link = self._links.get(endpoint)
        if link is None or link.peer.version_max < ORIGINS_VERSION:
            return None
        return link


def _send(link: Link, notice: Message) -> None:
    send_or_log(link, notice, 'agent link: origin of a stream')
