"""Facts that a soak records; times are on the tool's monotonic clock."""

import enum
import signal
import threading
import time
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import cached_property
from typing import Any

from wasabistream_tools.soak import sites

STABLE_SECONDS: float = sites.BOUNDS['stable_window_ms'] / 1000


class Ending(enum.StrEnum):
    """Name how the exchange of one request ended at its client."""

    whole = 'whole'
    # The entry had read all bytes when it closed the connection.
    closed = 'closed'
    # The entry closed the connection with unread bytes.
    reset = 'reset'
    given_up = 'given up'


class RunEnding(enum.StrEnum):
    """Name how a server's work on a request ended."""

    done = 'done'
    caller_left = 'caller left'
    broken_off = 'broken off'
    # At the deadline that the entry had handed on.
    timed_out = 'timed out'
    moved = 'moved'


@dataclass(frozen=True)
class Attempt:
    """Describe one request as its client saw it."""

    attempt_id: str
    entry: str
    prefix: str
    api_key: str
    body: bytes
    may_run_again: bool
    deadline_seconds: float
    begun_at_seconds: float
    # When the last byte was sent; None if that did not happen.
    sent_at_seconds: float | None
    ended_at_seconds: float
    ending: Ending
    status: int = 0
    echoed_id: str = ''
    seal: str = ''
    content: bytes = b''

    @property
    def is_served(self) -> bool:
        """Return whether a whole answer states success."""
        return self.ending is Ending.whole and 200 <= self.status < 300


@dataclass(frozen=True)
class Run:
    """Describe a server's work on a request."""

    attempt_id: str
    server_id: str
    service: str
    begun_at_seconds: float
    ended_at_seconds: float
    ending: RunEnding
    prefix: str
    tenant: str
    body: bytes
    status: int
    seal: str
    # The whole body that the server gives.
    content: bytes
    # Whether it goes on with the memory of a run that was moved.
    is_continued: bool = False


@dataclass(frozen=True)
class Stray:
    """State that bytes arrived while no request was waiting."""

    entry: str
    at_seconds: float
    head: bytes


@dataclass(frozen=True)
class Configuration:
    """Describe a configuration that the operator has written."""

    version: int
    sent_at_seconds: float
    acked_at_seconds: float
    services_by_prefix: Mapping[str, str]
    api_keys: frozenset[str]


@dataclass(frozen=True)
class Leaving:
    """State that the store has accepted that a server leaves."""

    server_id: str
    acked_at_seconds: float


@dataclass(frozen=True)
class StoreOutage:
    """State that the store did not answer, or not with its latest state."""

    began_at_seconds: float
    ended_at_seconds: float


@dataclass(frozen=True)
class Disturbance:
    """State that a process was held, or its links were disturbed."""

    process: str
    began_at_seconds: float
    ended_at_seconds: float
    cause: str


@dataclass(frozen=True)
class Started:
    """State that a daemon was started."""

    process: str
    at_seconds: float


@dataclass(frozen=True)
class Signalled:
    """State that a daemon was sent a signal."""

    process: str
    at_seconds: float
    number: int


@dataclass(frozen=True)
class Exited:
    """State that a daemon has ended."""

    process: str
    at_seconds: float
    code: int
    # Whether SIGKILL ended it after the grace time.
    is_killed: bool = False


@dataclass(frozen=True)
class HeldUp:
    """State by how much the soak's own process was held up."""

    at_seconds: float
    late_seconds: float


@dataclass(frozen=True)
class Played:
    """State that a fault was played."""

    fault: str
    at_seconds: float


