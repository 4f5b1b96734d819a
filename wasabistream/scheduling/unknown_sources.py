"""Collaborators of the selection that know nothing about engines."""

from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.paces.engine_paces import UNKNOWN_PACE, EnginePace


class UnknownPaces:
    """Know the pace of no engine."""

    def pace(self, endpoint: str) -> EnginePace:
        """Return UNKNOWN_PACE."""
        return UNKNOWN_PACE


class NoRemoteLosses:
    """Make all data centres cost the same."""

    def remote_loss(self, request: ForwardRequest, data_centre: str) -> float:
        """Return 0."""
        return 0

    def record_dispatch(
        self, request: ForwardRequest, server: BackendServer
    ) -> None:
        """Ignore a request that is sent to a server."""
