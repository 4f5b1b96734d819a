"""Time slots that limit the rate of loads from the weight store.

The weight store is the storage from which engines load model weights.
"""

import time
from collections.abc import Callable, Sequence

from wasabistream.digests import hash64

SECONDS_PER_MINUTE = 60
# Share of a slot, from its start, in which a load may be ordered. The rest
# allows for clocks that differ between agents.
USABLE_SLOT_RATIO = 0.5


class WeightLoadSlots:
    """Compute the time slots in which one agent may order a load.

    The slots follow from the wall clock, so agents exchange no messages. Data
    centres share the rate equally. Within a data centre the agents take
    turns, one slot each, in the order of the hashes of their ids.
    """

    def __init__(
        self, agent_id: str, wall_clock: Callable[[], float] = time.time
    ) -> None:
        self._agent_id = agent_id
        self._wall_clock = wall_clock
        self._last_used_slot: float = -1
        # Seconds from the last attempt to the start of the next slot of this
        # agent.
        self.next_slot_delay_seconds = 0.0

    def try_take_slot(
        self,
        agent_ids: Sequence[str],
        loads_per_minute: float,
        data_centre_count: int,
    ) -> bool:
        """Take the current slot for one load; return False if it is not free.

        It is not free if it belongs to another agent, if its usable part is
        over, or if it has been taken.

        `agent_ids` are all agents of the data centre of this agent.
        """
        slot_seconds = (
            SECONDS_PER_MINUTE * data_centre_count / max(loads_per_minute, 1e-9)
        )
        slot, elapsed_seconds = divmod(self._wall_clock(), slot_seconds)
        turns = sorted(agent_ids, key=lambda agent_id: hash64('load', agent_id))
        slots_ahead = (turns.index(self._agent_id) - int(slot)) % len(turns)
        self.next_slot_delay_seconds = (
            slots_ahead or len(turns)
        ) * slot_seconds - elapsed_seconds
        if slots_ahead or elapsed_seconds > USABLE_SLOT_RATIO * slot_seconds:
            return False
        if slot == self._last_used_slot:
            return False
        self._last_used_slot = slot
        return True
