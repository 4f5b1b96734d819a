"""Records of server crashes and of the requests in the crashed servers."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

MAX_CRASH_COUNT = 32
MAX_REQUEST_COUNT = 8
# A crash no longer counts after this time.
CRASH_HISTORY_SECONDS = 120.0
# Reports of several entries about one server within this time are of one crash;
# a server needs some seconds to start again.
SAME_CRASH_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class CrashedRequest:
    """Describe a request without an event whose server crashed."""

    # Ids of the shared parts of its prompt, in order.
    parts: tuple[str, ...]
    # Whether the head of its answer had arrived.
    has_begun: bool


@dataclass(slots=True)
class CrashRecord:
    """Hold the requests that may have crashed a server."""

    endpoint: str
    # Monotonic time.
    at_seconds: float
    requests: set[CrashedRequest] = field(default_factory=set)
    # Parts that were answered after the crash.
    cleared_parts: set[str] = field(default_factory=set)

    def add(self, request: CrashedRequest) -> bool:
        """Add a request; return whether it is new and fits."""
        if request in self.requests:
            return False
        if len(self.requests) >= MAX_REQUEST_COUNT:
            waiting = [held for held in self.requests if not held.has_begun]
            if not waiting or not request.has_begun:
                return False
            self.requests.remove(waiting[0])
        self.requests.add(request)
        return True

    def positions(self) -> dict[str, int]:
        """Return the parts that may be the cause, with their last position.

        A server crashes under an answer that it has begun, not under a request
        that waits.
        """
        begun = [held for held in self.requests if held.has_begun]
        positions: dict[str, int] = {}
        for held in begun or self.requests:
            for position, part in enumerate(held.parts):
                positions[part] = max(positions.get(part, 0), position)
        return positions

    def find_companions(self, part: str) -> set[str]:
        """Return all parts of the requests that hold a part."""
        return {
            companion
            for held in self.requests
            if part in held.parts
            for companion in held.parts
        }

    def suspects(self) -> frozenset[str]:
        """Return the parts that may be the cause and are not cleared."""
        return frozenset(self.positions().keys() - self.cleared_parts)


class CrashLog:
    """Hold the latest crashes."""

    def __init__(self) -> None:
        self._records: deque[CrashRecord] = deque(maxlen=MAX_CRASH_COUNT)

    def __iter__(self) -> Iterator[CrashRecord]:
        """Iterate over the crashes."""
        return iter(self._records)

    def add(
        self, endpoint: str, request: CrashedRequest, at_seconds: float
    ) -> bool:
        """Add a request to the crash of its server; return whether it is new."""
        for record in self._records:
            if (
                record.endpoint == endpoint
                and abs(record.at_seconds - at_seconds) < SAME_CRASH_SECONDS
            ):
                return record.add(request)
        self._records.append(CrashRecord(endpoint, at_seconds, {request}))
        return True

    def clear_part(self, part: str, answered_at_seconds: float) -> bool:
        """Clear a part of the crashes before an answer.

        Returns whether it was suspected of any of them.
        """
        was_suspect = False
        for record in self._records:
            if record.at_seconds >= answered_at_seconds:
                continue
            if part in record.suspects():
                was_suspect = True
                record.cleared_parts.add(part)
        return was_suspect

    def expire(self, now: float) -> None:
        """Remove the crashes that are too old."""
        oldest_seconds = now - CRASH_HISTORY_SECONDS
        kept = [
            record
            for record in self._records
            if record.at_seconds > oldest_seconds
        ]
        if len(kept) < len(self._records):
            self._records = deque(kept, maxlen=MAX_CRASH_COUNT)
