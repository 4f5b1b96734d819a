"""Fault scenarios of the simulated agents."""

from collections.abc import Callable, Sequence

from tests.call_world import (
    MAX_CLOCK_OFFSET_SECONDS,
    MAX_LIST_AGE_SECONDS,
    RETRY_HORIZON_SECONDS,
    SETTLING_SECONDS,
    CallSimulation,
)

MEMBERS = ('a', 'b', 'c')
# Enough for the first lease to start and every owner to settle.
START_SECONDS = (
    MAX_LIST_AGE_SECONDS + 3 * SETTLING_SECONDS + MAX_CLOCK_OFFSET_SECONDS
)
KEY_COUNT = 40
SETTLED_SECONDS = 3 * SETTLING_SECONDS + MAX_CLOCK_OFFSET_SECONDS


def settled_simulation() -> CallSimulation:
    """Return a simulation in which three agents have settled."""
    simulation = CallSimulation()
    simulation.publish(MEMBERS)
    simulation.advance(START_SECONDS)
    return simulation


def call_each_key(simulation: CallSimulation, keys: Sequence[str]) -> None:
    """Send one attempt of each key to each agent."""
    for key in keys:
        simulation.call_all_agents(key)


def owned_keys(simulation: CallSimulation, name: str) -> list[str]:
    """Issue keys and return those that one agent owns."""
    keys = [simulation.new_key() for _ in range(KEY_COUNT)]
    return [key for key in keys if simulation.owner(key) == name]


def restart_owner(simulation: CallSimulation) -> None:
    """Run keys, restart their owner with empty memory and repeat them."""
    keys = owned_keys(simulation, 'a')
    for key in keys:
        simulation.call(key, 'a')
    simulation.start('a')
    simulation.advance(SETTLED_SECONDS)
    call_each_key(simulation, keys)


def partition_owner(simulation: CallSimulation) -> None:
    """Remove a partitioned owner from the list and call on both sides."""
    simulation.partitioned_agents = frozenset('a')
    simulation.publish(('b', 'c'))
    for _ in range(int(SETTLED_SECONDS)):
        simulation.advance(1)
        call_each_key(simulation, [simulation.new_key() for _ in range(5)])


def restart_granters(simulation: CallSimulation) -> None:
    """Restart the only granter of an owner and give it a new list."""
    # The third member cannot grant meanwhile.
    simulation.partitioned_agents = frozenset('c')
    simulation.advance(5)
    simulation.start('b')
    simulation.partitioned_agents = frozenset('a')
    simulation.publish(('b', 'c'))
    simulation.advance(SETTLED_SECONDS)
    simulation.call_all_agents(simulation.new_key())


def replace_majority(simulation: CallSimulation) -> None:
    """Replace two of three members while these cannot read the new list."""
    simulation.partitioned_agents = frozenset('ab')
    simulation.publish(('c', 'd', 'e'))
    for _ in range(int(SETTLED_SECONDS + 2 * MAX_LIST_AGE_SECONDS)):
        simulation.advance(1)
        call_each_key(simulation, [simulation.new_key() for _ in range(5)])


def replace_majority_and_restart(simulation: CallSimulation) -> None:
    """Restart the member on both lists, then replace the other two."""
    simulation.start('c')
    replace_majority(simulation)


def pause_owner(simulation: CallSimulation) -> None:
    """Pause an owner, call keys at its successors, then resume it."""
    simulation.agents['a'].running = False
    simulation.advance(1)
    simulation.publish(('b', 'c'))
    simulation.advance(SETTLED_SECONDS)
    call_each_key(simulation, [simulation.new_key() for _ in range(KEY_COUNT)])
    simulation.agents['a'].resume()


def return_keys_to_owner(simulation: CallSimulation) -> None:
    """Move keys to another owner and back within the retry horizon."""
    simulation.publish(('b', 'c'))
    simulation.advance(SETTLED_SECONDS)
    keys = [simulation.new_key() for _ in range(KEY_COUNT)]
    call_each_key(simulation, keys)
    simulation.publish(MEMBERS)
    simulation.advance(SETTLING_SECONDS / 2)
    call_each_key(simulation, keys)


