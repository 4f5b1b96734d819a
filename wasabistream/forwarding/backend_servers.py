"""Backend servers that the platform lists."""

from dataclasses import dataclass

from wasabistream.forwarding.endpoints import Endpoint


@dataclass(frozen=True, slots=True)
class BackendServer:
    """Hold one listed backend server."""

    server_id: str
    service: str
    address: str
    port: int
    data_centre: str
    slot_count: int
    draining: bool
    cold_remaining_seconds: float
    # Tells a new start under the same id from the one before; 0 where the
    # list does not tell.
    started_unix_ms: int

    @property
    def endpoint(self) -> str:
        """Return address and port as one text."""
        return f'{self.address}:{self.port}'


def build_unlisted_server(
    endpoint: Endpoint, service: str, data_centre: str, slot_count: int
) -> BackendServer:
    """Return a backend server that runs but is not in the list yet."""
    return BackendServer(
        # Its id is not known, so requests cannot state whom they expect.
        server_id='',
        service=service,
        address=endpoint.address,
        port=endpoint.port,
        data_centre=data_centre,
        slot_count=slot_count,
        draining=False,
        cold_remaining_seconds=0,
        started_unix_ms=0,
    )
