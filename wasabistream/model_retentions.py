"""Retention of models: an agent keeps one while a peer unloads it."""

import threading
import time
from collections.abc import Callable

# Time for which an agent that grants a retention keeps the model. The requester
# must have sent its unload order within half of it.
RETENTION_SECONDS = 10.0


class ModelRetentions:
    """Grant retentions, and tell which models they forbid to unload."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._retainable_models: frozenset[str] = frozenset()
        self._retention_ends: dict[str, float] = {}

    def set_kept_models(self, models: frozenset[str]) -> None:
        """Set the models that are served here and assigned to stay."""
        with self._lock:
            self._retainable_models = models

    def grant(self, model: str) -> bool:
        """Grant a retention for RETENTION_SECONDS; return False to refuse."""
        with self._lock:
            if model not in self._retainable_models:
                return False
            self._retention_ends[model] = self._clock() + RETENTION_SECONDS
            return True

    def try_release(self, model: str) -> bool:
        """Stop granting retentions of a model; tell whether none is active."""
        with self._lock:
            self._retainable_models -= {model}
            return self._clock() >= self._retention_ends.get(
                model, float('-inf')
            )


class ModelRetentionRequests:
    """Record retention requests to peers, and the retentions they granted."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._request_times: dict[tuple[str, str], float] = {}
        self._usable_until: dict[str, float] = {}

    def record_request(self, peer_id: str, model: str) -> None:
        """Record a request to a peer, unless an earlier one is unanswered."""
        self._request_times.setdefault((peer_id, model), self._clock())

    def record_reply(self, peer_id: str, model: str, granted: bool) -> None:
        """Record a reply; a granted retention counts from its request."""
        requested_at_seconds = self._request_times.pop((peer_id, model), None)
        if requested_at_seconds is not None and granted:
            self._usable_until[model] = (
                requested_at_seconds + RETENTION_SECONDS / 2
            )

    def drop_requests(self, peer_id: str) -> None:
        """Drop the unanswered requests to a peer whose link ended."""
        for key in [key for key in self._request_times if key[0] == peer_id]:
            self._request_times.pop(key)

    def is_retained(self, model: str) -> bool:
        """Tell whether a peer retains a model long enough to unload it here."""
        return self._clock() < self._usable_until.get(model, float('-inf'))
