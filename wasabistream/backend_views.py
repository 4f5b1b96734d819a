"""State of one backend server as an entry knows it."""

import threading
import time
from collections import OrderedDict
from dataclasses import dataclass, field

from wasabistream.links import Link
from wasabistream.notices import (
    UNKNOWN_COUNT,
    CacheReport,
    LoadReport,
    ServingReport,
)
from wasabistream.vms import Vm, VmState

# Load of a server that has not reported yet.
INITIAL_LOAD = LoadReport(0, 1, 0, 0, 1, leaving=False)
# Most prefixes of sent requests that are assumed to be in the engine's cache
# before the agent reports them.
MAX_SENT_PREFIX_COUNT = 64
# Cache reports come late, at most one in 10 s, so a sent prefix is assumed to
# be cached for two intervals.
SENT_PREFIX_SECONDS = 20.0
# Time after a return to service in which the server's share of choices grows
# from 0 to 1.
SLOW_START_SECONDS = 10.0
# Cache reports carry 32 bits of each prefix hash.
PREFIX_HASH_MASK = 0xFFFFFFFF


@dataclass
class BackendView:
    """Hold what an entry knows of one agent and its backend server.

    Reader threads of links and threads that send requests share it, so
    methods that change it take the lock.
    """

    vm: Vm
    link: Link | None = None
    load: LoadReport = INITIAL_LOAD
    serving: ServingReport | None = None
    # False once the VM is no longer on the VM list; its link may still be open.
    listed: bool = True
    # True while the document takes the backend server out of service.
    out: bool = False
    # True while links to the agent open and close in short succession.
    suspect: bool = False
    # True after the agent refused an attempt because it leaves, or its gate did
    # not reply in time; cleared by the next load report.
    refuses_work: bool = False
    incarnation: str = ''
    # Attempts of this entry that are in progress.
    pending_count: int = 0
    # Hashes of the prompt prefixes in the engine's cache, by its last report.
    prefixes: frozenset[int] = field(default_factory=frozenset)
    last_used_monotonic_seconds: float = field(default_factory=time.monotonic)
    # Time of the last return to service, or 0.
    slow_start_monotonic_seconds: float = 0
    # Requests sent over the current link, compared with the count of requests
    # taken that the agent reports.
    _sent_count: int = 0
    # Time of the last request by masked prefix hash.
    _sent_prefixes: OrderedDict[int, float] = field(default_factory=OrderedDict)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    @property
    def leaving(self) -> bool:
        """Tell whether the backend server must get no new work."""
        reported = self.load.leaving or self.vm.state == VmState.leaving
        return reported or self.out or self.refuses_work or not self.listed

    @property
    def connected(self) -> bool:
        """Tell whether messages can be sent to the agent."""
        return self.link is not None and not self.link.closed

    @property
    def usable(self) -> bool:
        """Tell whether new work may go to this backend server."""
        serving = self.serving
        if not self.connected or serving is None:
            return False
        return serving.ready and not self.leaving and not self.suspect

    @property
    def unreported_count(self) -> int:
        """Return how many requests of this entry the load report lacks.

        An agent reports how many requests it has taken from each link, so a
        report made before a request arrived does not hide that request.
        """
        with self._lock:
            taken_count = max(self.load.taken_count, 0)
            return max(self._sent_count - taken_count, 0)

    def slow_start_share(self, now: float) -> float:
        """Return in what share (0 to 1) of choices the server takes part."""
        if not self.slow_start_monotonic_seconds:
            return 1
        elapsed_seconds = now - self.slow_start_monotonic_seconds
        return min(elapsed_seconds / SLOW_START_SECONDS, 1)

    def has_prefix(self, prefix: int) -> bool:
        """Tell whether the engine probably has a prompt prefix cached."""
        masked_prefix = prefix & PREFIX_HASH_MASK
        if masked_prefix in self.prefixes:
            return True
        sent_at_seconds = self._sent_prefixes.get(
            masked_prefix, -SENT_PREFIX_SECONDS
        )
        return time.monotonic() - sent_at_seconds < SENT_PREFIX_SECONDS

    def add_sent_request(self, prefix: int = 0) -> Link | None:
        """Count a request before it is sent; return the link to send it on.

        Returns None without a count when there is no link.
        """
        with self._lock:
            link = self.link
            if link is None:
                return None
            self._sent_count += 1
            self.last_used_monotonic_seconds = time.monotonic()
            if prefix:
                masked_prefix = prefix & PREFIX_HASH_MASK
                self._sent_prefixes[masked_prefix] = (
                    self.last_used_monotonic_seconds
                )
                if len(self._sent_prefixes) > MAX_SENT_PREFIX_COUNT:
                    self._sent_prefixes.popitem(last=False)
            return link

    def remove_sent_request(self, link: Link) -> None:
        """Uncount a request that was not sent after all."""
        with self._lock:
            if self.link is link:
                self._sent_count -= 1

    def on_attempt_started(self) -> None:
        """Record the start of an attempt."""
        with self._lock:
            self.pending_count += 1

    def on_attempt_ended(self) -> None:
        """Record the end of an attempt."""
        with self._lock:
            self.pending_count -= 1
            self.last_used_monotonic_seconds = time.monotonic()

    def on_link_opened(self, link: Link) -> None:
        """Record a new link; drop reports of an earlier incarnation."""
        with self._lock:
            self.link = link
            self._sent_count = 0
            self.load = INITIAL_LOAD
            self.serving = None
            if link.peer.incarnation != self.incarnation:
                self.incarnation = link.peer.incarnation
                self.prefixes = frozenset()
                self._sent_prefixes.clear()

    def on_link_closed(self, link: Link) -> None:
        """Record the end of a link; ignore a link that was replaced."""
        with self._lock:
            if self.link is link:
                self.link = None
                self.serving = None

    def report(self, notice: LoadReport | ServingReport | CacheReport) -> None:
        """Apply a report from the agent."""
        with self._lock:
            match notice:
                case LoadReport():
                    was_leaving = self.leaving
                    self.load = notice
                    self.refuses_work = False
                    if notice.taken_count == UNKNOWN_COUNT:
                        self._sent_count = 0
                    if was_leaving and not self.leaving:
                        self.slow_start_monotonic_seconds = time.monotonic()
                case ServingReport():
                    self.serving = notice
                case CacheReport():
                    self.prefixes = frozenset(
                        prefix & PREFIX_HASH_MASK for prefix in notice.prefixes
                    )

    def update_listing(self, vm: Vm, *, out: bool, listed: bool = True) -> None:
        """Apply what the VM list and the document say of the server."""
        with self._lock:
            was_leaving = self.leaving
            self.vm = vm
            self.out = out
            self.listed = listed
            if was_leaving and not self.leaving:
                self.slow_start_monotonic_seconds = time.monotonic()
