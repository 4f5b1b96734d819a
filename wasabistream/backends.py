"""Backend servers as one entry sees them."""

import threading
from collections.abc import Callable

from wasabistream.backend_views import BackendView
from wasabistream.documents import Document
from wasabistream.links import Link
from wasabistream.notices import CacheReport, LoadReport, ServingReport
from wasabistream.vms import Vm


class BackendDirectory:
    """Hold the views of all agents that an entry knows."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._views: dict[str, BackendView] = {}
        # Opens a link to a listed agent that has none.
        self.dial: Callable[[str], BackendView | None] | None = None
        self._document: Document | None = None

    def views(self) -> list[BackendView]:
        """Return all views."""
        with self._lock:
            return list(self._views.values())

    def find(self, backend_id: str) -> BackendView | None:
        """Return the view of one agent; link to it when it has no link."""
        view = self._views.get(backend_id)
        if view is None and self.dial is not None:
            return self.dial(backend_id)
        return view

    def put(self, vm: Vm) -> BackendView:
        """Add an agent or update its VM entry."""
        with self._lock:
            view = self._views.setdefault(vm.id, BackendView(vm))
            view.update_listing(vm, out=self._is_out(vm))
            return view

    def mark_unlisted(self, backend_id: str) -> None:
        """Give no new work to an agent that left the list."""
        view = self._views.get(backend_id)
        if view is not None:
            view.update_listing(view.vm, out=view.out, listed=False)

    def remove(self, backend_id: str) -> None:
        """Drop an agent that is off the list and has no link."""
        with self._lock:
            self._views.pop(backend_id, None)

    def apply_document(self, document: Document) -> None:
        """Take backend servers out of service or bring them back."""
        with self._lock:
            self._document = document
            for view in self._views.values():
                view.update_listing(
                    view.vm, out=self._is_out(view.vm), listed=view.listed
                )

    def on_link_opened(self, link: Link) -> None:
        """Record a link to an agent."""
        view = self._views.get(link.peer.peer_id)
        if view is not None:
            view.on_link_opened(link)

    def on_link_closed(self, link: Link) -> None:
        """Forget a link that ended."""
        view = self._views.get(link.peer.peer_id)
        if view is not None:
            view.on_link_closed(link)

    def report(
        self, link: Link, notice: LoadReport | ServingReport | CacheReport
    ) -> None:
        """Apply a report of an agent."""
        view = self._views.get(link.peer.peer_id)
        # A late report of an older link says nothing about this one.
        if view is not None and view.link is link:
            view.report(notice)

    def _is_out(self, vm: Vm) -> bool:
        document = self._document
        if document is None:
            return False
        in_service = document.data_centre_in_service(vm.data_centre)
        return not in_service or vm.id in document.backend_servers_out
