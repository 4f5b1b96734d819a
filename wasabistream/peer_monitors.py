"""Members: the peers of a daemon and the state in which it sees them."""

import threading
import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from wasabistream.notices import LoadReport
from wasabistream.signals import member_changed
from wasabistream.vms import Vm, VmState

# A link that was never up is not counted as lost before this time.
FIRST_CONNECT_SECONDS = 2.0
# Time without a link after which a peer counts as dead.
DEAD_SECONDS = 10.0
# Losses in this window decide how long a returned link must hold.
LOSS_WINDOW_SECONDS = 60.0
HOLD_SECONDS_PER_LOSS = 2.0
MAX_HOLD_SECONDS = 30.0
MAX_LOSS_COUNT = 16


class PeerState(StrEnum):
    """State of a peer as this daemon sees it."""

    live = 'live'
    # Finishes its work and gets no new work.
    leaving = 'leaving'
    # Not reachable now, or its link has returned only just.
    suspect = 'suspect'
    dead = 'dead'


@dataclass
class MonitoredPeer:
    """Hold what is known of one peer."""

    vm: Vm
    state: PeerState = PeerState.live
    listed: bool = True
    reports_leaving: bool = False
    incarnation: str = ''
    link_up: bool = False
    changed_seconds: float = 0
    losses: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_LOSS_COUNT)
    )

    def assess(self, now: float) -> PeerState:
        """Return the state that list and observation give."""
        elapsed_seconds = now - self.changed_seconds
        if not self.link_up and self._is_dead(elapsed_seconds):
            return PeerState.dead
        leaving = self.vm.state == VmState.leaving or self.reports_leaving
        if leaving or not self.listed:
            return PeerState.leaving
        if self.link_up:
            steady = elapsed_seconds >= self._hold_seconds(now)
        else:
            steady = not self.losses and elapsed_seconds < FIRST_CONNECT_SECONDS
        return PeerState.live if steady else PeerState.suspect

    def _is_dead(self, elapsed_seconds: float) -> bool:
        return not self.listed or elapsed_seconds >= DEAD_SECONDS

    def _hold_seconds(self, now: float) -> float:
        # The first loss costs nothing; a link that keeps flapping must hold
        # longer each time before it counts as live again.
        start = now - LOSS_WINDOW_SECONDS
        loss_count = sum(loss >= start for loss in self.losses)
        hold_seconds = HOLD_SECONDS_PER_LOSS * max(loss_count - 1, 0)
        return min(hold_seconds, MAX_HOLD_SECONDS)


class PeerMonitor:
    """Follow the peers that this daemon links to.

    Only this daemon's links and the list decide. A peer that another
    observer finds slow or unreachable keeps its state here.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._members: dict[str, MonitoredPeer] = {}

    def state(self, peer_id: str) -> PeerState:
        """Return the state of a peer; an unknown peer is dead."""
        member = self._members.get(peer_id)
        return member.state if member else PeerState.dead

    def states(self) -> dict[str, PeerState]:
        """Return the states of all followed peers."""
        with self._lock:
            return {
                peer_id: member.state
                for peer_id, member in self._members.items()
            }

    def follow(self, vm: Vm) -> None:
        """Follow a listed peer or update its list entry."""
        with self._lock:
            member = self._members.get(vm.id)
            if member is None:
                member = MonitoredPeer(vm, changed_seconds=self._clock())
                self._members[vm.id] = member
            member.vm = vm
            member.listed = True
        self.refresh('list')

    def forget(self, peer_id: str) -> None:
        """Stop to follow a peer whose link is no longer wanted."""
        with self._lock:
            self._members.pop(peer_id, None)

    def unlist(self, peer_ids: Iterable[str]) -> None:
        """Note that peers have left the list."""
        with self._lock:
            for peer_id in peer_ids:
                member = self._members.get(peer_id)
                if member is not None:
                    member.listed = False
        self.refresh('list')

    def on_link_opened(self, peer_id: str, incarnation: str) -> None:
        """Note a link; a new incarnation starts without a history."""
        with self._lock:
            member = self._members.get(peer_id)
            if member is None:
                return
            if member.incarnation != incarnation:
                member.incarnation = incarnation
                member.reports_leaving = False
            member.link_up = True
            member.changed_seconds = self._clock()
        self.refresh('link opened')

    def on_link_closed(self, peer_id: str, reason: str) -> None:
        """Note the end of a link."""
        with self._lock:
            member = self._members.get(peer_id)
            if member is None or not member.link_up:
                return
            member.link_up = False
            member.changed_seconds = self._clock()
            member.losses.append(member.changed_seconds)
        self.refresh(reason)

    def report(self, peer_id: str, load: LoadReport) -> None:
        """Note whether a peer says that it leaves."""
        member = self._members.get(peer_id)
        if member is None or member.reports_leaving == load.leaving:
            return
        member.reports_leaving = load.leaving
        self.refresh('report')

    def refresh(self, cause: str) -> None:
        """Assess all peers and signal those whose state changed."""
        with self._lock:
            now = self._clock()
            changes = []
            for peer_id, member in self._members.items():
                state = member.assess(now)
                if state != member.state:
                    changes.append((peer_id, member.state, state))
                    member.state = state
        for peer_id, previous, state in changes:
            member_changed.send(
                self,
                subject=peer_id,
                cause=cause,
                digest='',
                previous=previous,
                state=state,
            )
