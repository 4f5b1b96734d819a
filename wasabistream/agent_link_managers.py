"""Management of the links from an entry to agents."""

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

# Agents of another data centre that an entry links to at first. Rendezvous
# hashing selects different agents for each entry, so that the entries together
# reach all of them.
REMOTE_AGENT_COUNT = 4
# Repeated demand multiplies REMOTE_AGENT_COUNT by 1, 2 and so on up to this
# factor, then by 1 again.
MAX_EXPANSION_COUNT = 4
MAX_REMOTE_DATA_CENTRE_COUNT = 3
EXPANSION_INTERVAL_SECONDS = 1.0
IDLE_LINK_SECONDS = 60.0
# An idle link to an agent that left the VM list is kept for this time, in which
# a caller may still resume a stream there.
UNLISTED_IDLE_SECONDS = 5.0
MAINTENANCE_INTERVAL_SECONDS = 1.0

MakeDialer = Callable[[Vm], PeerDialer]


class AgentLinkManager:
    """Keep links to all local agents, and on demand to remote agents."""

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
        # Last factor of REMOTE_AGENT_COUNT and its time, by model and service.
        self._expansions: dict[tuple[str, str], tuple[int, float]] = {}
        self._stopped = threading.Event()
        directory.dial = self.link_to

    def start(self) -> None:
        """Start the thread that closes idle links and updates peer states."""
        threading.Thread(
            target=self._maintain_links, name='links', daemon=True
        ).start()

    def stop(self) -> None:
        """Close all links."""
        self._stopped.set()
        with self._lock:
            for dialer in self._dialers.values():
                dialer.stop()

    def apply_list(self, vm_list: VmList) -> None:
        """Link to the agents on a new VM list and mark those that left it."""
        agents = {vm.id: vm for vm in vm_list.vms if vm.role == Role.agent}
        with self._lock:
            if self._agents and not agents:
                # The platform never removes all agents at once, so the list
                # is taken to be faulty and the previous one stays in use.
                logger.warning('entry: VM list without agents is ignored')
                return
            self._agents = agents
            for vm in agents.values():
                if (
                    vm.data_centre == self._data_centre
                    or vm.id in self._dialers
                ):
                    self._ensure_link(vm)
            unlisted_ids = set(self._dialers) - set(agents)
            for backend_id in unlisted_ids:
                self._directory.mark_unlisted(backend_id)
        self._peer_monitor.mark_unlisted(unlisted_ids)

    def apply_document(self, document: Document) -> None:
        """Use a new configuration document."""
        with self._lock:
            self._document = document
        self._directory.apply_document(document)

    def link_to(self, backend_id: str) -> BackendView | None:
        """Link to a listed agent in any data centre; return its view."""
        with self._lock:
            vm = self._agents.get(backend_id)
            return self._ensure_link(vm) if vm else None

    def link_remote_agents(self, query: RouteQuery) -> bool:
        """Link to agents of other data centres; tell whether any is new."""
        with self._lock:
            key = (query.model, query.service)
            expansion, started_seconds = self._expansions.get(key, (0, 0.0))
            now = time.monotonic()
            if now - started_seconds < EXPANSION_INTERVAL_SECONDS:
                return False
            expansion = expansion % MAX_EXPANSION_COUNT + 1
            self._expansions[key] = (expansion, now)
            agents = self._choose_remote_agents(
                query, REMOTE_AGENT_COUNT * expansion
            )
            new_agents = [vm for vm in agents if vm.id not in self._dialers]
            for vm in new_agents:
                self._ensure_link(vm)
        return bool(new_agents)

    def _choose_remote_agents(self, query: RouteQuery, count: int) -> list[Vm]:
        by_data_centre: dict[str, list[Vm]] = {}
        for vm in self._agents.values():
            if vm.data_centre == self._data_centre:
                continue
            if vm.service == query.service and vm.state == VmState.live:
                by_data_centre.setdefault(vm.data_centre, []).append(vm)
        agents = []
        for name in self._rank_data_centres(list(by_data_centre), query):
            ranked = sorted(by_data_centre[name], key=self._hash_agent)
            agents.extend(ranked[:count])
        return agents

    def _hash_agent(self, vm: Vm) -> int:
        return hash64(self._entry_id, vm.id)

    def _rank_data_centres(
        self, names: Sequence[str], query: RouteQuery
    ) -> list[str]:
        document = self._document
        if document is None:
            return []
        regions = {item.name: item.region for item in document.data_centres}
        model_data_centres = [
            model.data_centres
            for model in document.models
            if model.name == query.model
        ]
        usable = [
            name
            for name in names
            if document.is_data_centre_in_service(name)
            and all(name in data_centres for data_centres in model_data_centres)
        ]
        own_region = regions.get(self._data_centre, '')
        usable.sort(
            key=lambda name: (
                regions.get(name, '') != own_region,
                hash64(self._entry_id, name),
            )
        )
        return usable[:MAX_REMOTE_DATA_CENTRE_COUNT]

    def _ensure_link(self, vm: Vm) -> BackendView:
        view = self._directory.put(vm)
        self._peer_monitor.add_or_update(vm)
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

    def _maintain_links(self) -> None:
        while not self._stopped.wait(MAINTENANCE_INTERVAL_SECONDS):
            self._peer_monitor.refresh('time')
            states = self._peer_monitor.states()
            now = time.monotonic()
            with self._lock:
                for view in self._directory.views():
                    state = states.get(view.vm.id)
                    view.suspect = state == PeerState.suspect
                    if self._is_unneeded(view, now):
                        self._remove_link(view.vm.id)

    def _is_unneeded(self, view: BackendView, now: float) -> bool:
        if view.pending_count:
            return False
        idle_seconds = now - view.last_used_monotonic_seconds
        if not view.listed:
            return not view.connected or idle_seconds > UNLISTED_IDLE_SECONDS
        remote = view.vm.data_centre != self._data_centre
        return remote and idle_seconds > IDLE_LINK_SECONDS

    def _remove_link(self, backend_id: str) -> None:
        dialer = self._dialers.pop(backend_id, None)
        if dialer is not None:
            dialer.stop()
        self._directory.remove(backend_id)
        self._peer_monitor.remove(backend_id)
