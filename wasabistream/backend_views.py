"""View that an entry has of one backend server."""

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

NO_LOAD = LoadReport(0, 1, 0, 0, 1, leaving=False)
# Prefixes of own sends that an engine is taken to hold until it reports.
MAX_SENT_PREFIX_COUNT = 64
# Cache reports come late, so an own send counts until two are due.
SENT_PREFIX_SECONDS = 20.0
# Time after a return to service in which an entry's share of work grows.
RETURN_SECONDS = 10.0
PREFIX_MASK = 0xFFFFFFFF


@dataclass
class BackendView:
    """Hold what an entry knows of one agent and its backend server."""

    vm: Vm
    link: Link | None = None
    load: LoadReport = NO_LOAD
    serving: ServingReport | None = None
    # False once the VM has left the list while its link still works.
    listed: bool = True
    # True while the document takes the backend server out of service.
    out: bool = False
    # True while links to the agent open and close in short succession.
    suspect: bool = False
    # True after a refusal that says that the agent leaves, or after its gate
    # did not reply in time, until the next load report.
    refuses_work: bool = False
    incarnation: str = ''
    # Attempts of this entry that have not ended.
    pending_count: int = 0
    prefixes: frozenset[int] = field(default_factory=frozenset)
    last_used_monotonic_seconds: float = field(default_factory=time.monotonic)
    returned_monotonic_seconds: float = 0
    _sent_count: int = 0
    _sent_prefixes: OrderedDict[int, float] = field(default_factory=OrderedDict)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    @property
    def leaving(self) -> bool:
        """Tell whether the backend server must get no new work."""
        told = self.load.leaving or self.vm.state == VmState.leaving
        return told or self.out or self.refuses_work or not self.listed

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
        """Return the sends of this entry that the load report lacks.

        An agent counts what it has taken from each link, so a report that
        was made before a send arrived does not hide the send.
        """
        with self._lock:
            taken_count = max(self.load.taken_count, 0)
            return max(self._sent_count - taken_count, 0)

    def share(self, now: float) -> float:
        """Return the part of its work that it gets after a return."""
        if not self.returned_monotonic_seconds:
            return 1
        elapsed_seconds = now - self.returned_monotonic_seconds
        return min(elapsed_seconds / RETURN_SECONDS, 1)

    def holds(self, prefix: int) -> bool:
        """Tell whether the engine probably holds a prompt prefix."""
        short = prefix & PREFIX_MASK
        if short in self.prefixes:
            return True
        sent_seconds = self._sent_prefixes.get(short, -SENT_PREFIX_SECONDS)
        return time.monotonic() - sent_seconds < SENT_PREFIX_SECONDS

    def add_sent_request(self, prefix: int = 0) -> Link | None:
        """Count a send in advance and return the link that it goes over."""
        with self._lock:
            link = self.link
            if link is None:
                return None
            self._sent_count += 1
            self.last_used_monotonic_seconds = time.monotonic()
            if prefix:
                short = prefix & PREFIX_MASK
                self._sent_prefixes[short] = self.last_used_monotonic_seconds
                if len(self._sent_prefixes) > MAX_SENT_PREFIX_COUNT:
                    self._sent_prefixes.popitem(last=False)
            return link

    def remove_sent_request(self, link: Link) -> None:
        """Take back a send that did not take place."""
        with self._lock:
            if self.link is link:
                self._sent_count -= 1

    def on_attempt_started(self) -> None:
        """Count an attempt in progress."""
        with self._lock:
            self.pending_count += 1

    def on_attempt_ended(self) -> None:
        """Count an attempt that ended."""
        with self._lock:
            self.pending_count -= 1
            self.last_used_monotonic_seconds = time.monotonic()

    def on_link_opened(self, link: Link) -> None:
        """Use a new link; what an earlier incarnation said is dropped."""
        with self._lock:
            self.link = link
            self._sent_count = 0
            self.load = NO_LOAD
            self.serving = None
            if link.peer.incarnation != self.incarnation:
                self.incarnation = link.peer.incarnation
                self.prefixes = frozenset()
                self._sent_prefixes.clear()

    def on_link_closed(self, link: Link) -> None:
        """Forget a link that ended."""
        with self._lock:
            if self.link is link:
                self.link = None
                self.serving = None

    def report(self, notice: LoadReport | ServingReport | CacheReport) -> None:
        """Apply a report of the agent."""
        with self._lock:
            match notice:
                case LoadReport():
                    was_leaving = self.leaving
                    self.load = notice
                    self.refuses_work = False
                    if notice.taken_count == UNKNOWN_COUNT:
                        self._sent_count = 0
                    if was_leaving and not self.leaving:
                        self.returned_monotonic_seconds = time.monotonic()
                case ServingReport():
                    self.serving = notice
                case CacheReport():
                    self.prefixes = frozenset(
                        prefix & PREFIX_MASK for prefix in notice.prefixes
                    )

    def update_listing(self, vm: Vm, *, out: bool, listed: bool = True) -> None:
        """Apply what the VM list and the document say."""
        with self._lock:
            was_leaving = self.leaving
            self.vm = vm
            self.out = out
            self.listed = listed
            if was_leaving and not self.leaving:
                self.returned_monotonic_seconds = time.monotonic()
