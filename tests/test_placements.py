"""Tests of model assignments, load slots, fencing tokens and engine orders."""

import json
import threading
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
from wasabistream.placement_runners import (
    STEP_INTERVAL_SECONDS,
    PlacementRunner,
)
from wasabistream.placements import assign_models
from wasabistream.signals import order_sent
from wasabistream.vms import Role, Vm, VmList
from wasabistream.weight_load_slots import WeightLoadSlots
from wasabistream_tools.engine import EngineOptions, EngineStandIn

AGENT_IDS = tuple(f'engine-{number}' for number in range(12))
LOADS_PER_MINUTE = 600
# By how much a thread wakes up after the end of its wait.
WAKE_UP_LATENCY_SECONDS = 0.002


def build_models_document(**changes: Any) -> dict[str, Any]:
    """Return a document with two models in one data centre."""
    models = [
        {'name': name, 'version': '1', 'data_centres': ['dc-a'], 'weight': 1}
        for name in ('assistant', 'drafter')
    ]
    return build_document(
        models=models, weight_loads_per_minute=LOADS_PER_MINUTE, **changes
    )


def parse(document: dict[str, Any]) -> Document:
    """Return a parsed and checked document."""
    return parse_document(json.dumps(document).encode()).document


class LocalEngine:
    """Stand in for the engine client; calls an engine stand-in directly."""

    def __init__(self, engine: EngineStandIn) -> None:
        self.engine = engine
        # Called before each order.
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


class SimulatedStopEvent(threading.Event):
    """Advance a simulated clock instead of waiting; set itself at an end."""

    def __init__(self, start_seconds: float, end_seconds: float) -> None:
        super().__init__()
        self.now_seconds = start_seconds
        self._end_seconds = end_seconds

    def wait(self, timeout: float | None = None) -> bool:
        """Advance the clock by the timeout; tell whether the end is reached."""
        self.now_seconds += (timeout or 0) + WAKE_UP_LATENCY_SECONDS
        return self.now_seconds >= self._end_seconds

    def read_clock(self) -> float:
        """Return the simulated time."""
        return self.now_seconds


class FakeRetentionPeers:
    """Stand in for peers that grant every retention, or none."""

    def __init__(self, grants: bool = True) -> None:
        self.grants = grants

    def ensure_retention(self, model: str, vms: list[Vm]) -> bool:
        """Tell whether there is a peer and it grants retentions."""
        return self.grants and bool(vms)

    def set_kept_models(self, models: frozenset[str]) -> None:
        """Do nothing."""

    def try_release(self, model: str) -> bool:
        """Tell that no retention is active."""
        return True


def build_runner(
    engine: LocalEngine,
    agent_id: str,
    retention_peers: Any = None,
    **changes: Any,
) -> PlacementRunner:
    """Return a runner whose clock advances one load slot at each attempt."""
    configuration = ConfigurationStore()
    document = build_models_document(**changes)
    configuration.offer(json.dumps(document).encode(), 'test')
    runner = PlacementRunner(
        agent_id, engine, configuration, retention_peers or FakeRetentionPeers()  # type: ignore[arg-type]
    )  # fmt: skip
    vms = [Vm(name, Role.agent, '', 0, 'dc-a') for name in AGENT_IDS]
    runner.vm_list = VmList(1, tuple(vms))
    runner.load_slots = WeightLoadSlots(agent_id, _build_slot_clock(agent_id))
    return runner


def _build_slot_clock(agent_id: str) -> Callable[[], float]:
    # Each call returns the start of the next slot.
    slot_seconds = 60 / LOADS_PER_MINUTE
    times = iter(range(10**6))
    return lambda: next(times) * slot_seconds


def run_steps(runner: PlacementRunner, count: int = 60) -> None:
    """Run enough steps for the engine to match its assignment."""
    for _ in range(count):
        runner.step()


