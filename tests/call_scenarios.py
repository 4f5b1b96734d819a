"""Faults that the model of agents goes through."""

from collections.abc import Callable, Sequence

from tests.call_world import (
    HOLD_SECONDS,
    HORIZON_SECONDS,
    OFFSET_SECONDS,
    SETTLING_SECONDS,
    CallWorld,
)

MEMBERS = ('a', 'b', 'c')
# Enough for the first list to be founded and every owner to settle.
START_SECONDS = HOLD_SECONDS + 3 * SETTLING_SECONDS + OFFSET_SECONDS
KEY_COUNT = 40
SETTLED_SECONDS = 3 * SETTLING_SECONDS + OFFSET_SECONDS


def settled_world() -> CallWorld:
    """Return a world in which three agents have settled."""
    world = CallWorld()
    world.publish(MEMBERS)
    world.advance(START_SECONDS)
    return world


def call_each(world: CallWorld, keys: Sequence[str]) -> None:
    """Send one attempt of each key to each agent."""
    for key in keys:
        world.call_all(key)


def owned_keys(world: CallWorld, name: str) -> list[str]:
    """Return new keys that one agent owns."""
    keys = [world.new_key() for _ in range(KEY_COUNT)]
    return [key for key in keys if world.owner(key) == name]


def restart_owner(world: CallWorld) -> None:
    """Run keys, restart their owner with empty memory and repeat."""
    keys = owned_keys(world, 'a')
    for key in keys:
        world.call(key, 'a')
    world.start('a')
    world.advance(SETTLED_SECONDS)
    call_each(world, keys)


def cut_owner_off(world: CallWorld) -> None:
    """Drop a cut-off owner from the list and call on both sides."""
    world.cut_off = frozenset('a')
    world.publish(('b', 'c'))
    for _ in range(int(SETTLED_SECONDS)):
        world.advance(1)
        call_each(world, [world.new_key() for _ in range(5)])


def restart_granters(world: CallWorld) -> None:
    """Restart the granter of an owner and give it a new list."""
    # The other member grants nothing meanwhile.
    world.cut_off = frozenset('c')
    world.advance(5)
    world.start('b')
    world.cut_off = frozenset('a')
    world.publish(('b', 'c'))
    world.advance(SETTLED_SECONDS)
    world.call_all(world.new_key())


def replace_all(world: CallWorld) -> None:
    """Replace two of three members while the old ones cannot read."""
    world.cut_off = frozenset('ab')
    world.publish(('c', 'd', 'e'))
    for _ in range(int(SETTLED_SECONDS + 2 * HOLD_SECONDS)):
        world.advance(1)
        call_each(world, [world.new_key() for _ in range(5)])


def replace_memory(world: CallWorld) -> None:
    """Replace as above, and also restart the member on both lists."""
    world.start('c')
    replace_all(world)


def pause_owner(world: CallWorld) -> None:
    """Stop an owner, move its keys, repeat them and wake it with calls."""
    world.agents['a'].running = False
    world.advance(1)
    world.publish(('b', 'c'))
    world.advance(SETTLED_SECONDS)
    call_each(world, [world.new_key() for _ in range(KEY_COUNT)])
    world.agents['a'].wake()


def return_to_owner(world: CallWorld) -> None:
    """Move keys to another owner and back within the retry horizon."""
    world.publish(('b', 'c'))
    world.advance(SETTLED_SECONDS)
    keys = [world.new_key() for _ in range(KEY_COUNT)]
    call_each(world, keys)
    world.publish(MEMBERS)
    world.advance(SETTLING_SECONDS / 2)
    call_each(world, keys)


def forget_early(world: CallWorld) -> None:
    """Repeat a key with a time after its record was forgotten."""
    keys = owned_keys(world, 'a')
    for key in keys:
        world.call(key, 'a')
    world.advance(HORIZON_SECONDS + 10 * OFFSET_SECONDS)
    world.call(owned_keys(world, 'a')[0], 'a')
    call_each(world, keys)


def forget_fast_keys(world: CallWorld) -> None:
    """Repeat keys of a fast clock that were recorded when issued."""
    world.advance(2 * HORIZON_SECONDS)
    keys = [world.new_key(OFFSET_SECONDS) for _ in range(KEY_COUNT)]
    call_each(world, keys)
    for _ in range(int(HORIZON_SECONDS + 4 * OFFSET_SECONDS)):
        world.advance(2)
        call_each(world, keys)


def late_attempt(world: CallWorld) -> None:
    """Hold up the first attempt of keys until a repeat was refused."""
    call_each(world, owned_keys(world, 'a'))
    started = world.clock.now
    keys = owned_keys(world, 'a')
    world.advance(1)
    for key in keys:
        world.call(key, 'a', 'busy')
    world.advance(1)
    for key in keys:
        world.call(key, 'a', started=started)


def repeat_at_once(world: CallWorld) -> None:
    """Repeat keys at all agents."""
    for key in [world.new_key() for _ in range(KEY_COUNT)]:
        world.call_all(key)
        world.call_all(key)


def fast_clock(world: CallWorld) -> None:
    """Issue keys by a fast clock, restart their owner and repeat them."""
    world.advance(2 * HORIZON_SECONDS)
    keys = [world.new_key(OFFSET_SECONDS) for _ in range(KEY_COUNT)]
    call_each(world, keys)
    world.start('a')
    for _ in range(int(SETTLED_SECONDS)):
        world.advance(0.5)
        call_each(world, keys)


def flip_list(world: CallWorld) -> None:
    """Take an owner off the list and back just as another may run."""
    call_each(world, owned_keys(world, 'a'))
    world.publish(('b', 'c'))
    world.advance(SETTLING_SECONDS - 1)
    world.publish(MEMBERS)
    world.advance(SETTLING_SECONDS - 1)
    for _ in range(3):
        world.publish(('b', 'c'))
        world.advance(SETTLING_SECONDS - 1)
        keys = [world.new_key(OFFSET_SECONDS) for _ in range(KEY_COUNT)]
        call_each(world, keys)
        world.publish(MEMBERS)
        world.advance(SETTLING_SECONDS - 1)
        call_each(world, keys)


def untimed_keys(world: CallWorld) -> None:
    """Use keys without a time, then restart their owner and repeat."""
    world.advance(HORIZON_SECONDS)
    keys = [f'desk/{number}' for number in range(KEY_COUNT)]
    call_each(world, keys)
    world.start('a')
    world.advance(HORIZON_SECONDS - SETTLED_SECONDS / 2)
    call_each(world, keys)


SCENARIOS: tuple[Callable[[CallWorld], None], ...] = (
    restart_owner,
    cut_owner_off,
    restart_granters,
    replace_all,
    replace_memory,
    pause_owner,
    return_to_owner,
    forget_early,
    forget_fast_keys,
    repeat_at_once,
    late_attempt,
    fast_clock,
    flip_list,
    untimed_keys,
)
