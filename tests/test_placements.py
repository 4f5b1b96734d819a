"""Tests of placement, pace, fencing and orders."""

import json
import unittest
from collections import Counter
from collections.abc import Callable
from typing import Any

from tests.builders import build_document
from wasabistream.configurations import ConfigurationStore
from wasabistream.documents import Document, parse_document
from wasabistream.engines import EngineState
from wasabistream.exceptions import BackendError
from wasabistream.fencing import FencingTokenCounter
from wasabistream.model_retention_peers import ModelRetentionPeers
from wasabistream.notices import Hello
from wasabistream.placement_runners import PlacementRunner
from wasabistream.placements import assign_models
from wasabistream.signals import order_sent
from wasabistream.vms import Role, Vm, VmList
from wasabistream.weight_load_slots import WeightLoadSlots
from wasabistream_tools.engine import EngineOptions, EngineStandIn

AGENTS = tuple(f'engine-{number}' for number in range(12))
LOADS_PER_MINUTE = 600


def build_models_document(**changes: Any) -> dict[str, Any]:
    """Return a document with two models in one data centre."""
    models = [
        {'name': name, 'version': '1', 'data_centres': ['dc-a'], 'weight': 1}
        for name in ('assistant', 'drafter')
    ]
    return build_document(
        models=models, weight_loads_per_minute=LOADS_PER_MINUTE, **changes
    )


def parsed(document: dict[str, Any]) -> Document:
    """Return a checked document."""
    return parse_document(json.dumps(document).encode()).document


class LocalEngine:
    """Hand state and orders to a stand-in in this process."""

    def __init__(self, engine: EngineStandIn) -> None:
        self.engine = engine
        self.before_order: Callable[[], Any] = str

    def state(self) -> EngineState:
        """Read the stand-in's state."""
        report: dict[str, Any] = dict(self.engine.state())
        return EngineState(
            memory_used_tokens=0,
            memory_capacity_tokens=1,
            running_count=0,
            models=tuple(report['models']),
            adapters=tuple(report['adapters']),
            role=report['role'],
            boot_id=report['boot_id'],
            fencing=report['fencing'],
            versions=dict(report['versions']),
        )

    def send_order(self, fencing: int, order: dict[str, Any]) -> None:
        """Send an order; raises BackendError when it is refused."""
        self.before_order()
        if not self.engine.execute_order({'fencing': fencing, **order}):
            raise BackendError('status 409', 'order')


class Keepers:
    """Stand for peers that keep every model, or none."""

    def __init__(self, keeping: bool = True) -> None:
        self.keeping = keeping

    def ensure_retention(self, model: str, vms: list[Vm]) -> bool:
        """Tell whether a peer keeps the model."""
        return self.keeping and bool(vms)

    def set_kept_models(self, models: frozenset[str]) -> None:
        """Do nothing."""

    def try_release(self, model: str) -> bool:
        """Tell that no promise binds."""
        return True


def build_runner(
    engine: LocalEngine,
    agent_id: str,
    keepers: Any = None,
    **changes: Any,
) -> PlacementRunner:
    """Return a runner whose pace is always open."""
    configuration = ConfigurationStore()
    document = build_models_document(**changes)
    configuration.offer(json.dumps(document).encode(), 'test')
    runner = PlacementRunner(
        agent_id, engine, configuration, keepers or Keepers()  # type: ignore[arg-type]
    )  # fmt: skip
    vms = [Vm(name, Role.agent, '', 0, 'dc-a') for name in AGENTS]
    runner.vm_list = VmList(1, tuple(vms))
    runner.load_slots = WeightLoadSlots(agent_id, _open_clock(agent_id))
    return runner


def _open_clock(agent_id: str) -> Callable[[], float]:
    slot_seconds = 60 / LOADS_PER_MINUTE
    times = iter(range(10**6))
    return lambda: next(times) * slot_seconds


def run_steps(runner: PlacementRunner, count: int = 60) -> None:
    """Run steps until the engine is at its goal."""
    for _ in range(count):
        runner.step()


def agent_of(model: str) -> str:
    """Return an agent to which a model is assigned."""
    assignments = assign_models(parsed(build_models_document()), 'dc-a', AGENTS)
    return next(
        agent_id
        for agent_id, item in assignments.items()
        if item.model == model
    )


class PlacementTest(unittest.TestCase):
    """Guard the choice that all agents make alike."""

    def test_weights_and_minimum(self) -> None:
        """Guard against a model below its minimum or off its share."""
        document = build_models_document()
        document['models'][0]['weight'] = 3
        document['models'][1]['min_replica_count'] = 4
        placed = assign_models(parsed(document), 'dc-a', AGENTS)
        counts = Counter(item.model for item in placed.values())
        self.assertEqual(counts, {'assistant': 8, 'drafter': 4})

    def test_order_of_agents_is_irrelevant(self) -> None:
        """Guard against agents that decide differently."""
        document = parsed(build_models_document())
        self.assertEqual(
            assign_models(document, 'dc-a', AGENTS),
            assign_models(document, 'dc-a', tuple(reversed(AGENTS))),
        )

    def test_few_engines_move(self) -> None:
        """Guard against a reload of the fleet when one engine leaves."""
        document = parsed(build_models_document())
        before = assign_models(document, 'dc-a', AGENTS)
        for gone in AGENTS:
            rest = [name for name in AGENTS if name != gone]
            after = assign_models(document, 'dc-a', rest)
            moved = [name for name in rest if before[name] != after[name]]
            self.assertLessEqual(len(moved), 1)


