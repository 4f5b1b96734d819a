"""Events of a history: what callers, stand-ins and operators observed or did.

All times come from the monotonic clock of the host on which all processes of
one run are started.
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
    """Hold the time of an event; base of all events."""

    at_seconds: float


@dataclass(frozen=True)
class Sent(Event):
    """A caller sent a request; a whole answer has `length_tokens` tokens."""

    tag: str
    key: str = ''
    length_tokens: int = 0


@dataclass(frozen=True)
class Received(Event):
    """A caller received one token; `text` is as the engine wrote it."""

    tag: str
    text: str


@dataclass(frozen=True)
class Ended(Event):
    """A request ended for its caller."""

    tag: str
    end: End
    # Whether the request ran, as the error answer states it; `unknown` if there
    # is no answer, empty if it is complete.
    outcome: str = ''


@dataclass(frozen=True)
class Cut(Event):
    """A connection to a process broke before the answer had ended."""

    tag: str
    process: str


@dataclass(frozen=True)
class Ran(Event):
    """A backend server took a request to run; an engine may queue it first."""

    tag: str
    backend: str
    data_centre: str
    key: str = ''


@dataclass(frozen=True)
class Overloaded(Event):
    """A cold engine got more sequences than it can run, and crashed."""

    backend: str


@dataclass(frozen=True)
class TakenOut(Event):
    """A fault took a data centre or backend server out, as operators do."""

    data_centre: str = ''
    backend: str = ''


@dataclass(frozen=True)
class BroughtBack(Event):
    """A fault put a data centre or backend server back, as operators do."""

    data_centre: str = ''
    backend: str = ''


@dataclass(frozen=True)
class Stopped(Event):
    """A process was told to stop at `told_at_seconds` and has exited."""

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
    """Operators published a valid configuration document."""

    revision: int


@dataclass(frozen=True)
class InForce(Event):
    """A process that takes requests reported its document in force."""

    process: str
    revision: int
    digest: str


EventType = TypeVar('EventType', bound=Event)


@dataclass(frozen=True)
class History:
    """Hold the events of one run, sorted by time."""

    events: tuple[Event, ...]

    def events_of(self, event_type: type[EventType]) -> list[EventType]:
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
        """Return all events added so far, sorted by time."""
        with self._lock:
            sorted_events = sorted(
                self._events, key=lambda item: item.at_seconds
            )
        return History(tuple(sorted_events))


def now() -> float:
    """Return the time of the clock of all events, in seconds."""
    return time.monotonic()
