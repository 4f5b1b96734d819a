"""Interfaces of the checks of runs that have ended, or should have."""

from typing import Protocol

from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.engine_states import EngineState
from wasabistream.forwarding.move_messages import RunMoved
from wasabistream.forwarding.supervisors import RequestWatch


class EndGate(Protocol):
    """Decide whether the end of a connection is the end of the answer."""

    def check(self, server: BackendServer, watch: RequestWatch) -> None:
        """Raise BackendError unless the run at the server is complete."""


class HandoverGate(Protocol):
    """Decide when a stream may go on at another engine."""

    def wait(
        self, server: BackendServer, watch: RequestWatch
    ) -> RunMoved | None:
        """Return the move of a run, or None once it has ended at the server."""


class DirectHandovers:
    """Let each stream go on at once."""

    def wait(self, server: BackendServer, watch: RequestWatch) -> None:
        """Return at once."""


class EngineReports(Protocol):
    """Read the states of engines at other machines."""

    def read(self, server: BackendServer) -> EngineState:
        """Return the state of an engine; raises BackendError."""


class AcceptAllEnds:
    """Take the end of each connection for the end of the answer."""

    def check(self, server: BackendServer, watch: RequestWatch) -> None:
        """Accept the end."""
