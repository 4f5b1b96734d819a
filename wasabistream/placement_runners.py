"""Runner that brings one engine to its assignment."""

import logging
import threading
import time
from collections.abc import Callable, Mapping
from typing import Protocol

from wasabistream.configurations import ConfigurationStore
from wasabistream.documents import Document
from wasabistream.engine_orders import EngineOrder, next_order
from wasabistream.engines import EngineClient, EngineState
from wasabistream.exceptions import BackendError, ConfigurationError
from wasabistream.fencing import FencingTokenCounter
from wasabistream.notices import VmListBody
from wasabistream.placements import Assignment, assign_models
from wasabistream.signals import order_sent
from wasabistream.vms import Vm, VmList, VmState, parse_vm_list
from wasabistream.weight_load_slots import WeightLoadSlots

logger = logging.getLogger(__name__)

STEP_SECONDS = 1.0
# Longest time from the read of the engine's state to an order based on it.
# A process that was paused for longer reads the state again.
MAX_STATE_AGE_SECONDS = 1.0


class RetentionPeers(Protocol):
    """Ask peers to keep a model and keep models for peers."""

    def ensure_retention(self, model: str, vms: list[Vm]) -> bool:
        """Tell whether a peer keeps the model."""

    def set_kept_models(self, models: frozenset[str]) -> None:
        """Record which models stay here."""

    def try_release(self, model: str) -> bool:
        """Tell whether no promise binds a model."""


class PlacementRunner:
    """Order loads, adapters and roles at the engine of this agent only."""

    def __init__(
        self,
        agent_id: str,
        engine: EngineClient,
        configuration: ConfigurationStore,
        keepers: RetentionPeers,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._agent_id = agent_id
        self._engine = engine
        self._configuration = configuration
        self._keepers = keepers
        self._clock = clock
        self._stopped = threading.Event()
        self.fencing = FencingTokenCounter()
        self.pace = WeightLoadSlots(agent_id)
        self.vm_list: VmList | None = None
        self.on_engine_state: Callable[[EngineState], None] = lambda _: None

    def start(self) -> None:
        """Start to compare the engine with its assignment."""
        threading.Thread(
            target=self._run, name='placement', daemon=True
        ).start()

    def stop(self) -> None:
        """Stop after the step in progress."""
        self._stopped.set()

    def receive_vm_list(self, part: VmListBody) -> None:
        """Apply a newer part of the VM list."""
        try:
            self.vm_list = parse_vm_list(part.body, part.list_index)
        except ConfigurationError as error:
            logger.error('agent: VM list refused: %s', error)

    def step(self) -> EngineOrder | None:
        """Send at most one order; raises BackendError."""
        version = self._configuration.version
        vms = self._live_vms(version.document) if version else {}
        own = vms.get(self._agent_id)
        if version is None or own is None:
            return None
        document = version.document
        assignments = assign_models(document, own.data_centre, list(vms))
        assignment = assignments.get(self._agent_id)
        if assignment is None:
            return None
        state = self._engine.state()
        self.on_engine_state(state)
        self._keepers.set_kept_models(
            frozenset((assignment.model,)).intersection(state.models)
        )
        order = next_order(state, assignment)
        if order is None or not self._allows(order, document, vms, assignments):
            return None
        return self._send(order, assignment, version.document.revision)

    def _allows(
        self,
        order: EngineOrder,
        document: Document,
        vms: Mapping[str, Vm],
        assignments: Mapping[str, Assignment],
    ) -> bool:
        if order.uses_weight_store:
            return self.pace.try_take_slot(
                list(vms),
                document.weight_loads_per_minute,
                len(document.data_centres) or 1,
            )
        if order.action != 'unload':
            return True
        data_centre = vms[self._agent_id].data_centre
        wanted = any(
            model.name == order.subject and data_centre in model.data_centres
            for model in document.models
        )
        if not wanted:
            return True
        # The model leaves this engine only while another one, to which it is
        # assigned, serves it and has promised to go on.
        peers = [
            vms[agent_id]
            for agent_id, item in assignments.items()
            if item.model == order.subject and agent_id != self._agent_id
        ]
        return self._keepers.try_release(
            order.subject
        ) and self._keepers.ensure_retention(order.subject, peers)

    def _send(
        self, order: EngineOrder, assignment: Assignment, revision: int
    ) -> EngineOrder | None:
        read_seconds = self._clock()
        state = self._engine.state()
        if next_order(state, assignment) != order:
            return None
        number = self.fencing.next_token(state.fencing)
        if self._clock() - read_seconds > MAX_STATE_AGE_SECONDS:
            logger.warning('agent: order %s dropped after a pause', order)
            return None
        self._engine.send_order(number, order.body())
        logger.info('agent: order %d sent: %s', number, order)
        order_sent.send(
            self,
            subject=self._agent_id,
            cause=f'document revision {revision}',
            digest=f'{order.action} {order.subject} {order.version}',
            order=order,
            fencing=number,
        )
        return order

    def _live_vms(self, document: Document) -> dict[str, Vm]:
        if self.vm_list is None:
            return {}
        return {
            vm.id: vm
            for vm in self.vm_list.vms
            if vm.state == VmState.live
            and not vm.service
            and vm.id not in document.backend_servers_out
        }

    def _run(self) -> None:
        while not self._stopped.wait(STEP_SECONDS):
            try:
                self.step()
            except BackendError as error:
                # Without its engine this agent promises nothing.
                self._keepers.set_kept_models(frozenset())
                logger.info('agent: placement waits: %s', error)
