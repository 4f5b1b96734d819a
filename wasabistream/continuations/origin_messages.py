"""Messages between entries and agents about the origins of streams."""

from dataclasses import dataclass

from wasabistream.messages import Message, message

# First protocol version whose agents keep the origins of streams.
ORIGINS_VERSION = 4


@message(110)
@dataclass(frozen=True, slots=True)
class StreamOriginRecord(Message):
    """Tell an agent to keep what began a stream."""

    key: bytes
    service: str
    software_version: str
    keep_ms: int


@message(111)
@dataclass(frozen=True, slots=True)
class StreamOriginQuery(Message):
    """Ask an agent what began a stream."""

    # Chosen by the sender; the reply repeats it.
    number: int
    key: bytes


@message(112)
@dataclass(frozen=True, slots=True)
class StreamOriginReply(Message):
    """Answer a query."""

    number: int
    found: bool
    service: str = ''
    # Empty if several versions were recorded.
    software_version: str = ''
