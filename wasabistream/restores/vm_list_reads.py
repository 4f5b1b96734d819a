"""Order of the VM lists that the configuration service returns.

A service that has returned from an older copy gives indexes out again. What is
written then has a lower index than the list held here, as the copy itself has.
"""

import logging
import math
import threading
import time
from collections import OrderedDict
from collections.abc import Callable

from wasabistream.exceptions import ConfigurationError
from wasabistream.vm_list_stores import (
    KEPT_DIGEST_COUNT,
    VmListStore,
    VmListVersion,
    parse_version,
)

logger = logging.getLogger(__name__)

# A replica of the service that lags returns lower indexes too, for less time.
RETURN_CONFIRM_SECONDS = 3.0


class VmListReads:
    """Store the lists that are read, but no older copy of them.

    A list with a lower index is later than the one held if it is new and its
    index had another list before, or if it was written after the service had
    returned lower indexes for a while. It is stored under an index above the one
    held, so that indexes order the lists at all entries and agents.
    """

    def __init__(
        self, store: VmListStore, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._store = store
        self._clock = clock
        # Reads arrive on the thread of their watcher.
        self._lock = threading.RLock()
        # None before the first read and after an invalid list.
        self._read: VmListVersion | None = None
        self._last_index = 0
        # Digests by index of the service, as last read.
        self._read_digests: OrderedDict[int, str] = OrderedDict()
        self._behind_since_seconds = math.inf
        # Index held when the service went back.
        self._held_index = 0
        # Whether an index is known to have been given out again.
        self._has_returned = False
        # Whether the list was written after the service had gone back.
        self._is_rewritten = False

    def receive(self, body: bytes, index: int, age_seconds: float) -> None:
        """Handle a list that differs from the one read before."""
        try:
            version = parse_version(body, index)
        except ConfigurationError as error:
            logger.error('entry: VM list refused: %s', error)
            self._read = None
            return
        with self._lock:
            if self._read is None or (
                version.version_id != self._read.version_id
            ):
                self._compare(version)
            self._record(version)
            self.check(age_seconds)

    def check(self, age_seconds: float) -> None:
        """Confirm the list held, or replace it by the one read if it is later.

        `age_seconds` is the time since the last read began.
        """
        with self._lock:
            held = self._store.latest
            version = self._read
            if version is None:
                return
            index = version.vm_list.index
            if held is None or index > held.vm_list.index:
                self._store.offer(version.body, index, age_seconds)
            elif version.digest == held.digest:
                self._store.confirm_read(held.vm_list.index, age_seconds)
            elif self._is_rewritten and self._is_return_confirmed():
                self._store_after(held, version, age_seconds)

    def _store_after(
        self, held: VmListVersion, version: VmListVersion, age_seconds: float
    ) -> None:
        # Readers that hold the same list give the next ones the same indexes.
        index = max(
            held.vm_list.index + 1, version.vm_list.index + self._held_index
        )
        if self._store.offer(version.body, index, age_seconds):
            logger.warning(
                'entry: the configuration service has gone back; its VM list '
                + 'of index %d is stored as %d',
                version.vm_list.index,
                index,
            )

    def _compare(self, version: VmListVersion) -> None:
        held = self._store.latest
        index = version.vm_list.index
        if (
            held is None
            or index > held.vm_list.index
            or version.version_id == held.version_id
        ):
            self._behind_since_seconds = math.inf
            self._has_returned = False
            self._is_rewritten = False
            return
        known_digest = self._read_digests.get(index)
        if known_digest is None:
            known_digest = self._store.find_digest(index)
        was_behind = self._behind_since_seconds < math.inf
        has_gone_back = index < self._last_index
        # Reads that only lag behind the other entries do not go back.
        if has_gone_back or not self._last_index:
            self._behind_since_seconds = self._clock()
            self._held_index = held.vm_list.index
            self._has_returned = False
        if known_digest == version.digest:
            self._is_rewritten = False
        elif known_digest is None or self._store.has_stored(version.digest):
            self._is_rewritten = was_behind and not has_gone_back
        else:
            self._is_rewritten = True
            self._has_returned = True

    def _record(self, version: VmListVersion) -> None:
        self._read = version
        self._last_index = version.vm_list.index
        self._read_digests[self._last_index] = version.digest
        if len(self._read_digests) > KEPT_DIGEST_COUNT:
            self._read_digests.popitem(last=False)

    def _is_return_confirmed(self) -> bool:
        behind_seconds = self._clock() - self._behind_since_seconds
        return self._has_returned or behind_seconds >= RETURN_CONFIRM_SECONDS
