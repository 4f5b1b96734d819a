"""Pace of load orders towards the weight store."""

import time
from collections.abc import Callable, Sequence

from wasabistream.digests import hash64

SECONDS_PER_MINUTE = 60
# Part of a slot at whose start a load may be ordered; the rest covers clocks
# that differ between agents.
OPEN_RATIO = 0.5


class WeightLoadSlots:
    """Give each agent time slots of its own, with nothing shared.

    Data centres share the rate equally, and within a data centre each agent
    has one slot of every round, in an order by hash.
    """

    def __init__(
        self, agent_id: str, wall_clock: Callable[[], float] = time.time
    ) -> None:
        self._agent_id = agent_id
        self._wall_clock = wall_clock
        self._used_slot: float = -1

    def try_take_slot(
        self,
        agent_ids: Sequence[str],
        loads_per_minute: float,
        data_centre_count: int,
    ) -> bool:
        """Tell whether a slot of this agent is open; it is open once."""
        slot_seconds = (
            SECONDS_PER_MINUTE * data_centre_count / max(loads_per_minute, 1e-9)
        )
        slot, elapsed = divmod(self._wall_clock(), slot_seconds)
        order = sorted(agent_ids, key=lambda agent_id: hash64('load', agent_id))
        own = order[int(slot) % len(order)] == self._agent_id
        if not own or elapsed > OPEN_RATIO * slot_seconds:
            return False
        if slot == self._used_slot:
            return False
        self._used_slot = slot
        return True
