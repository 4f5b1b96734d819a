"""Addresses of processes and backend servers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Hold an address and a port."""

    address: str
    port: int

    def __str__(self) -> str:
        """Return both as one text."""
        return f'{self.address}:{self.port}'


def parse_endpoint(text: str) -> Endpoint:
    """Return the endpoint that a text names; raises ValueError."""
    address, _, port = text.rpartition(':')
    if not port.isdecimal():
        raise ValueError(f'{text!r} names no port')
    return Endpoint(address, int(port))
