"""VM list held by one entry."""

import logging
import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from wasabistream.configurations import NO_VERSION, VersionId
from wasabistream.documents import canonical_json, digest_of
from wasabistream.exceptions import ConfigurationError
from wasabistream.vms import VmList, load_vm_list, parse_vm_list

logger = logging.getLogger(__name__)

KEPT_BODY_COUNT = 3


@dataclass(frozen=True)
class HeldVmList:
    """Hold a list with its canonical bytes and their digest."""

    vm_list: VmList
    body: bytes
    digest: str

    @property
    def version_id(self) -> VersionId:
        """Return the key by which lists are ordered."""
        return (self.vm_list.index, self.digest)


class VmListStore:
    """Hold the list with the highest index seen."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._bodies: OrderedDict[str, bytes] = OrderedDict()
        self._read_monotonic_seconds = float('-inf')
        self._receivers: list[Callable[[VmList], None]] = []
        self.latest: HeldVmList | None = None

    @property
    def latest_version_id(self) -> VersionId:
        """Return the order of the list held."""
        return self.latest.version_id if self.latest else NO_VERSION

    @property
    def read_age_seconds(self) -> float:
        """Return the time since the service confirmed the list."""
        return time.monotonic() - self._read_monotonic_seconds

    def subscribe(self, receive: Callable[[VmList], None]) -> None:
        """Call a receiver with each new list."""
        self._receivers.append(receive)

    def body_of(self, digest: str) -> bytes | None:
        """Return the body of a recent list."""
        with self._lock:
            return self._bodies.get(digest)

    def offer(self, body: bytes, index: int, read_age_seconds: float) -> bool:
        """Hold a list if it is valid and newer."""
        try:
            held = _parse(body, index)
        except ConfigurationError as error:
            logger.error('entry: VM list refused: %s', error)
            return False
        with self._lock:
            if held.version_id <= self.latest_version_id:
                return False
            self.latest = held
            self._bodies[held.digest] = held.body
            if len(self._bodies) > KEPT_BODY_COUNT:
                self._bodies.popitem(last=False)
            self._read_monotonic_seconds = time.monotonic() - read_age_seconds
        for receive in self._receivers:
            receive(held.vm_list)
        return True

    def confirm_read(self, index: int, read_age_seconds: float) -> None:
        """Record that the service still gives the list held."""
        read_seconds = time.monotonic() - read_age_seconds
        with self._lock:
            if self.latest_version_id[0] == index:
                self._read_monotonic_seconds = max(
                    read_seconds, self._read_monotonic_seconds
                )


def _parse(body: bytes, index: int) -> HeldVmList:
    vm_list = parse_vm_list(body, index)
    canonical = canonical_json(load_vm_list(body))
    return HeldVmList(vm_list, canonical, digest_of(canonical))
