"""Events of a history, recorded at callers and stand-ins.

All times are of the machine's monotonic clock, which every process of one
history shares.
"""

import threading
import time
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TypeVar


class End(StrEnum):
    """Name how a request ended for its caller."""

    complete = 'complete'
    refused = 'refused'
    broken = 'broken'


@dataclass(frozen=True)
class Event:
    """Hold what all events have."""

    at_seconds: float


@dataclass(frozen=True)
class Sent(Event):
    """A caller sent a request; `length_tokens` is the whole answer."""

    tag: str
    key: str = ''
    length_tokens: int = 0


@dataclass(frozen=True)
class Received(Event):
    """A caller received one token, as the engine wrote it."""

    tag: str
    text: str


@dataclass(frozen=True)
class Ended(Event):
    """A request ended for its caller."""

    tag: str
    end: End
    outcome: str = ''


@dataclass(frozen=True)
class Cut(Event):
    """The connection of a request to a process broke before its end."""

    tag: str
    process: str


@dataclass(frozen=True)
class Ran(Event):
    """A backend server started work for a request."""

    tag: str
    backend: str
    data_centre: str
    key: str = ''


@dataclass(frozen=True)
class Overloaded(Event):
    """A cold engine got more than it bears."""

    backend: str


@dataclass(frozen=True)
class TakenOut(Event):
    """Operators took a data centre or a backend server out."""

    data_centre: str = ''
    backend: str = ''


@dataclass(frozen=True)
class BroughtBack(Event):
    """Operators brought a data centre or a backend server back."""

    data_centre: str = ''
    backend: str = ''


@dataclass(frozen=True)
class Stopped(Event):
    """A process was told to stop and has ended."""

    process: str
    told_at_seconds: float
    exit_code: int


@dataclass(frozen=True)
class Paused(Event):
    """A process was paused until `until_seconds`."""

    process: str
    until_seconds: float


@dataclass(frozen=True)
class Published(Event):
    """Operators published a document that is valid."""

    revision: int


@dataclass(frozen=True)
class InForce(Event):
    """A process that takes requests showed its document in force."""

    process: str
    revision: int
    digest: str


EventType = TypeVar('EventType', bound=Event)


@dataclass(frozen=True)
class History:
    """Hold the events of one run in order of time."""

    events: tuple[Event, ...]

    def of(self, event_type: type[EventType]) -> list[EventType]:
        """Return the events of one type."""
        return [item for item in self.events if isinstance(item, event_type)]


@dataclass
class Recorder:
    """Collect events from many threads."""

    _events: list[Event] = field(default_factory=list)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def add(self, event: Event) -> None:
        """Add one event."""
        with self._lock:
            self._events.append(event)

    def history(self) -> History:
        """Return all events in order of time."""
        with self._lock:
            ordered = sorted(self._events, key=lambda item: item.at_seconds)
        return History(tuple(ordered))


def now() -> float:
    """Return the time that events carry."""
    return time.monotonic()
