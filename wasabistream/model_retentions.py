"""Promises of engines' agents to keep a model that a peer drops."""

import threading
import time
from collections.abc import Callable

# Time for which a granter keeps the model; the asker must have sent its
# order within half of it.
HOLD_SECONDS = 10.0


class ModelRetentions:
    """Promise to keep a model, and never drop a promised one."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._kept: frozenset[str] = frozenset()
        self._ends: dict[str, float] = {}

    def set_kept_models(self, models: frozenset[str]) -> None:
        """Record which models are served here and are to stay."""
        with self._lock:
            self._kept = models

    def promise(self, model: str) -> bool:
        """Promise to keep a model for the hold time, or refuse."""
        with self._lock:
            if model not in self._kept:
                return False
            self._ends[model] = self._clock() + HOLD_SECONDS
            return True

    def try_release(self, model: str) -> bool:
        """Tell whether no promise binds a model; it is not kept any more."""
        with self._lock:
            self._kept -= {model}
            return self._clock() >= self._ends.get(model, float('-inf'))


class ModelRetentionRequests:
    """Remember when peers were asked and what they promised."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._asked: dict[tuple[str, str], float] = {}
        self._ends: dict[str, float] = {}

    def asked(self, peer_id: str, model: str) -> None:
        """Record that a peer is asked, unless its answer is due."""
        self._asked.setdefault((peer_id, model), self._clock())

    def answered(self, peer_id: str, model: str, granted: bool) -> None:
        """Record an answer; its time counts from the question."""
        asked = self._asked.pop((peer_id, model), None)
        if asked is not None and granted:
            self._ends[model] = asked + HOLD_SECONDS / 2

    def lost(self, peer_id: str) -> None:
        """Forget the questions to a peer whose link ended."""
        for key in [key for key in self._asked if key[0] == peer_id]:
            self._asked.pop(key)

    def holds(self, model: str) -> bool:
        """Tell whether some peer keeps the model for long enough."""
        return self._clock() < self._ends.get(model, float('-inf'))
