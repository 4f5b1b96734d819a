"""Messages about engine crashes and the requests that were running."""

from dataclasses import dataclass

from wasabistream.messages import Message, message


@message(50)
@dataclass(frozen=True, slots=True)
class CrashNotice(Message):
    """State the fingerprints of the requests in an engine that crashed."""

    crash_id: str
    fingerprints: list


@message(51)
@dataclass(frozen=True, slots=True)
class ClearNotice(Message):
    """State that a suspected request has run to its end."""

    fingerprint: int
