"""Backend servers that the platform lists."""

from dataclasses import dataclass


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
