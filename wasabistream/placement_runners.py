"""Runner that orders an engine to match its assignment."""

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

STEP_INTERVAL_SECONDS = 1.0
# Limits the rate of steps if all agents have their load slots within less time.
MIN_STEP_INTERVAL_SECONDS = 0.02
# Longest time from a read of the engine's state to an order based on it. After
# a longer pause of the process the state may be outdated and is read again.
MAX_STATE_AGE_SECONDS = 1.0


class RetentionPeers(Protocol):
    """Request retentions of models from peers, and grant them to peers.

    An agent that grants a retention keeps its model for some time, so that a
    peer can unload it.
    """

    def ensure_retention(self, model: str, vms: list[Vm]) -> bool:
        """Tell whether a peer retains a model; if none does, request it."""

    def set_kept_models(self, models: frozenset[str]) -> None:
        """Set the models that this agent serves and will keep."""

    def try_release(self, model: str) -> bool:
        """Stop granting retentions of a model; tell whether none is active."""


class PlacementRunner:
    """Compare the engine of this agent with its assignment and send orders.

    No process sends orders to the engine of another agent.
    """

    def __init__(
        self,
        agent_id: str,
        engine: EngineClient,
        configuration: ConfigurationStore,
        retention_peers: RetentionPeers,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._agent_id = agent_id
        self._engine = engine
        self._configuration = configuration
        self._retention_peers = retention_peers
        self._clock = clock
        self._stopped = threading.Event()
        self._step_delay_seconds = STEP_INTERVAL_SECONDS
        self.fencing = FencingTokenCounter()
        self.load_slots = WeightLoadSlots(agent_id)
        self.vm_list: VmList | None = None
        self.on_engine_state: Callable[[EngineState], None] = lambda _: None

    def start(self) -> None:
        """Start the thread that runs the steps."""
        threading.Thread(
            target=self._run, name='placement', daemon=True
        ).start()

    def stop(self) -> None:
        """Stop after the step in progress."""
        self._stopped.set()

    def receive_vm_list(self, list_body: VmListBody) -> None:
        """Replace the VM list by a newer subset from an entry."""
        try:
            self.vm_list = parse_vm_list(list_body.body, list_body.list_index)
        except ConfigurationError as error:
            logger.error('agent: VM list refused: %s', error)

    def step(self) -> EngineOrder | None:
        """Send the next order, if one is due and allowed; raises BackendError."""
        self._step_delay_seconds = STEP_INTERVAL_SECONDS
        version = self._configuration.version
        vms = self._live_vms(version.document) if version else {}
        own_vm = vms.get(self._agent_id)
        if version is None or own_vm is None:
            return None
        document = version.document
        assignments = assign_models(document, own_vm.data_centre, list(vms))
        assignment = assignments.get(self._agent_id)
        if assignment is None:
            return None
        state = self._engine.state()
        self.on_engine_state(state)
        self._retention_peers.set_kept_models(
            frozenset((assignment.model,)).intersection(state.models)
        )
        order = next_order(state, assignment)
        if order is None or not self._is_allowed(
            order, document, vms, assignments
        ):
            return None
        return self._send(order, assignment, version.document.revision)

    def _is_allowed(
        self,
        order: EngineOrder,
        document: Document,
        vms: Mapping[str, Vm],
        assignments: Mapping[str, Assignment],
    ) -> bool:
        if order.uses_weight_store:
            return self._try_take_load_slot(document, vms)
        if order.action != 'unload':
            return True
        data_centre = vms[self._agent_id].data_centre
        is_offered_here = any(
            model.name == order.subject and data_centre in model.data_centres
            for model in document.models
        )
        if not is_offered_here:
            return True
        # The model is unloaded only while an engine to which it is assigned
        # serves it and its agent has granted a retention.
        peers = [
            vms[agent_id]
            for agent_id, peer_assignment in assignments.items()
            if peer_assignment.model == order.subject
            and agent_id != self._agent_id
        ]
        return self._retention_peers.try_release(
            order.subject
        ) and self._retention_peers.ensure_retention(order.subject, peers)

    def _try_take_load_slot(
        self, document: Document, vms: Mapping[str, Vm]
    ) -> bool:
        if self.load_slots.try_take_slot(
            list(vms),
            document.weight_loads_per_minute,
            len(document.data_centres) or 1,
        ):
            return True
        # The usable part of a slot may be shorter than the step interval, and
        # steps at a fixed interval could then miss it in every round.
        self._step_delay_seconds = min(
            max(
                self.load_slots.next_slot_delay_seconds,
                MIN_STEP_INTERVAL_SECONDS,
            ),
            STEP_INTERVAL_SECONDS,
        )
        return False

    def _send(
        self, order: EngineOrder, assignment: Assignment, revision: int
    ) -> EngineOrder | None:
        read_started_seconds = self._clock()
        state = self._engine.state()
        if next_order(state, assignment) != order:
            return None
        number = self.fencing.next_token(state.fencing)
        if self._clock() - read_started_seconds > MAX_STATE_AGE_SECONDS:
            logger.warning(
                'agent: order not sent, engine state is outdated: %s', order
            )
            return None
        self._engine.send_order(number, order.body())
        logger.info(
            'agent: order with fencing token %d sent: %s', number, order
        )
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
        while not self._stopped.wait(self._step_delay_seconds):
            try:
                self.step()
            except BackendError as error:
                # Without its engine this agent grants no retentions.
                self._retention_peers.set_kept_models(frozenset())
                logger.info('agent: placement step failed: %s', error)
