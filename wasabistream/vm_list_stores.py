"""Store of the VM list at one entry."""

import logging
import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from wasabistream.configurations import NO_VERSION, VersionId
from wasabistream.documents import canonical_json, compute_digest
from wasabistream.exceptions import ConfigurationError
from wasabistream.ordered_deliveries import OrderedDelivery
from wasabistream.vms import VmList, decode_vm_list, parse_vm_list

logger = logging.getLogger(__name__)

# Versions whose bodies are kept as bases of patches.
KEPT_BODY_COUNT = 3
# Indexes whose digests are kept, to tell a copy of a list from a later one.
KEPT_DIGEST_COUNT = 256


@dataclass(frozen=True)
class VmListVersion:
    """Hold a VM list with its canonical JSON and the digest of that."""

    vm_list: VmList
    body: bytes
    digest: str

    @property
    def version_id(self) -> VersionId:
        """Return index and digest, by which lists are ordered."""
        return (self.vm_list.index, self.digest)


class VmListStore:
    """Keep the latest VM list received and the time of its last read."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._bodies: OrderedDict[str, bytes] = OrderedDict()
        self._digests: OrderedDict[int, str] = OrderedDict()
        self._last_read_monotonic_seconds = float('-inf')
        self._stored_monotonic_seconds = float('-inf')
        self._subscribers: list[Callable[[VmList], None]] = []
        self._changes = OrderedDelivery(self._notify)
        self.latest: VmListVersion | None = None

    @property
    def latest_version_id(self) -> VersionId:
        """Return the id of the latest list."""
        return self.latest.version_id if self.latest else NO_VERSION

    @property
    def read_age_seconds(self) -> float:
        """Return the time since a read of the service gave the latest list."""
        return time.monotonic() - self._last_read_monotonic_seconds

    @property
    def stored_age_seconds(self) -> float:
        """Return the time since the latest list was stored."""
        return time.monotonic() - self._stored_monotonic_seconds

    def subscribe(self, receive: Callable[[VmList], None]) -> None:
        """Call a function with each new list."""
        self._subscribers.append(receive)

    def find_body(self, digest: str) -> bytes | None:
        """Return the body of one of the last lists, or None."""
        with self._lock:
            return self._bodies.get(digest)

    def find_digest(self, index: int) -> str | None:
        """Return the digest of the list stored under an index, or None."""
        with self._lock:
            return self._digests.get(index)

    def has_stored(self, digest: str) -> bool:
        """Tell whether a list was stored, under any index."""
        with self._lock:
            return digest in self._digests.values()

    def offer(self, body: bytes, index: int, read_age_seconds: float) -> bool:
        """Store a list if it is valid and later; tells whether it was."""
        try:
            version = parse_version(body, index)
        except ConfigurationError as error:
            logger.error('entry: VM list refused: %s', error)
            return False
        with self._lock:
            if version.version_id <= self.latest_version_id:
                return False
            self.latest = version
            self._bodies[version.digest] = version.body
            if len(self._bodies) > KEPT_BODY_COUNT:
                self._bodies.popitem(last=False)
            self._digests[index] = version.digest
            if len(self._digests) > KEPT_DIGEST_COUNT:
                self._digests.popitem(last=False)
            self._stored_monotonic_seconds = time.monotonic()
            self._last_read_monotonic_seconds = (
                time.monotonic() - read_age_seconds
            )
            self._changes.add(version.vm_list)
        self._changes.flush()
        return True

    def confirm_read(self, index: int, read_age_seconds: float) -> None:
        """Record a read that gave the latest list again; others are ignored."""
        read_seconds = time.monotonic() - read_age_seconds
        with self._lock:
            if self.latest_version_id[0] == index:
                self._last_read_monotonic_seconds = max(
                    read_seconds, self._last_read_monotonic_seconds
                )

    def _notify(self, vm_list: VmList) -> None:
        for receive in self._subscribers:
            receive(vm_list)


def parse_version(body: bytes, index: int) -> VmListVersion:
    """Parse a VM list and compute its digest; raises ConfigurationError."""
    vm_list = parse_vm_list(body, index)
    canonical = canonical_json(decode_vm_list(body))
    return VmListVersion(vm_list, canonical, compute_digest(canonical))
