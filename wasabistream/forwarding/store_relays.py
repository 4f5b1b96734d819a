"""Choice of the entries of a data centre that watch the store for the others.

The choice needs no agreement: entries with different views only have more
relays for a while, and each one that is behind reads the store itself.
"""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from wasabistream.forwarding.peer_messages import PeerNotice
from wasabistream.owners import rendezvous_hash
from wasabistream.restores.store_versions import StoreVersion

# Relays of each data centre; one more than needed, as one may be lost.
RELAY_COUNT = 2
# Entries with a narrower link are relays only where there are too few others. A
# relay sends each change to all entries of its data centre.
NARROW_LINK_MBPS = 50.0
# Parts of the time in which a change must be in force. A peer without a notice
# for longer is no relay; the rest is left for reading the store.
NOTICE_AGE_RATIO = 0.75
# An entry that has missed a version for longer reads the store itself. Relays
# pass a change on within milliseconds; a busy entry needs the rest to read.
BEHIND_RATIO = 0.25


@dataclass(frozen=True, slots=True)
class PeerState:
    """Hold the last notice of a linked entry."""

    notice: PeerNotice
    data_centre: str
    # Whether it takes and passes on differences.
    is_capable: bool
    received_at_seconds: float


class StoreRelays:
    """Decide whether this entry watches the store or is updated by relays."""

    def __init__(
        self,
        own_endpoint: str,
        data_centre: str,
        own_version: Callable[[], StoreVersion],
        apply_seconds: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._own_endpoint = own_endpoint
        self._data_centre = data_centre
        self._own_version = own_version
        self._notice_age_limit_seconds = apply_seconds * NOTICE_AGE_RATIO
        self._behind_limit_seconds = apply_seconds * BEHIND_RATIO
        self._clock = clock
        # 0 if unknown.
        self.own_link_mbps: float = 0
        self._lock = threading.Lock()
        self._peers: dict[object, PeerState] = {}
        # Since when a peer has had a later version, and that version; None while
        # none has.
        self._behind_since_seconds: float | None = None
        self._missed_version = StoreVersion()

    def record_notice(
        self,
        link: object,
        notice: PeerNotice,
        data_centre: str,
        *,
        is_capable: bool,
    ) -> None:
        """Record the notice of a linked entry."""
        state = PeerState(notice, data_centre, is_capable, self._clock())
        with self._lock:
            self._peers[link] = state

    def remove(self, link: object) -> None:
        """Remove the entry at a closed link."""
        with self._lock:
            self._peers.pop(link, None)

    def is_relay(self) -> bool:
        """Return whether this entry is a relay of its data centre."""
        with self._lock:
            return self._own_endpoint in self._find_relays()

    def is_updated_by_relays(self) -> bool:
        """Return whether a relay that reads the store keeps this entry current."""
        with self._lock:
            relays = self._find_relays()
            if self._own_endpoint in relays:
                return False
            has_reader = any(
                not peer.notice.store_lost
                for peer in self._live_peers()
                if peer.notice.endpoint in relays
            )
            return has_reader and not self._is_behind()

    def is_behind(self) -> bool:
        """Return whether a peer has had a later version for too long."""
        with self._lock:
            return self._is_behind()

    def is_read_by_peers(self) -> bool:
        """Return whether a live peer with the own epoch reads the store."""
        with self._lock:
            epoch = self._own_version().epoch
            return any(
                not peer.notice.store_lost and peer.notice.epoch == epoch
                for peer in self._live_peers()
            )

    def describe(self) -> dict[str, object]:
        """Return what the decision rests on, as log fields."""
        with self._lock:
            since_seconds = self._behind_since_seconds
            latest = self._latest_version()
            return {
                'relays': self._find_relays(),
                'peers_epoch': latest.epoch,
                'peers_revision': latest.revision,
                'behind_seconds': (
                    0
                    if since_seconds is None
                    else round(self._clock() - since_seconds, 3)
                ),
                'notice_ages_seconds': {
                    peer.notice.endpoint: round(
                        self._clock() - peer.received_at_seconds, 3
                    )
                    for peer in self._peers.values()
                    if peer.data_centre == self._data_centre
                },
            }

    def _find_relays(self) -> list[str]:
        links_mbps = {
            peer.notice.endpoint: peer.notice.link_mbps
            for peer in self._live_peers()
            if peer.data_centre == self._data_centre
            and peer.is_capable
            and not peer.notice.draining
        }
        links_mbps[self._own_endpoint] = self.own_link_mbps
        ranked = sorted(
            links_mbps,
            key=lambda endpoint: (
                0 < links_mbps[endpoint] < NARROW_LINK_MBPS,
                rendezvous_hash(self._data_centre, endpoint),
            ),
        )
        return ranked[:RELAY_COUNT]

    def _live_peers(self) -> list[PeerState]:
        oldest_seconds = self._clock() - self._notice_age_limit_seconds
        return [
            peer
            for peer in self._peers.values()
            if peer.received_at_seconds > oldest_seconds
        ]

    def _latest_version(self) -> StoreVersion:
        return max(
            (peer.notice.version for peer in self._live_peers()),
            default=StoreVersion(),
        )

    def _is_behind(self) -> bool:
        # Relays that are cut off from the store may not know it yet, so the
        # entries of all data centres count.
        latest = self._latest_version()
        own = self._own_version()
        if latest <= own:
            self._behind_since_seconds = None
            return False
        now = self._clock()
        if self._behind_since_seconds is None or own >= self._missed_version:
            self._behind_since_seconds = now
            self._missed_version = latest
        return now - self._behind_since_seconds > self._behind_limit_seconds
