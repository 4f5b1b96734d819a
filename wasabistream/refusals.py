"""Keys that were refused with the outcome `not_run`."""

import threading
from collections import OrderedDict

# About 4 MB. Further keys are refused with the outcome `unknown`.
MAX_KEY_COUNT = 20000


class RefusedKeys:
    """Recognise attempts that started before their key was refused.

    A caller that reads `not_run` relies on the key not having run. An earlier
    attempt that still arrives through another entry must therefore not run.
    """

    def __init__(self, max_key_count: int = MAX_KEY_COUNT) -> None:
        self._max_key_count = max_key_count
        self._lock = threading.Lock()
        # Time of the last refusal of each key, oldest first.
        self._refusal_times: OrderedDict[str, float] = OrderedDict()

    def record_refusal(
        self, key: str, now_unix_seconds: float, retention_seconds: float
    ) -> bool:
        """Record a refusal; return False when the limit of keys is reached."""
        oldest_kept_seconds = now_unix_seconds - retention_seconds
        with self._lock:
            while self._refusal_times:
                first = next(iter(self._refusal_times))
                if self._refusal_times[first] > oldest_kept_seconds:
                    break
                self._refusal_times.popitem(last=False)
            if len(self._refusal_times) >= self._max_key_count:
                return False
            self._refusal_times[key] = now_unix_seconds
            self._refusal_times.move_to_end(key)
            return True

    def may_predate_refusal(
        self, key: str, started_unix_seconds: float
    ) -> bool:
        """Tell whether an attempt may have started before a refusal.

        The argument is the earliest time at which it can have started.
        """
        refused = self._refusal_times.get(key)
        return refused is not None and started_unix_seconds <= refused
