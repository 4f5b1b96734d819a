"""Stateful property test of the simulated agents under random faults."""

import unittest

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from tests.call_scenarios import MEMBERS, settled_simulation
from tests.call_world import MAX_CLOCK_OFFSET_SECONDS

AGENT_NAMES = ('a', 'b', 'c', 'd', 'e')
name_choices = st.sampled_from(AGENT_NAMES)
list_choices = st.lists(name_choices, min_size=1, max_size=5, unique=True)


class CallStateMachine(RuleBasedStateMachine):
    """Partition, pause, restart and replace agents while keys are repeated."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = settled_simulation()
        self.keys = [self.simulation.new_key()]

    @rule(seconds=st.sampled_from((0.5, 2, 4, 9, 20)))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.simulation.advance(seconds)

    @rule(members=list_choices)
    def publish(self, members: list[str]) -> None:
        """Publish a VM list of any agents."""
        self.simulation.publish(members)

    @rule()
    def publish_first(self) -> None:
        """Publish the initial VM list again."""
        self.simulation.publish(MEMBERS)

    @rule(names=st.frozensets(name_choices))
    def cut(self, names: frozenset[str]) -> None:
        """Partition some agents from the others and from the VM list."""
        self.simulation.partitioned_agents = names

    @rule(name=name_choices)
    def start_or_restart(self, name: str) -> None:
        """Start an agent, or restart it, with empty memory."""
        self.simulation.start(name)

    @rule(name=name_choices)
    def pause_or_resume(self, name: str) -> None:
        """Pause a process, or resume it with what has arrived meanwhile."""
        agent = self.simulation.agents.get(name)
        if agent is None:
            return
        if agent.running:
            agent.running = False
        else:
            agent.resume()

    @rule(
        wall_clock_offset_seconds=st.sampled_from(
            (0, MAX_CLOCK_OFFSET_SECONDS, -MAX_CLOCK_OFFSET_SECONDS)
        )
    )
    def issue(self, wall_clock_offset_seconds: float) -> None:
        """Issue a key and send a call with it to all agents."""
        key = self.simulation.new_key(wall_clock_offset_seconds)
        self.keys.append(key)
        self.simulation.call_all_agents(key)

    @rule()
    def repeat(self) -> None:
        """Send the calls of all keys to all agents again."""
        for key in self.keys:
            self.simulation.call_all_agents(key)

    @rule(name=name_choices, seconds=st.sampled_from((0, 1, 30)))
    def refuse(self, name: str, seconds: float) -> None:
        """Let an agent refuse a key, then deliver a delayed attempt of it."""
        started = self.simulation.clock.now
        key = self.simulation.new_key()
        self.simulation.advance(seconds)
        if name in self.simulation.agents:
            self.simulation.call(key, name, 'busy')
        for agent_name in list(self.simulation.agents):
            self.simulation.call(key, agent_name, started=started)

    @invariant()
    def each_key_ran_at_most_once(self) -> None:
        """Check that no key ran twice or after a `not_run` reply."""
        assert max(self.simulation.effects.values(), default=0) <= 1
        assert not self.simulation.false_refusals


FAULT_SEQUENCE_SETTINGS = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


class CallFaultSequenceTest(unittest.TestCase):
    """Guard against a second effect in random sequences of faults."""

    def test_random_fault_sequences(self) -> None:
        """Guard against a key that runs twice after any sequence of faults."""
        run_state_machine_as_test(
            CallStateMachine, settings=FAULT_SEQUENCE_SETTINGS
        )
