"""States of the peers of a daemon: live, leaving, suspect or dead.

They follow from the VM list, from the links of the daemon to its peers and
from what each peer reports of itself.
"""

import threading
import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from wasabistream.notices import LoadReport
from wasabistream.signals import member_changed
from wasabistream.vms import Vm, VmState

# A peer counts as live for this time before its first link opens.
FIRST_CONNECT_GRACE_SECONDS = 2.0
# A listed peer without a link for this time counts as dead. An unlisted one
# counts as dead as soon as it has no link.
DEAD_AFTER_SECONDS = 10.0
# Link losses in this window lengthen the time for which a new link must stay
# up before its peer counts as live. Any end of a link is a loss.
LOSS_WINDOW_SECONDS = 60.0
STABLE_SECONDS_PER_LOSS = 2.0
MAX_STABLE_SECONDS = 30.0
# This many losses require MAX_STABLE_SECONDS; more would change nothing.
MAX_KEPT_LOSS_COUNT = 16


class PeerState(StrEnum):
    """State of a peer as this daemon observes it."""

    live = 'live'
    # Finishes its work and takes no new work.
    leaving = 'leaving'
    # Has no link, or a link that has not stayed up for long enough.
    suspect = 'suspect'
    dead = 'dead'


@dataclass
class MonitoredPeer:
    """Hold the list entry, the link state and the link losses of a peer."""

    vm: Vm
    state: PeerState = PeerState.live
    listed: bool = True
    reports_leaving: bool = False
    incarnation: str = ''
    link_up: bool = False
    # Time when the link last opened or closed, or when the peer was added.
    link_changed_at_seconds: float = 0
    link_lost_at_seconds: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_KEPT_LOSS_COUNT)
    )

    def assess(self, now: float) -> PeerState:
        """Return the state that follows from the VM list and the link."""
        elapsed_seconds = now - self.link_changed_at_seconds
        if not self.link_up and self._is_dead_without_link(elapsed_seconds):
            return PeerState.dead
        leaving = self.vm.state == VmState.leaving or self.reports_leaving
        if leaving or not self.listed:
            return PeerState.leaving
        if self.link_up:
            stable = elapsed_seconds >= self._required_stable_seconds(now)
        else:
            stable = (
                not self.link_lost_at_seconds
                and elapsed_seconds < FIRST_CONNECT_GRACE_SECONDS
            )
        return PeerState.live if stable else PeerState.suspect

    def _is_dead_without_link(self, elapsed_seconds: float) -> bool:
        return not self.listed or elapsed_seconds >= DEAD_AFTER_SECONDS

    def _required_stable_seconds(self, now: float) -> float:
        # The first loss adds no delay; each further loss lengthens the time
        # for which a flapping link must stay up before the peer is live.
        start = now - LOSS_WINDOW_SECONDS
        loss_count = sum(
            lost_at_seconds >= start
            for lost_at_seconds in self.link_lost_at_seconds
        )
        stable_seconds = STABLE_SECONDS_PER_LOSS * max(loss_count - 1, 0)
        return min(stable_seconds, MAX_STABLE_SECONDS)


class PeerMonitor:
    """Track the state of each peer that this daemon links to.

    What other daemons observe of a peer has no effect on its state here.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._peers: dict[str, MonitoredPeer] = {}

    def state(self, peer_id: str) -> PeerState:
        """Return the state of a peer; a peer that is not tracked is dead."""
        peer = self._peers.get(peer_id)
        return peer.state if peer else PeerState.dead

    def states(self) -> dict[str, PeerState]:
        """Return the states of all tracked peers by peer id."""
        with self._lock:
            return {
                peer_id: peer.state for peer_id, peer in self._peers.items()
            }

    def add_or_update(self, vm: Vm) -> None:
        """Track a listed peer, or update its list entry."""
        with self._lock:
            peer = self._peers.get(vm.id)
            if peer is None:
                peer = MonitoredPeer(vm, link_changed_at_seconds=self._clock())
                self._peers[vm.id] = peer
            peer.vm = vm
            peer.listed = True
        self.refresh('list')

    def remove(self, peer_id: str) -> None:
        """Stop tracking a peer to which no link is kept."""
        with self._lock:
            self._peers.pop(peer_id, None)

    def mark_unlisted(self, peer_ids: Iterable[str]) -> None:
        """Record that peers are no longer on the VM list."""
        with self._lock:
            for peer_id in peer_ids:
                peer = self._peers.get(peer_id)
                if peer is not None:
                    peer.listed = False
        self.refresh('list')

    def on_link_opened(self, peer_id: str, incarnation: str) -> None:
        """Record a new link; a new incarnation starts as not leaving."""
        with self._lock:
            peer = self._peers.get(peer_id)
            if peer is None:
                return
            if peer.incarnation != incarnation:
                peer.incarnation = incarnation
                peer.reports_leaving = False
            peer.link_up = True
            peer.link_changed_at_seconds = self._clock()
        self.refresh('link opened')

    def on_link_closed(self, peer_id: str, reason: str) -> None:
        """Record the end of a link."""
        with self._lock:
            peer = self._peers.get(peer_id)
            if peer is None or not peer.link_up:
                return
            peer.link_up = False
            peer.link_changed_at_seconds = self._clock()
            peer.link_lost_at_seconds.append(peer.link_changed_at_seconds)
        self.refresh(reason)

    def report(self, peer_id: str, load: LoadReport) -> None:
        """Record whether the load report of a peer says that it is leaving."""
        peer = self._peers.get(peer_id)
        if peer is None or peer.reports_leaving == load.leaving:
            return
        peer.reports_leaving = load.leaving
        self.refresh('report')

    def refresh(self, cause: str) -> None:
        """Assess all peers and send `member_changed` for each changed state."""
        with self._lock:
            now = self._clock()
            changes = []
            for peer_id, peer in self._peers.items():
                state = peer.assess(now)
                if state != peer.state:
                    changes.append((peer_id, peer.state, state))
                    peer.state = state
        for peer_id, previous, state in changes:
            member_changed.send(
                self,
                subject=peer_id,
                cause=cause,
                digest='',
                previous=previous,
                state=state,
            )