def find_agent_of(model: str) -> str:
    """Return an agent to which a model is assigned."""
    assignments = assign_models(
        parse(build_models_document()), 'dc-a', AGENT_IDS
    )
    return next(
        agent_id
        for agent_id, assignment in assignments.items()
        if assignment.model == model
    )


class PlacementTest(unittest.TestCase):
    """Guard the assignments, which all agents must compute alike."""

    def test_weights_and_minimum(self) -> None:
        """Guard against a model below its minimum, or not served by weight."""
        document = build_models_document()
        document['models'][0]['weight'] = 3
        document['models'][1]['min_replica_count'] = 4
        assignments = assign_models(parse(document), 'dc-a', AGENT_IDS)
        counts = Counter(item.model for item in assignments.values())
        self.assertEqual(counts, {'assistant': 8, 'drafter': 4})

    def test_order_of_agents_is_irrelevant(self) -> None:
        """Guard against assignments that depend on the order of the VM list."""
        document = parse(build_models_document())
        self.assertEqual(
            assign_models(document, 'dc-a', AGENT_IDS),
            assign_models(document, 'dc-a', tuple(reversed(AGENT_IDS))),
        )

    def test_few_engines_move(self) -> None:
        """Guard against model changes at many engines when one engine leaves."""
        document = parse(build_models_document())
        before = assign_models(document, 'dc-a', AGENT_IDS)
        for removed_id in AGENT_IDS:
            rest = [name for name in AGENT_IDS if name != removed_id]
            after = assign_models(document, 'dc-a', rest)
            moved = [name for name in rest if before[name] != after[name]]
            self.assertLessEqual(len(moved), 1)


class LoadSlotTest(unittest.TestCase):
    """Guard the weight store against too many loads at the same time."""

    def test_return_of_data_centre(self) -> None:
        """Guard against a burst when all agents want to load at once."""
        now = [1e9]

        def clock() -> float:
            return now[0]

        slots_by_agent = {
            (centre, name): WeightLoadSlots(f'{centre}{name}', clock)
            for centre in ('a', 'b')
            for name in AGENT_IDS
        }
        agent_ids = {
            centre: [f'{centre}{name}' for name in AGENT_IDS]
            for centre in ('a', 'b')
        }
        load_times = []
        for _ in range(20 * 60):
            now[0] += 0.1
            for (centre, _name), slots in slots_by_agent.items():
                if slots.try_take_slot(agent_ids[centre], 60, 2):
                    load_times.append(now[0])
        self.assertGreaterEqual(len(load_times), 100)
        for start in load_times:
            window = [at for at in load_times if start <= at < start + 10]
            self.assertLessEqual(len(window), 12)

    def test_slot_between_steps(self) -> None:
        """Guard against slots missed because no step falls in a usable part.

        Steps at a fixed interval keep their position relative to the slots,
        so that an agent may miss its slot in every round.
        """
        slot_seconds = 60 / LOADS_PER_MINUTE
        round_seconds = slot_seconds * len(AGENT_IDS)
        for number in range(48):
            start_seconds = 1e9 + number * round_seconds / 48
            stopped = SimulatedStopEvent(
                start_seconds, start_seconds + 10 * round_seconds
            )
            stand_in = EngineStandIn(EngineOptions())
            order_times = self._run_until(stopped, stand_in)
            with self.subTest(start_seconds=start_seconds):
                self.assertEqual(stand_in.models, ['drafter'])
                self.assertLessEqual(
                    order_times[0] - start_seconds,
                    STEP_INTERVAL_SECONDS + round_seconds + slot_seconds,
                )

    def _run_until(
        self, stopped: SimulatedStopEvent, stand_in: EngineStandIn
    ) -> list[float]:
        # Returns the times of the orders.
        agent_id = find_agent_of('drafter')
        engine = LocalEngine(stand_in)
        order_times: list[float] = []
        engine.before_order = lambda: order_times.append(stopped.now_seconds)
        runner = build_runner(engine, agent_id)
        runner.load_slots = WeightLoadSlots(agent_id, stopped.read_clock)
        runner._clock = stopped.read_clock
        runner._stopped = stopped
        runner._run()
        return order_times


