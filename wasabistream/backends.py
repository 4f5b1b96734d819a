"""Directory of the backend servers that an entry knows."""

import threading
from collections.abc import Callable

from wasabistream.backend_views import BackendView
from wasabistream.documents import Document
from wasabistream.links import Link
from wasabistream.notices import CacheReport, LoadReport, ServingReport
from wasabistream.vms import Vm


class BackendDirectory:
    """Hold an entry's views of all agents."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._views: dict[str, BackendView] = {}
        # Opens a link to a listed agent that has no view yet.
        self.dial: Callable[[str], BackendView | None] | None = None
        self._document: Document | None = None

    def views(self) -> list[BackendView]:
        """Return a copy of the list of views."""
        with self._lock:
            return list(self._views.values())

    def find(self, backend_id: str) -> BackendView | None:
        """Return the view of an agent; dial it if there is no view."""
        view = self._views.get(backend_id)
        if view is None and self.dial is not None:
            return self.dial(backend_id)
        return view

    def put(self, vm: Vm) -> BackendView:
        """Add a listed agent, or update the VM of its view."""
        with self._lock:
            view = self._views.setdefault(vm.id, BackendView(vm))
            view.update_listing(vm, out=self._is_out_of_service(vm))
            return view

    def mark_unlisted(self, backend_id: str) -> None:
        """Mark an agent as not in the VM list, so that it gets no new work."""
        view = self._views.get(backend_id)
        if view is not None:
            view.update_listing(view.vm, out=view.out, listed=False)

    def remove(self, backend_id: str) -> None:
        """Remove an agent that is not in the VM list and has no link."""
        with self._lock:
            self._views.pop(backend_id, None)

    def apply_document(self, document: Document) -> None:
        """Update which backend servers are out of service."""
        with self._lock:
            self._document = document
            for view in self._views.values():
                view.update_listing(
                    view.vm,
                    out=self._is_out_of_service(view.vm),
                    listed=view.listed,
                )

    def on_link_opened(self, link: Link) -> None:
        """Record a link to an agent."""
        view = self._views.get(link.peer.peer_id)
        if view is not None:
            view.on_link_opened(link)

    def on_link_closed(self, link: Link) -> None:
        """Remove a closed link from the view of its agent."""
        view = self._views.get(link.peer.peer_id)
        if view is not None:
            view.on_link_closed(link)

    def report(
        self, link: Link, notice: LoadReport | ServingReport | CacheReport
    ) -> None:
        """Apply a report that came over the present link of an agent."""
        view = self._views.get(link.peer.peer_id)
        # A late report from an earlier link may be out of date.
        if view is not None and view.link is link:
            view.report(notice)

    def _is_out_of_service(self, vm: Vm) -> bool:
        document = self._document
        if document is None:
            return False
        in_service = document.is_data_centre_in_service(vm.data_centre)
        return not in_service or vm.id in document.backend_servers_out
