"""Interfaces of the check of answers that end with their connection."""

from typing import Protocol

from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.engine_states import EngineState
from wasabistream.forwarding.supervisors import RequestWatch


class EndGate(Protocol):
    """Decide whether the end of a connection is the end of the answer."""

    def check(self, server: BackendServer, watch: RequestWatch) -> None:
        """Raise BackendError unless the run at the server is complete."""


class EngineReports(Protocol):
    """Read the states of engines at other machines."""

    def read(self, server: BackendServer) -> EngineState:
        """Return the state of an engine; raises BackendError."""


class AcceptAllEnds:
    """Take the end of each connection for the end of the answer."""

    def check(self, server: BackendServer, watch: RequestWatch) -> None:
        """Accept the end."""
