"""Origin of a stream: the software that wrote its first event."""

from dataclasses import dataclass

from wasabistream.forwarding.backend_servers import BackendServer


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Name the service and the software version that began a stream.

    The version is empty if it is not known for certain.
    """

    service: str
    software_version: str


def may_continue(origin: StreamOrigin, server: BackendServer) -> bool:
    """Return whether a server may go on with a stream that has begun.

    What two versions write does not fit together, and servers do not check it.
    """
    return bool(origin.software_version) and origin == StreamOrigin(
        server.service, server.software_version
    )
