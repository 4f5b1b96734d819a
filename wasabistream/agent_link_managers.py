"""Linker that decides which agents an entry keeps links to."""

import logging
import threading
import time
from collections.abc import Callable, Sequence

from wasabistream.backends import BackendDirectory, BackendView
from wasabistream.dialers import PeerDialer
from wasabistream.digests import hash64
from wasabistream.documents import Document
from wasabistream.peer_monitors import PeerMonitor, PeerState
from wasabistream.routers import RouteQuery
from wasabistream.vms import Role, Vm, VmList, VmState

logger = logging.getLogger(__name__)

# Agents of another data centre that one entry links to at first. Rendezvous
# hashing gives each entry others, so that together they reach all of them.
SPILL_AGENT_COUNT = 4
# Times that number to which further demand may widen the choice.
MAX_WAVE_COUNT = 4
MAX_SPILL_DATA_CENTRE_COUNT = 3
WAVE_INTERVAL_SECONDS = 1.0
IDLE_LINK_SECONDS = 60.0
# Time in which a caller may still resume at an agent that left the list.
UNLISTED_IDLE_SECONDS = 5.0
SWEEP_SECONDS = 1.0

MakeDialer = Callable[[Vm], PeerDialer]


class AgentLinkManager:
    """Link to the agents of the own data centre, and to others on demand."""

    def __init__(
        self,
        entry_id: str,
        data_centre: str,
        directory: BackendDirectory,
        peer_monitor: PeerMonitor,
        make_dialer: MakeDialer,
    ) -> None:
        self._entry_id = entry_id
        self._data_centre = data_centre
        self._directory = directory
        self._peer_monitor = peer_monitor
        self._make_dialer = make_dialer
        self._lock = threading.RLock()
        self._agents: dict[str, Vm] = {}
        self._dialers: dict[str, PeerDialer] = {}
        self._document: Document | None = None
        self._waves: dict[tuple[str, str], tuple[int, float]] = {}
        self._stopped = threading.Event()
        directory.dial = self.link_to

    def start(self) -> None:
        """Start to close idle links and to assess members."""
        threading.Thread(target=self._sweep, name='links', daemon=True).start()

    def stop(self) -> None:
        """Close all links."""
        self._stopped.set()
        with self._lock:
            for dialer in self._dialers.values():
                dialer.stop()

    def apply_list(self, vm_list: VmList) -> None:
        """Follow a new VM list."""
        agents = {vm.id: vm for vm in vm_list.vms if vm.role == Role.agent}
        with self._lock:
            if self._agents and not agents:
                # The platform never removes all agents at once; the last
                # list and the links serve better than nothing.
                logger.warning('entry: VM list without agents is ignored')
                return
            self._agents = agents
            for vm in agents.values():
                if (
                    vm.data_centre == self._data_centre
                    or vm.id in self._dialers
                ):
                    self._link(vm)
            gone = set(self._dialers) - set(agents)
            for backend_id in gone:
                self._directory.mark_unlisted(backend_id)
        self._peer_monitor.unlist(gone)

    def apply_document(self, document: Document) -> None:
        """Follow a new document."""
        with self._lock:
            self._document = document
        self._directory.apply_document(document)

    def link_to(self, backend_id: str) -> BackendView | None:
        """Link to one listed agent, wherever it is."""
        with self._lock:
            vm = self._agents.get(backend_id)
            return self._link(vm) if vm else None

    def link_remote_agents(self, query: RouteQuery) -> bool:
        """Link to agents elsewhere; tell whether there are new ones."""
        with self._lock:
            key = (query.model, query.service)
            wave, started_seconds = self._waves.get(key, (0, 0.0))
            now = time.monotonic()
            if now - started_seconds < WAVE_INTERVAL_SECONDS:
                return False
            wave = wave % MAX_WAVE_COUNT + 1
            self._waves[key] = (wave, now)
            chosen = self._choose_elsewhere(query, SPILL_AGENT_COUNT * wave)
            new = [vm for vm in chosen if vm.id not in self._dialers]
            for vm in new:
                self._link(vm)
        return bool(new)

    def _choose_elsewhere(self, query: RouteQuery, count: int) -> list[Vm]:
        by_data_centre: dict[str, list[Vm]] = {}
        for vm in self._agents.values():
            if vm.data_centre == self._data_centre:
                continue
            if vm.service == query.service and vm.state == VmState.live:
                by_data_centre.setdefault(vm.data_centre, []).append(vm)
        chosen = []
        for name in self._rank_data_centres(list(by_data_centre), query):
            ranked = sorted(by_data_centre[name], key=self._rank)
            chosen.extend(ranked[:count])
        return chosen

    def _rank(self, vm: Vm) -> int:
        return hash64(self._entry_id, vm.id)

    def _rank_data_centres(
        self, names: Sequence[str], query: RouteQuery
    ) -> list[str]:
        document = self._document
        if document is None:
            return []
        regions = {item.name: item.region for item in document.data_centres}
        serving = [
            model.data_centres
            for model in document.models
            if model.name == query.model
        ]
        usable = [
            name
            for name in names
            if document.data_centre_in_service(name)
            and all(name in served for served in serving)
        ]
        own_region = regions.get(self._data_centre, '')
        usable.sort(
            key=lambda name: (
                regions.get(name, '') != own_region,
                hash64(self._entry_id, name),
            )
        )
        return usable[:MAX_SPILL_DATA_CENTRE_COUNT]

    def _link(self, vm: Vm) -> BackendView:
        view = self._directory.put(vm)
        self._peer_monitor.follow(vm)
        dialer = self._dialers.get(vm.id)
        target = (vm.address, vm.link_port)
        if dialer is not None and (dialer.address, dialer.port) != target:
            dialer.stop()
            dialer = None
        if dialer is None:
            dialer = self._make_dialer(vm)
            self._dialers[vm.id] = dialer
            dialer.start()
        return view

    def _sweep(self) -> None:
        while not self._stopped.wait(SWEEP_SECONDS):
            self._peer_monitor.refresh('time')
            states = self._peer_monitor.states()
            now = time.monotonic()
            with self._lock:
                for view in self._directory.views():
                    state = states.get(view.vm.id)
                    view.suspect = state == PeerState.suspect
                    if self._is_unwanted(view, now):
                        self._unlink(view.vm.id)

    def _is_unwanted(self, view: BackendView, now: float) -> bool:
        if view.pending_count:
            return False
        idle_seconds = now - view.last_used_monotonic_seconds
        if not view.listed:
            return not view.connected or idle_seconds > UNLISTED_IDLE_SECONDS
        remote = view.vm.data_centre != self._data_centre
        return remote and idle_seconds > IDLE_LINK_SECONDS

    def _unlink(self, backend_id: str) -> None:
        dialer = self._dialers.pop(backend_id, None)
        if dialer is not None:
            dialer.stop()
        self._directory.remove(backend_id)
        self._peer_monitor.forget(backend_id)
