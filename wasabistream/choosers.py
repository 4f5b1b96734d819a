"""Choice of a backend server, with links opened on demand."""

import time
from collections.abc import Callable

from wasabistream.backends import BackendDirectory, BackendView
from wasabistream.exceptions import AttemptError
from wasabistream.links import Link
from wasabistream.outcomes import Outcome
from wasabistream.routers import RouteQuery, Router

# Longest wait for the links opened by one call of `link_remote_agents` when no
# linked server can serve a request.
ON_DEMAND_LINK_WAIT_SECONDS = 1.0
ON_DEMAND_LINK_POLL_SECONDS = 0.01


class BackendChooser:
    """Choose a backend server among linked agents, opening links if needed.

    `link_remote_agents` starts to open links to further agents of other data
    centres and returns whether it has started any.
    """

    def __init__(
        self,
        router: Router,
        directory: BackendDirectory,
        link_remote_agents: Callable[[RouteQuery], bool],
    ) -> None:
        self._router = router
        self._directory = directory
        self._link_remote_agents = link_remote_agents

    def choose(self, query: RouteQuery) -> BackendView | None:
        """Return a backend server for a request, or None.

        Blocks while links that were opened for the request come up.
        """
        if query.prefer_remote:
            # Servers here are overloaded. This request uses the links that are
            # open already; the new ones serve later requests.
            self._link_remote_agents(query)
        view = self._route(query)
        # Repeated calls link to more and more agents, up to a limit.
        while view is None and self._link_remote_agents(query):
            wait_end_seconds = time.monotonic() + ON_DEMAND_LINK_WAIT_SECONDS
            while view is None and time.monotonic() < wait_end_seconds:
                time.sleep(ON_DEMAND_LINK_POLL_SECONDS)
                view = self._route(query)
        return view

    def choose_link(self, query: RouteQuery) -> tuple[BackendView, Link]:
        """Choose a backend server and count this request as sent to it.

        Raises AttemptError when no backend server is available.
        """
        while True:
            view = self.choose(query)
            if view is None:
                raise AttemptError('no_backend', Outcome.not_run, '', 1)
            # The link is None if it has ended since the choice.
            link = view.add_sent_request(query.prefix)
            if link is not None:
                return view, link

    def _route(self, query: RouteQuery) -> BackendView | None:
        return self._router.route(self._directory.views(), query)
