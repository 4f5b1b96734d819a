"""Interfaces of the selection of an engine to its collaborators."""

from typing import Protocol

from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.paces.engine_paces import EnginePace


class PaceSource(Protocol):
    """Know how fast the engines are."""

    def pace(self, endpoint: str) -> EnginePace:
        """Return the pace of an engine; UNKNOWN_PACE without a report."""


class RemoteLosses(Protocol):
    """Know what it costs to send a request to another data centre."""

    def remote_loss(self, request: ForwardRequest, data_centre: str) -> float:
        """Return the cost in lost requests; 0 for the own data centre."""

    def record_dispatch(
        self, request: ForwardRequest, server: BackendServer
    ) -> None:
        """Count a request that is sent to a server."""


class PromptNotifier(Protocol):
    """Announce generations to the agents of their engines."""

    def announce_prompt(self, endpoint: str, request: ForwardRequest) -> None:
        """Announce a generation that is about to be sent."""

    def end_prompt(self, endpoint: str, request_id: str) -> None:
        """State that it has its first event, or ended without one."""
