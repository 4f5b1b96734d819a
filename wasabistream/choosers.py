"""Chooser that finds a backend server and opens links on demand."""

import time
from collections.abc import Callable

from wasabistream.backends import BackendDirectory, BackendView
from wasabistream.exceptions import AttemptError
from wasabistream.links import Link
from wasabistream.outcomes import Outcome
from wasabistream.routers import RouteQuery, Router

# Bound of the wait for links that are opened on demand.
DEMAND_WAIT_SECONDS = 1.0
DEMAND_POLL_SECONDS = 0.01


class BackendChooser:
    """Route a request, over links that exist or are opened for it."""

    def __init__(
        self,
        router: Router,
        directory: BackendDirectory,
        demand: Callable[[RouteQuery], bool],
    ) -> None:
        self._router = router
        self._directory = directory
        self._demand = demand

    def choose(self, query: RouteQuery) -> BackendView | None:
        """Return a backend server for a request, or None."""
        if query.spill:
            # Links that are opened now serve the next requests at the latest.
            self._demand(query)
        view = self._route(query)
        while view is None and self._demand(query):
            limit = time.monotonic() + DEMAND_WAIT_SECONDS
            while view is None and time.monotonic() < limit:
                time.sleep(DEMAND_POLL_SECONDS)
                view = self._route(query)
        return view

    def choose_link(self, query: RouteQuery) -> tuple[BackendView, Link]:
        """Choose a backend server and count a send to it.

        Raises AttemptError.
        """
        while True:
            view = self.choose(query)
            if view is None:
                raise AttemptError('no_backend', Outcome.not_run, '', 1)
            link = view.add_sent_request(query.prefix)
            if link is not None:
                return view, link

    def _route(self, query: RouteQuery) -> BackendView | None:
        return self._router.route(self._directory.views(), query)
