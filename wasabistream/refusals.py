"""Keys of calls that were refused with the outcome `not_run`.

It tells the caller that no attempt of the call so far has run or will run.
The outcome `unknown` leaves open whether one has run.
"""

import threading
from collections import OrderedDict

# A full table takes about 4 MB. While it is full, calls are refused with the
# outcome `unknown`.
MAX_KEY_COUNT = 20000


class RefusedKeys:
    """Recognise attempts that started before a call of their key was refused.

    A caller that gets `not_run` relies on no attempt of the call having run.
    An earlier attempt that still arrives through another entry must therefore
    not run.
    """

    def __init__(self, max_key_count: int = MAX_KEY_COUNT) -> None:
        self._max_key_count = max_key_count
        self._lock = threading.Lock()
        # Time of the last refusal of each key, oldest first.
        self._refusal_times: OrderedDict[str, float] = OrderedDict()

    def record_refusal(
        self, key: str, now_unix_seconds: float, retention_seconds: float
    ) -> bool:
        """Record a refusal; return False when the table is full."""
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
        self, key: str, earliest_start_unix_seconds: float
    ) -> bool:
        """Tell whether an attempt may have started before a refusal.

        An attempt starts when its entry receives the request of the caller.
        """
        refused = self._refusal_times.get(key)
        return refused is not None and earliest_start_unix_seconds <= refused