class PaceTest(unittest.TestCase):
    """Guard the weight store against loads at the same moment."""

    def test_return_of_data_centre(self) -> None:
        """Guard against a burst when all agents load at once."""
        now = [1e9]

        def clock() -> float:
            return now[0]

        paces = {
            (centre, name): WeightLoadSlots(f'{centre}{name}', clock)
            for centre in ('a', 'b')
            for name in AGENTS
        }
        ids = {
            centre: [f'{centre}{name}' for name in AGENTS]
            for centre in ('a', 'b')
        }
        loads = []
        for _ in range(20 * 60):
            now[0] += 0.1
            for (centre, _name), pace in paces.items():
                if pace.try_take_slot(ids[centre], 60, 2):
                    loads.append(now[0])
        self.assertGreaterEqual(len(loads), 100)
        for start in loads:
            window = [at for at in loads if start <= at < start + 10]
            self.assertLessEqual(len(window), 12)


class OrderTest(unittest.TestCase):
    """Guard an engine against orders that undo or come late."""

    def test_moves_to_assignment(self) -> None:
        """Guard against an engine that stays off its assignment."""
        stand_in = EngineStandIn(EngineOptions())
        orders: list[Any] = []

        def record(sender: object, order: object, **_: object) -> None:
            orders.append(order)

        with order_sent.connected_to(record):
            run_steps(build_runner(LocalEngine(stand_in), agent_of('drafter')))
        self.assertEqual(stand_in.models, ['drafter'])
        self.assertEqual([order.action for order in orders], ['load', 'unload'])

    def test_last_replica_stays(self) -> None:
        """Guard against the loss of a model's last live replica."""
        stand_in = EngineStandIn(EngineOptions())
        engine = LocalEngine(stand_in)
        run_steps(build_runner(engine, agent_of('drafter'), Keepers(False)))
        self.assertEqual(set(stand_in.models), {'assistant', 'drafter'})

    def test_crossing_promises(self) -> None:
        """Guard against two engines that drop a model for each other."""
        hello = Hello(1, 1, 'agent', 'x', '1', 'dc-a')
        near, far = ModelRetentionPeers(hello), ModelRetentionPeers(hello)
        for peers in (near, far):
            peers.set_kept_models(frozenset(('assistant',)))
        self.assertTrue(far.retentions.grant('assistant'))
        self.assertFalse(far.try_release('assistant'))
        self.assertTrue(near.try_release('assistant'))
        self.assertFalse(near.retentions.grant('assistant'))

    def test_pause_before_order(self) -> None:
        """Guard against an order that a pause made old."""
        stand_in = EngineStandIn(EngineOptions())
        runner = build_runner(LocalEngine(stand_in), agent_of('drafter'))
        times = iter(range(10**6))
        runner._clock = lambda: 10 * next(times)
        run_steps(runner)
        self.assertEqual(stand_in.models, ['assistant'])

    def test_late_process(self) -> None:
        """Guard against a woken process that undoes a newer order."""
        for checks_fencing in (True, False):
            with self.subTest(checks_fencing=checks_fencing):
                self._wake_late_process(checks_fencing)

    def test_fencing_after_restart(self) -> None:
        """Guard against numbers that fall when the clock goes back."""
        first = FencingTokenCounter(lambda: 2000.0)
        numbers = [first.next_token(), first.next_token()]
        restarted = FencingTokenCounter(lambda: 1000.0)
        numbers.append(restarted.next_token(reported_token=numbers[-1]))
        self.assertEqual(numbers, sorted(set(numbers)))

    def _wake_late_process(self, checks_fencing: bool) -> None:
        options = EngineOptions(checks_fencing=checks_fencing)
        stand_in = EngineStandIn(options)
        late_engine = LocalEngine(stand_in)
        agent_id = agent_of('drafter')
        late = build_runner(late_engine, agent_id)
        # The newer process has a newer document, with another version.
        newer = build_runner(LocalEngine(stand_in), agent_id)
        document = build_models_document(revision=2)
        for model in document['models']:
            model['version'] = '2'
        newer._configuration.offer(json.dumps(document).encode(), 'test')
        # The late process stops inside its last call to the engine.
        late_engine.before_order = lambda: run_steps(newer)
        refused = False
        try:
            run_steps(late, 30)
        except BackendError:
            refused = True
        self.assertEqual(refused, checks_fencing)
        late_engine.before_order = str
        run_steps(newer)
        self.assertEqual(stand_in.versions['drafter'], '2')
