"""Keys refused as not run, and the attempts that this rules out."""

import threading
from collections import OrderedDict

# About 4 MB; when it is full, refusals are `unknown` instead.
MAX_KEY_COUNT = 20000


class RefusalBook:
    """Keep attempts that were under way at a refusal from running after it.

    A caller that reads `not_run` takes the key as not run, even when an
    earlier attempt of the key is still on its way through another entry.
    """

    def __init__(self, max_key_count: int = MAX_KEY_COUNT) -> None:
        self._max_key_count = max_key_count
        self._lock = threading.Lock()
        # Time of the last refusal of each key, the oldest first.
        self._refused: OrderedDict[str, float] = OrderedDict()

    def record(
        self, key: str, now_unix_seconds: float, retention_seconds: float
    ) -> bool:
        """Record a refusal; return False when there is no room for it."""
        oldest_seconds = now_unix_seconds - retention_seconds
        with self._lock:
            while self._refused:
                first = next(iter(self._refused))
                if self._refused[first] > oldest_seconds:
                    break
                self._refused.popitem(last=False)
            if len(self._refused) >= self._max_key_count:
                return False
            self._refused[key] = now_unix_seconds
            self._refused.move_to_end(key)
            return True

    def rules_out(self, key: str, started_unix_seconds: float) -> bool:
        """Tell whether an attempt may have started before a refusal.

        The time is the earliest at which the attempt may have started.
        """
        refused = self._refused.get(key)
        return refused is not None and started_unix_seconds <= refused
