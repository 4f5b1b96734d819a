"""Links between entries, and the choice of those that read configuration."""

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

# Usable entries of its data centre to which an entry keeps links: the readers
# of the configuration service and the entries next in rank, which replace
# readers that fail.
DIALLED_ENTRY_COUNT = 4
# A peer stays usable for this time while its lost link is dialled again.
RECONNECT_GRACE_SECONDS = 3.0
# A reader whose last read is older than this does not reach the service. The
# next in rank replaces it in time for a document to be in force as promised.
MAX_READ_AGE_SECONDS = 6.0


@dataclass
class EntryPeer:
    """Hold the list entry, links and reader status of another entry."""

    vm: Vm
    links: set[Link] = field(default_factory=set)
    # Time since when a wanted link is missing; None while linked or not wanted.
    unlinked_since_seconds: float | None = None
    # Age of the peer's last read; below 0 while it does not read.
    read_age_seconds: float = -1
    status_received_at_seconds: float = 0

    def is_usable(self, now: float) -> bool:
        """Tell whether the peer is reachable and its last read is recent."""
        if self.vm.state != VmState.live or not self.vm.link_port:
            return False
        if not self.links:
            unlinked_since = self.unlinked_since_seconds
            return (
                unlinked_since is None
                or now - unlinked_since < RECONNECT_GRACE_SECONDS
            )
        # The age grows until the next status message, so it also shows that
        # the relay of the peer has stopped.
        age = (
            max(self.read_age_seconds, 0)
            + now
            - self.status_received_at_seconds
        )
        return age < MAX_READ_AGE_SECONDS


class EntryPeers:
    """Keep links to the highest-ranked entries and select the readers."""

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
        """Track the entries on a VM list."""
        listed = {
            vm.id: vm
            for vm in vm_list.vms
            if vm.role == Role.entry and vm.id != self._own_id
        }
        with self._lock:
            for unlisted_id in set(self._peers) - set(listed):
                self._peers.pop(unlisted_id)
            for peer_id, vm in listed.items():
                self._peers.setdefault(peer_id, EntryPeer(vm)).vm = vm
        self.tick()

    def tick(self) -> None:
        """Start and stop dialers so that links match the current ranking."""
        with self._lock:
            wanted = {
                peer.vm.id: peer
                for peer in self._peers_to_dial(time.monotonic())
                if peer.vm.link_port
            }
            for stale_id in self._stale_dialers(wanted):
                self._dialers.pop(stale_id).stop()
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
                peer.unlinked_since_seconds = None
                peer.status_received_at_seconds = time.monotonic()

    def on_link_closed(self, link: Link) -> None:
        """Record the end of a link to an entry."""
        with self._lock:
            peer = self._peers.get(link.peer.peer_id)
            if peer is not None:
                peer.links.discard(link)
                if not peer.links:
                    peer.unlinked_since_seconds = time.monotonic()
                    peer.read_age_seconds = -1

    def status(self, link: Link, read_age_seconds: float) -> None:
        """Record the age of the last read that a peer reports."""
        with self._lock:
            peer = self._peers.get(link.peer.peer_id)
            if peer is not None:
                peer.links.add(link)
                peer.read_age_seconds = read_age_seconds
                peer.status_received_at_seconds = time.monotonic()

    def is_reader(self) -> bool:
        """Tell whether this entry is to read the configuration service."""
        return self._own_id in self.ranked_ids()[: self._reader_count]

    def ranked_ids(self) -> list[str]:
        """Return this entry and the usable ones of its data centre, by rank."""
        now = time.monotonic()
        with self._lock:
            usable_ids = [
                peer.vm.id
                for peer in self._peers_in_data_centre(self._data_centre)
                if peer.is_usable(now)
            ]
        return self._sort_by_rank([self._own_id, *usable_ids])

    def dialled_entry_ids(self) -> set[str]:
        """Return the entries of this data centre that have a dialer."""
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
            peer.unlinked_since_seconds = time.monotonic()
        dialer.start()

    def _peers_to_dial(self, now: float) -> list[EntryPeer]:
        local_peers = self._peers_in_data_centre(self._data_centre)
        to_dial = _first_usable(local_peers, now, DIALLED_ENTRY_COUNT)
        ranked_ids = self._sort_by_rank(
            [
                self._own_id,
                *[peer.vm.id for peer in local_peers if peer.is_usable(now)],
            ]
        )
        if ranked_ids[0] == self._own_id:
            # The first entry of each data centre links to the other data
            # centres, so that a document also reaches a data centre that is
            # cut off from the configuration service.
            names = {peer.vm.data_centre for peer in self._peers.values()}
            for name in names - {self._data_centre}:
                remote_peers = self._peers_in_data_centre(name)
                to_dial.extend(_first_usable(remote_peers, now, 1))
        return to_dial

    def _peers_in_data_centre(self, name: str) -> list[EntryPeer]:
        ids = self._sort_by_rank(
            peer_id
            for peer_id, peer in self._peers.items()
            if peer.vm.data_centre == name
        )
        return [self._peers[peer_id] for peer_id in ids]

    def _sort_by_rank(self, ids: Iterable[str]) -> list[str]:
        return sorted(
            ids,
            key=lambda peer_id: (rendezvous_hash('reader', peer_id), peer_id),
        )


def _first_usable(
    peers: list[EntryPeer], now: float, count: int
) -> list[EntryPeer]:
    """Return the leading peers that include a count of usable ones.

    Unusable peers among them stay dialled, so that their return is noticed.
    """
    selected: list[EntryPeer] = []
    for peer in peers:
        if not count:
            break
        selected.append(peer)
        count -= int(peer.is_usable(now))
    return selected
