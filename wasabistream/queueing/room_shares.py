"""How much of the room at engines one entry may take at a time."""

from collections.abc import Callable, Sequence

from wasabistream.scheduling.engine_outlooks import EngineOutlook

# Part of the room that all entries together take in one scan. Others' starts
# are seen only at a later scan, so that more than this is taken until then.
TAKEN_ROOM_RATIO = 0.5
# Requests for which one engine is taken to have room: their prompts are
# prefilled one after the other.
MAX_ENGINE_ROOM_COUNT = 2


def may_take_room(
    roomy: Sequence[EngineOutlook],
    headroom_tokens: float,
    expected_tokens: int,
    live_entry_count: int,
    draw_ratio: Callable[[], float],
) -> bool:
    """Return whether a request takes room now or leaves it to other entries.

    All entries see the same room at about the same time, so that without this
    they would fill it several times over. A single entry counts its own starts
    and takes all of it.
    """
    if live_entry_count <= 1:
        return True
    room_count = sum(
        _count_room(outlook, headroom_tokens, expected_tokens)
        for outlook in roomy
    )
    return draw_ratio() < TAKEN_ROOM_RATIO * room_count / live_entry_count


def _count_room(
    outlook: EngineOutlook, headroom_tokens: float, expected_tokens: int
) -> int:
    # The free tokens are those that are left after the request itself.
    spare_tokens = max(outlook.free_tokens - headroom_tokens, 0)
    further_count = int(spare_tokens // max(expected_tokens, 1))
    return min(further_count + 1, MAX_ENGINE_ROOM_COUNT)
