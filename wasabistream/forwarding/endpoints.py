"""Network endpoints of processes and backend servers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Hold an address and a port."""

    address: str
    port: int

    def __str__(self) -> str:
        """Return `address:port`."""
        return f'{self.address}:{self.port}'


def parse_endpoint(text: str) -> Endpoint:
    """Parse `address:port`; raises ValueError when the port is missing."""
    address, _, port = text.rpartition(':')
    if not port.isdecimal():
        raise ValueError(f'endpoint {text!r} has no port')
    return Endpoint(address, int(port))
