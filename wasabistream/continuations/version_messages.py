"""Messages about the software versions of engines."""

from dataclasses import dataclass

from wasabistream.messages import Message, message


@message(99)
@dataclass(frozen=True, slots=True)
class EngineVersionNotice(Message):
    """Tell an agent what the store lists about its engine.

    Agents do not read the store.
    """

    service: str
    software_version: str
    # Distinguishes restarts; 0 where the list does not state it.
    started_unix_ms: int
