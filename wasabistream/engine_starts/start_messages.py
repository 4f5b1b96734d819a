"""Messages about the starts of engines."""

from dataclasses import dataclass

from wasabistream.messages import Message, message


@message(115)
@dataclass(frozen=True, slots=True)
class EngineStartReport(Message):
    """Tell an entry which start of its engine an agent has polled."""

    endpoint: str
    service: str
    started_unix_ms: int
    # Version of the software of that start, as entries that list it have told
    # the agent; empty if none has.
    software_version: str
