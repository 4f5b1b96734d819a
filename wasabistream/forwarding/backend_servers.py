"""Backend servers as the platform lists them."""

from dataclasses import dataclass

from wasabistream.forwarding.endpoints import Endpoint


@dataclass(frozen=True, slots=True)
class BackendServer:
    """Describe one backend server."""

    server_id: str
    service: str
    address: str
    port: int
    data_centre: str
    slot_count: int
    draining: bool
    cold_remaining_seconds: float
    # Distinguishes restarts under the same id; 0 where the list does not
    # state it.
    started_unix_ms: int
    # Version of its software, not of its weights; empty if unknown.
    software_version: str = ''

    @property
    def endpoint(self) -> str:
        """Return the address and port as `address:port`."""
        return f'{self.address}:{self.port}'


def build_unlisted_server(
    endpoint: Endpoint, service: str, data_centre: str, slot_count: int
) -> BackendServer:
    """Return a running backend server that is not in the list yet."""
    return BackendServer(
        # The id is unknown, so requests cannot state which server they expect.
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