@dataclass(frozen=True)
class Facts:
    """Hold the facts of one run, arranged for the checks."""

    rows: tuple[Any, ...]

    def of(self, kind: type) -> list[Any]:
        """Return all facts of a kind in the order of their record."""
        return self._by_kind[kind]

    @property
    def attempts(self) -> list[Attempt]:
        """Return all requests."""
        return self.of(Attempt)

    @property
    def runs(self) -> list[Run]:
        """Return all runs."""
        return self.of(Run)

    @cached_property
    def runs_by_attempt(self) -> dict[str, list[Run]]:
        """Return the runs of each attempt."""
        runs: dict[str, list[Run]] = defaultdict(list)
        for run in self.of(Run):
            runs[run.attempt_id].append(run)
        return runs

    @cached_property
    def attempts_by_id(self) -> dict[str, Attempt]:
        """Return the attempts by their ids."""
        return {attempt.attempt_id: attempt for attempt in self.of(Attempt)}

    @cached_property
    def configurations(self) -> list[Configuration]:
        """Return the configurations in the order of their versions."""
        return sorted(self.of(Configuration), key=lambda item: item.version)

    def runs_of(self, attempt: Attempt) -> list[Run]:
        """Return the runs of an attempt."""
        return self.runs_by_attempt.get(attempt.attempt_id, [])

    def stops_of(self, process: str) -> list[float]:
        """Return when a process got the first SIGTERM of each of its lives."""
        stops: list[float] = []
        begins = self._starts[process]
        for sent in self.signals_of(process, signal.SIGTERM):
            life = max((begin for begin in begins if begin <= sent), default=0)
            if not stops or stops[-1] < life:
                stops.append(sent)
        return stops

    def signals_of(self, process: str, number: int) -> list[float]:
        """Return when a process was sent a signal."""
        return sorted(
            fact.at_seconds
            for fact in self._signals[process]
            if fact.number == number
        )

    def life_begin(self, process: str, at_seconds: float) -> float:
        """Return when the process that ran at a moment was started."""
        return max(
            (begin for begin in self._starts[process] if begin <= at_seconds),
            default=0,
        )

    def is_in_touch(self, entry: str, begin: float, end: float) -> bool:
        """Return whether an entry was in touch for a whole time."""
        earliest = begin - STABLE_SECONDS
        disturbances = [
            *self._starts[entry],
            *self.signals_of(entry, signal.SIGTERM),
            *self._exits[entry],
        ]
        if any(earliest <= moment <= end for moment in disturbances):
            return False
        return not self.is_disturbed(entry, begin, end) and not _has_overlap(
            self.of(StoreOutage), earliest, end
        )

    def is_disturbed(self, entry: str, begin: float, end: float) -> bool:
        """Return whether an entry was held or its links were disturbed."""
        earliest = begin - STABLE_SECONDS
        return _has_overlap(self._disturbances[entry], earliest, end)

    @cached_property
    def _by_kind(self) -> dict[type, list[Any]]:
        by_kind: dict[type, list[Any]] = defaultdict(list)
        for row in self.rows:
            by_kind[type(row)].append(row)
        return by_kind

    @cached_property
    def _starts(self) -> dict[str, list[float]]:
        return _moments_by_process(self.of(Started))

    @cached_property
    def _exits(self) -> dict[str, list[float]]:
        return _moments_by_process(self.of(Exited))

    @cached_property
    def _disturbances(self) -> dict[str, list[Disturbance]]:
        disturbances: dict[str, list[Disturbance]] = defaultdict(list)
        for fact in self.of(Disturbance):
            disturbances[fact.process].append(fact)
        return disturbances

    @cached_property
    def _signals(self) -> dict[str, list[Signalled]]:
        signals: dict[str, list[Signalled]] = defaultdict(list)
        for fact in self.of(Signalled):
            signals[fact.process].append(fact)
        return signals


class Recorder:
    """Collect facts from all threads of a run."""

    def __init__(self) -> None:
        self._facts: list[Any] = []
        self._lock = threading.Lock()

    def add(self, fact: Any) -> None:
        """Record a fact."""
        with self._lock:
            self._facts.append(fact)

    def snapshot(self) -> tuple[Any, ...]:
        """Return all facts recorded so far."""
        with self._lock:
            return tuple(self._facts)


def now() -> float:
    """Return the time on the clock of all facts."""
    return time.monotonic()


def _has_overlap(
    spans: Iterable[StoreOutage | Disturbance], begin: float, end: float
) -> bool:
    return any(
        span.began_at_seconds <= end and begin <= span.ended_at_seconds
        for span in spans
    )


def _moments_by_process(facts: Iterable[Any]) -> dict[str, list[float]]:
    moments: dict[str, list[float]] = defaultdict(list)
    for fact in facts:
        moments[fact.process].append(fact.at_seconds)
    return moments
