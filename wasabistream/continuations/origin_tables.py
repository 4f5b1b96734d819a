"""Bounded table of the origins of streams."""

import hashlib
import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache

from wasabistream.continuations.stream_origins import StreamOrigin

KEY_BYTES = 16
# Longer names of services and versions are not recorded.
MAX_NAME_CHARACTERS = 128
# Longest time for which a record is kept.
MAX_KEEP_SECONDS = 600.0
# Origins that are shared by the records of a table.
SHARED_ORIGIN_COUNT = 1024
# Of a stream for which several origins were recorded.
CONFLICTING_ORIGIN = StreamOrigin('', '')


def build_origin_key(organisation: str, request_id: str) -> bytes:
    """Return the key of the stream that a request of a caller began.

    It holds the organisation, so that no other one can resume the stream.
    """
    text = f'{len(organisation)}:{organisation}{request_id}'
    return hashlib.blake2b(
        text.encode(errors='surrogatepass'), digest_size=KEY_BYTES
    ).digest()


@lru_cache(maxsize=SHARED_ORIGIN_COUNT)
def share_origin(service: str, software_version: str) -> StreamOrigin:
    """Return one object for all records with the same origin."""
    return StreamOrigin(service, software_version)


def is_recordable(origin: StreamOrigin) -> bool:
    """Return whether an origin is known and short enough for a record."""
    names = (origin.service, origin.software_version)
    return all(0 < len(name) <= MAX_NAME_CHARACTERS for name in names)


@dataclass(frozen=True, slots=True)
class _Record:
    origin: StreamOrigin
    expires_at_seconds: float


class OriginTable:
    """Keep the origins of streams for a time; the oldest go first."""

    def __init__(
        self,
        max_record_count: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._max_record_count = max_record_count
        self._clock = clock
        self._lock = threading.Lock()
        self._records: OrderedDict[bytes, _Record] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def record(
        self, key: bytes, origin: StreamOrigin, keep_seconds: float
    ) -> None:
        """Keep an origin; another one for the same key makes it unknown."""
        now_seconds = self._clock()
        expires_at_seconds = now_seconds + min(keep_seconds, MAX_KEEP_SECONDS)
        with self._lock:
            before = self._records.pop(key, None)
            if before is not None and before.expires_at_seconds > now_seconds:
                if before.origin != origin:
                    origin = CONFLICTING_ORIGIN
            self._records[key] = _Record(origin, expires_at_seconds)
            self._trim(now_seconds)

    def find(self, key: bytes) -> StreamOrigin | None:
        """Return the origin of a stream, or None if none is kept."""
        record = self._records.get(key)
        if record is None or record.expires_at_seconds <= self._clock():
            return None
        return record.origin

    def _trim(self, now_seconds: float) -> None:
        while self._records:
            oldest = next(iter(self._records.values()))
            is_full = len(self._records) > self._max_record_count
            if not is_full and oldest.expires_at_seconds > now_seconds:
                return
            self._records.popitem(last=False)
