"""Liveness by the time of the last contact."""

import threading
import time
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

# Three notice intervals of one second, with a margin.
LIVENESS_TIMEOUT_SECONDS = 3.5

KeyT = TypeVar('KeyT', bound=Hashable)


@dataclass(frozen=True, slots=True)
class Presence:
    """Hold the first and the last contact since a key was silent."""

    first_seconds: float
    last_seconds: float


class LivenessTracker(Generic[KeyT]):
    """Record the last contact of each key; silent keys expire."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._presences: dict[KeyT, Presence] = {}

    def record_contact(self, key: KeyT, age_seconds: float = 0) -> bool:
        """Record contact `age_seconds` ago; return whether the key is new."""
        now = self._clock()
        contact_seconds = now - age_seconds
        with self._lock:
            before = self._presences.get(key)
            if before is not None and _is_silent(before, now):
                before = None
            if before is None:
                self._presences[key] = Presence(
                    contact_seconds, contact_seconds
                )
            elif contact_seconds > before.last_seconds:
                self._presences[key] = Presence(
                    before.first_seconds, contact_seconds
                )
            return before is None

    def list_live(self) -> list[KeyT]:
        """Return the keys with contact within the timeout; remove others."""
        return list(self.presences())

    def presences(self) -> dict[KeyT, Presence]:
        """Return the live keys with their first and last contacts."""
        now = self._clock()
        with self._lock:
            for key, presence in list(self._presences.items()):
                if _is_silent(presence, now):
                    self._presences.pop(key)
            return dict(self._presences)

    def ages_seconds(self) -> dict[KeyT, float]:
        """Return the live keys with the time since their last contact."""
        now = self._clock()
        return {
            key: now - presence.last_seconds
            for key, presence in self.presences().items()
        }


def _is_silent(presence: Presence, now: float) -> bool:
    return now - presence.last_seconds > LIVENESS_TIMEOUT_SECONDS
