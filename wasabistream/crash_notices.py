"""Messages about engine crashes and the requests that were running."""

from dataclasses import dataclass

from wasabistream.messages import Message, message


@dataclass(frozen=True, slots=True)
class CrashMessage(Message):
    """Base class of messages about crashes."""


@message(50)
@dataclass(frozen=True, slots=True)
class CrashNotice(CrashMessage):
    """State the fingerprints of the requests in an engine that crashed."""

    crash_id: str
    fingerprints: list
    # Requests that may have crashed the engine, if more than the fingerprints.
    request_count: int = 0
    # Time since the crash, for a process that is told later.
    age_seconds: float = 0


@message(51)
@dataclass(frozen=True, slots=True)
class ClearNotice(CrashMessage):
    """State that a suspected request has run to its end."""

    fingerprint: int
