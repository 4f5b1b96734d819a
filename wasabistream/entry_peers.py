"""Links of an entry to other entries, and which of them read the service."""

import logging
import threading
import time
from collections.abc import Iterable
from dataclasses import dataclass, field

from wasabistream.dialers import PeerDialer
from wasabistream.links import Link, LinkHandler
from wasabistream.notices import Hello
from wasabistream.owners import rendezvous_hash
from wasabistream.vms import Role, Vm, VmList, VmState

logger = logging.getLogger(__name__)

# Entries to which each entry of a data centre keeps a link: the readers and
# those that take over from them.
DIALED_COUNT = 4
# Time in which a link that broke may open again.
REOPEN_SECONDS = 3.0
# A watch is answered after 10 s at the latest; a reader with an older read
# cannot reach the service.
SILENT_READER_SECONDS = 15.0


@dataclass
class EntryPeer:
    """Hold what is known of one other entry."""

    vm: Vm
    links: set[Link] = field(default_factory=set)
    # Time since when a link is wanted and missing; None without a need.
    missing_since_seconds: float | None = None
    read_age_seconds: float = -1
    status_seconds: float = 0

    def works(self, now: float) -> bool:
        """Tell whether the peer is there and can read if it is to."""
        if self.vm.state != VmState.live or not self.vm.link_port:
            return False
        if not self.links:
            missing = self.missing_since_seconds
            return missing is None or now - missing < REOPEN_SECONDS
        # A peer whose relay has stopped sends no status over its link.
        age = max(self.read_age_seconds, 0) + now - self.status_seconds
        return age < SILENT_READER_SECONDS


class EntryPeers:
    """Dial the entries that matter and rank those that work."""

    def __init__(
        self, hello: Hello, handler: LinkHandler, reader_count: int
    ) -> None:
        self._reader_count = reader_count
        self._hello = hello
        self._handler = handler
        self._own_id = hello.peer_id
        self._data_centre = hello.data_centre
        self._lock = threading.Lock()
        self._peers: dict[str, EntryPeer] = {}
        self._dialers: dict[str, PeerDialer] = {}

    def apply_list(self, vm_list: VmList) -> None:
        """Follow the entries on a VM list."""
        listed = {
            vm.id: vm
            for vm in vm_list.vms
            if vm.role == Role.entry and vm.id != self._own_id
        }
        with self._lock:
            for gone in set(self._peers) - set(listed):
                self._peers.pop(gone)
            for peer_id, vm in listed.items():
                self._peers.setdefault(peer_id, EntryPeer(vm)).vm = vm
        self.tick()

    def tick(self) -> None:
        """Dial the peers that matter now."""
        with self._lock:
            wanted = {
                peer.vm.id: peer
                for peer in self._targets(time.monotonic())
                if peer.vm.link_port
            }
            for stale in self._stale_dialers(wanted):
                self._dialers.pop(stale).stop()
            for peer_id in set(wanted) - set(self._dialers):
                self._dial(wanted[peer_id])

    def stop(self) -> None:
        """Stop all dialers."""
        with self._lock:
            for dialer in self._dialers.values():
                dialer.stop()

    def on_link_opened(self, link: Link) -> None:
        """Record a link to an entry."""
        with self._lock:
            peer = self._peers.get(link.peer.peer_id)
            if peer is not None:
                peer.links.add(link)
                peer.missing_since_seconds = None
                peer.status_seconds = time.monotonic()

    def on_link_closed(self, link: Link) -> None:
        """Record the end of a link to an entry."""
        with self._lock:
            peer = self._peers.get(link.peer.peer_id)
            if peer is not None:
                peer.links.discard(link)
                if not peer.links:
                    peer.missing_since_seconds = time.monotonic()
                    peer.read_age_seconds = -1

    def status(self, link: Link, read_age_seconds: float) -> None:
        """Record how old the last read of a peer is."""
        with self._lock:
            peer = self._peers.get(link.peer.peer_id)
            if peer is not None:
                peer.links.add(link)
                peer.read_age_seconds = read_age_seconds
                peer.status_seconds = time.monotonic()

    def is_reader(self) -> bool:
        """Tell whether this entry is to read the service."""
        return self._own_id in self.ranked()[: self._reader_count]

    def ranked(self) -> list[str]:
        """Return the entries of the data centre that work, by rank."""
        now = time.monotonic()
        with self._lock:
            working = [
                peer.vm.id
                for peer in self._of_data_centre(self._data_centre)
                if peer.works(now)
            ]
        return self._by_rank([self._own_id, *working])

    def dialled_entry_ids(self) -> set[str]:
        """Return the entries of this data centre to which links are kept."""
        with self._lock:
            return {
                peer_id
                for peer_id in self._dialers
                if self._peers[peer_id].vm.data_centre == self._data_centre
            }

    def _stale_dialers(self, wanted: dict[str, EntryPeer]) -> list[str]:
        return [
            peer_id
            for peer_id, dialer in self._dialers.items()
            if peer_id not in wanted
            or (dialer.address, dialer.port)
            != (wanted[peer_id].vm.address, wanted[peer_id].vm.link_port)
        ]

    def _dial(self, peer: EntryPeer) -> None:
        dialer = PeerDialer(
            peer.vm.address, peer.vm.link_port, self._hello, self._handler
        )
        self._dialers[peer.vm.id] = dialer
        if not peer.links:
            peer.missing_since_seconds = time.monotonic()
        dialer.start()

    def _targets(self, now: float) -> list[EntryPeer]:
        own = self._of_data_centre(self._data_centre)
        targets = _first_working(own, now, DIALED_COUNT)
        ranked = self._by_rank(
            [self._own_id, *[peer.vm.id for peer in own if peer.works(now)]]
        )
        if ranked[0] == self._own_id:
            # One entry of each data centre is linked to the others, so that
            # a document reaches a data centre cut off from the service.
            names = {peer.vm.data_centre for peer in self._peers.values()}
            for name in names - {self._data_centre}:
                others = self._of_data_centre(name)
                targets.extend(_first_working(others, now, 1))
        return targets

    def _of_data_centre(self, name: str) -> list[EntryPeer]:
        ids = self._by_rank(
            peer_id
            for peer_id, peer in self._peers.items()
            if peer.vm.data_centre == name
        )
        return [self._peers[peer_id] for peer_id in ids]

    def _by_rank(self, ids: Iterable[str]) -> list[str]:
        return sorted(
            ids,
            key=lambda peer_id: (rendezvous_hash('reader', peer_id), peer_id),
        )


def _first_working(
    peers: list[EntryPeer], now: float, count: int
) -> list[EntryPeer]:
    """Return the first peers, up to the given count of working ones.

    Those before that do not work stay dialed, to see them return.
    """
    chosen: list[EntryPeer] = []
    for peer in peers:
        if not count:
            break
        chosen.append(peer)
        count -= int(peer.works(now))
    return chosen
