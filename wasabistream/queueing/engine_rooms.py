"""Whether an engine has room for a deferrable request."""

from enum import StrEnum

from wasabistream.queueing.urgent_arrivals import UrgentNeed
from wasabistream.queueing.waiting_requests import WaitingRequest
from wasabistream.scheduling.engine_outlooks import EngineOutlook
from wasabistream.scheduling.urgent_headrooms import MAX_HEADROOM_RATIO

# The first event is predicted to be in time.
IN_TIME_LATE_CHANCE = 0.5
# A late request must not make others late. A more urgent route has at most this
# part of its target latency.
LATE_TARGET_RATIO = 0.5


class Shortage(StrEnum):
    """State what a request waits for."""

    none = 'none'
    # Time to prefill the prompts that are queued at the engines.
    prompts = 'prompts'
    memory = 'memory'
    # Requests ahead of it that found no room.
    order = 'order'
    # Other entries that see the same room.
    other_entries = 'other entries'
    # No engine is available.
    engines = 'engines'


def find_shortage(
    outlook: EngineOutlook, request: WaitingRequest, headroom_tokens: float
) -> Shortage:
    """Return what an engine lacks for a request, if anything."""
    if not can_begin_in_time(outlook, request):
        return Shortage.prompts
    if outlook.free_tokens < headroom_tokens:
        return Shortage.memory
    return Shortage.none


def can_begin_in_time(outlook: EngineOutlook, request: WaitingRequest) -> bool:
    """Return whether the first event comes in time, or soon if it is late."""
    if request.is_late:
        limit_seconds = request.target_seconds * LATE_TARGET_RATIO
        return outlook.first_event_seconds <= limit_seconds
    return outlook.late_chance <= IN_TIME_LATE_CHANCE


def fits_memory(outlook: EngineOutlook) -> bool:
    """Return whether the memory suffices if nothing is kept free."""
    return outlook.free_tokens >= 0


def find_headroom_tokens(
    need: UrgentNeed,
    live_entry_count: int,
    usable_engine_count: int,
    capacity_tokens: int,
) -> float:
    """Return the memory of an engine to keep free for urgent requests.

    The entries are assumed to have the same demand and to spread it evenly.
    """
    engine_ratio = max(live_entry_count, 1) / max(usable_engine_count, 1)
    return min(
        max(need.tokens * engine_ratio, need.request_tokens),
        capacity_tokens * MAX_HEADROOM_RATIO,
    )