class OrderTest(unittest.TestCase):
    """Guard an engine against wrong, outdated and reordered orders."""

    def test_moves_to_assignment(self) -> None:
        """Guard against an engine that never matches its assignment."""
        stand_in = EngineStandIn(EngineOptions())
        orders: list[Any] = []

        def record(sender: object, order: object, **_: object) -> None:
            orders.append(order)

        with order_sent.connected_to(record):
            run_steps(
                build_runner(LocalEngine(stand_in), find_agent_of('drafter'))
            )
        self.assertEqual(stand_in.models, ['drafter'])
        self.assertEqual([order.action for order in orders], ['load', 'unload'])

    def test_last_replica_stays(self) -> None:
        """Guard against an unload before a peer retains the model."""
        stand_in = EngineStandIn(EngineOptions())
        engine = LocalEngine(stand_in)
        run_steps(
            build_runner(
                engine, find_agent_of('drafter'), FakeRetentionPeers(False)
            )
        )
        self.assertEqual(set(stand_in.models), {'assistant', 'drafter'})

    def test_crossing_retention_requests(self) -> None:
        """Guard against an unload while the model is retained for a peer."""
        hello = Hello(1, 1, 'agent', 'x', '1', 'dc-a')
        requester, granter = (
            ModelRetentionPeers(hello),
            ModelRetentionPeers(hello),
        )
        for peers in (requester, granter):
            peers.set_kept_models(frozenset(('assistant',)))
        self.assertTrue(granter.retentions.grant('assistant'))
        self.assertFalse(granter.try_release('assistant'))
        self.assertTrue(requester.try_release('assistant'))
        self.assertFalse(requester.retentions.grant('assistant'))

    def test_pause_before_order(self) -> None:
        """Guard against an order sent after a pause, on an outdated state.

        The clock advances 10 s at each call, so that every order is late.
        """
        stand_in = EngineStandIn(EngineOptions())
        runner = build_runner(LocalEngine(stand_in), find_agent_of('drafter'))
        times = iter(range(10**6))
        runner._clock = lambda: 10 * next(times)
        run_steps(runner)
        self.assertEqual(stand_in.models, ['assistant'])

    def test_order_of_paused_process(self) -> None:
        """Guard against a resumed process that undoes newer orders.

        An engine that checks fencing tokens refuses its order. Otherwise the
        newer process corrects the engine.
        """
        for checks_fencing in (True, False):
            with self.subTest(checks_fencing=checks_fencing):
                self._resume_paused_process(checks_fencing)

    def test_fencing_after_restart(self) -> None:
        """Guard against tokens that decrease when the clock goes back."""
        first = FencingTokenCounter(lambda: 2000.0)
        tokens = [first.next_token(), first.next_token()]
        restarted = FencingTokenCounter(lambda: 1000.0)
        tokens.append(restarted.next_token(reported_token=tokens[-1]))
        self.assertEqual(tokens, sorted(set(tokens)))

    def _resume_paused_process(self, checks_fencing: bool) -> None:
        options = EngineOptions(checks_fencing=checks_fencing)
        stand_in = EngineStandIn(options)
        paused_engine = LocalEngine(stand_in)
        agent_id = find_agent_of('drafter')
        paused = build_runner(paused_engine, agent_id)
        # The newer process has a newer document, with another model version.
        newer = build_runner(LocalEngine(stand_in), agent_id)
        document = build_models_document(revision=2)
        for model in document['models']:
            model['version'] = '2'
        newer._configuration.offer(json.dumps(document).encode(), 'test')
        # The process is paused just before its order reaches the engine.
        paused_engine.before_order = lambda: run_steps(newer)
        refused = False
        try:
            run_steps(paused, 30)
        except BackendError:
            refused = True
        self.assertEqual(refused, checks_fencing)
        paused_engine.before_order = str
        run_steps(newer)
        self.assertEqual(stand_in.versions['drafter'], '2')
