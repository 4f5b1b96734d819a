"""Messages between entries and agents about generations that move."""

from dataclasses import dataclass

from wasabistream.messages import Message, message


@message(80)
@dataclass(frozen=True, slots=True)
class RunMoving(Message):
    """Tell that a generation is about to stop at its backend server."""

    run_id: str


@message(81)
@dataclass(frozen=True, slots=True)
class RunMoved(Message):
    """Tell where a generation that was stopped can go on."""

    run_id: str
    # Endpoint of the backend server that holds the memory.
    endpoint: str
    # Endpoint and handle under which the memory is named.
    memory_endpoint: str
    handle: str


@message(82)
@dataclass(frozen=True, slots=True)
class MoveTargetQuery(Message):
    """Ask an entry which backend servers have room."""

    service: str


@message(83)
@dataclass(frozen=True, slots=True)
class MoveTargetReport(Message):
    """List backend servers that can take generations over.

    Each row holds endpoint, data centre, free memory in tokens and the
    number of requests.
    """

    rows: list