def repeat_expired_keys(simulation: CallSimulation) -> None:
    """Repeat keys with a time of issue after their records were dropped."""
    keys = owned_keys(simulation, 'a')
    for key in keys:
        simulation.call(key, 'a')
    simulation.advance(RETRY_HORIZON_SECONDS + 10 * MAX_CLOCK_OFFSET_SECONDS)
    simulation.call(owned_keys(simulation, 'a')[0], 'a')
    call_each_key(simulation, keys)


def repeat_future_keys(simulation: CallSimulation) -> None:
    """Repeat keys of a fast clock until after their records are dropped."""
    simulation.advance(2 * RETRY_HORIZON_SECONDS)
    keys = [
        simulation.new_key(MAX_CLOCK_OFFSET_SECONDS) for _ in range(KEY_COUNT)
    ]
    call_each_key(simulation, keys)
    for _ in range(int(RETRY_HORIZON_SECONDS + 4 * MAX_CLOCK_OFFSET_SECONDS)):
        simulation.advance(2)
        call_each_key(simulation, keys)


def late_attempt(simulation: CallSimulation) -> None:
    """Deliver the first attempt of keys after a repeat was refused."""
    call_each_key(simulation, owned_keys(simulation, 'a'))
    started = simulation.clock.now
    keys = owned_keys(simulation, 'a')
    simulation.advance(1)
    for key in keys:
        simulation.call(key, 'a', 'busy')
    simulation.advance(1)
    for key in keys:
        simulation.call(key, 'a', started=started)


def repeat_at_once(simulation: CallSimulation) -> None:
    """Call each key twice at all agents."""
    for key in [simulation.new_key() for _ in range(KEY_COUNT)]:
        simulation.call_all_agents(key)
        simulation.call_all_agents(key)


def restart_owner_of_future_keys(simulation: CallSimulation) -> None:
    """Issue keys by a fast clock, restart an owner and repeat them."""
    simulation.advance(2 * RETRY_HORIZON_SECONDS)
    keys = [
        simulation.new_key(MAX_CLOCK_OFFSET_SECONDS) for _ in range(KEY_COUNT)
    ]
    call_each_key(simulation, keys)
    simulation.start('a')
    for _ in range(int(SETTLED_SECONDS)):
        simulation.advance(0.5)
        call_each_key(simulation, keys)


def alternate_lists(simulation: CallSimulation) -> None:
    """Remove an owner from the list, return it just before others settle."""
    call_each_key(simulation, owned_keys(simulation, 'a'))
    simulation.publish(('b', 'c'))
    simulation.advance(SETTLING_SECONDS - 1)
    simulation.publish(MEMBERS)
    simulation.advance(SETTLING_SECONDS - 1)
    for _ in range(3):
        simulation.publish(('b', 'c'))
        simulation.advance(SETTLING_SECONDS - 1)
        keys = [
            simulation.new_key(MAX_CLOCK_OFFSET_SECONDS)
            for _ in range(KEY_COUNT)
        ]
        call_each_key(simulation, keys)
        simulation.publish(MEMBERS)
        simulation.advance(SETTLING_SECONDS - 1)
        call_each_key(simulation, keys)


def repeat_keys_without_time(simulation: CallSimulation) -> None:
    """Run keys without a time of issue, restart an owner and repeat them."""
    simulation.advance(RETRY_HORIZON_SECONDS)
    keys = [f'desk/{number}' for number in range(KEY_COUNT)]
    call_each_key(simulation, keys)
    simulation.start('a')
    simulation.advance(RETRY_HORIZON_SECONDS - SETTLED_SECONDS / 2)
    call_each_key(simulation, keys)


SCENARIOS: tuple[Callable[[CallSimulation], None], ...] = (
    restart_owner,
    partition_owner,
    restart_granters,
    replace_majority,
    replace_majority_and_restart,
    pause_owner,
    return_keys_to_owner,
    repeat_expired_keys,
    repeat_future_keys,
    repeat_at_once,
    late_attempt,
    restart_owner_of_future_keys,
    alternate_lists,
    repeat_keys_without_time,
)
