"""Random walks of faults through the model of agents."""

import unittest

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from tests.call_scenarios import MEMBERS, settled_world
from tests.call_world import OFFSET_SECONDS

NAMES = ('a', 'b', 'c', 'd', 'e')
name_choices = st.sampled_from(NAMES)
list_choices = st.lists(name_choices, min_size=1, max_size=5, unique=True)


class CallWalk(RuleBasedStateMachine):
    """Cut, stop, restart and replace agents while keys are repeated."""

    def __init__(self) -> None:
        super().__init__()
        self.world = settled_world()
        self.keys = [self.world.new_key()]

    @rule(seconds=st.sampled_from((0.5, 2, 4, 9, 20)))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.world.advance(seconds)

    @rule(members=list_choices)
    def publish(self, members: list[str]) -> None:
        """Publish any VM list."""
        self.world.publish(members)

    @rule()
    def publish_first(self) -> None:
        """Publish the first VM list again."""
        self.world.publish(MEMBERS)

    @rule(names=st.frozensets(name_choices))
    def cut(self, names: frozenset[str]) -> None:
        """Cut some agents off from the others and from the list."""
        self.world.cut_off = names

    @rule(name=name_choices)
    def restart(self, name: str) -> None:
        """Restart an agent with empty memory."""
        self.world.start(name)

    @rule(name=name_choices)
    def stop_or_wake(self, name: str) -> None:
        """Stop a process, or wake it with all that reached it."""
        agent = self.world.agents.get(name)
        if agent is None:
            return
        if agent.running:
            agent.running = False
        else:
            agent.wake()

    @rule(offset=st.sampled_from((0, OFFSET_SECONDS, -OFFSET_SECONDS)))
    def issue(self, offset: float) -> None:
        """Issue a key and send it to all agents."""
        key = self.world.new_key(offset)
        self.keys.append(key)
        self.world.call_all(key)

    @rule()
    def repeat(self) -> None:
        """Repeat all keys at all agents."""
        for key in self.keys:
            self.world.call_all(key)

    @rule(name=name_choices, seconds=st.sampled_from((0, 1, 30)))
    def refuse(self, name: str, seconds: float) -> None:
        """Refuse a key by an agent while an attempt is held up."""
        started = self.world.clock.now
        key = self.world.new_key()
        self.world.advance(seconds)
        if name in self.world.agents:
            self.world.call(key, name, 'busy')
        for other in list(self.world.agents):
            self.world.call(key, other, started=started)

    @invariant()
    def each_key_ran_once(self) -> None:
        """Compare the effects with the promise."""
        assert max(self.world.effects.values(), default=0) <= 1
        assert not self.world.false_refusals


WALK_SETTINGS = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


class CallWalkTest(unittest.TestCase):
    """Guard against a second effect in sequences that nobody thought of."""

    def test_walks(self) -> None:
        """Guard against a key that runs twice after any faults."""
        run_state_machine_as_test(CallWalk, settings=WALK_SETTINGS)
