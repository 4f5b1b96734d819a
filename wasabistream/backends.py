"""Backend servers as one entry sees them."""

import threading
from dataclasses import dataclass, field

from wasabistream.links import Link
from wasabistream.notices import CacheReport, LoadReport, Serving
from wasabistream.vms import Vm, VmState

NO_LOAD = LoadReport(0, 1, 0, 0, 1, leaving=False)


@dataclass
class BackendView:
    """Hold what an entry knows of one agent and its backend server."""

    vm: Vm
    link: Link | None = None
    load: LoadReport = NO_LOAD
    serving: Serving | None = None
    # Sends of this entry since the last load report.
    unreported_count: int = 0
    # Attempts of this entry that have not ended.
    pending_count: int = 0
    prefixes: frozenset[int] = field(default_factory=frozenset)

    @property
    def usable(self) -> bool:
        """Tell whether new work may go to this backend server."""
        if self.link is None or self.link.closed or self.serving is None:
            return False
        leaving = self.load.leaving or self.vm.state == VmState.leaving
        return self.serving.ready and not leaving


class BackendDirectory:
    """Hold the views of all agents that an entry knows."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._views: dict[str, BackendView] = {}

    def views(self) -> list[BackendView]:
        """Return all views."""
        with self._lock:
            return list(self._views.values())

    def find(self, backend_id: str) -> BackendView | None:
        """Return the view of one agent."""
        return self._views.get(backend_id)

    def put(self, vm: Vm) -> BackendView:
        """Add an agent or update its VM entry."""
        with self._lock:
            view = self._views.setdefault(vm.id, BackendView(vm))
            view.vm = vm
            return view

    def remove(self, backend_id: str) -> None:
        """Drop an agent that left the list."""
        with self._lock:
            self._views.pop(backend_id, None)

    def opened(self, link: Link) -> None:
        """Record a link to an agent."""
        view = self.find(link.peer.peer_id)
        if view is not None:
            view.link = link

    def closed(self, link: Link) -> None:
        """Forget a link that ended."""
        view = self.find(link.peer.peer_id)
        if view is not None and view.link is link:
            view.link = None
            view.serving = None

    def report(self, link: Link, notice: object) -> None:
        """Apply a report of an agent."""
        view = self.find(link.peer.peer_id)
        if view is None:
            return
        if isinstance(notice, LoadReport):
            view.load = notice
            view.unreported_count = 0
        elif isinstance(notice, Serving):
            view.serving = notice
        elif isinstance(notice, CacheReport):
            view.prefixes = frozenset(notice.prefixes)
