"""Order in which generations leave an engine."""

from collections.abc import Sequence

from wasabistream.forwarding.copy_paces import CopyPace
from wasabistream.forwarding.engine_states import EngineRun

# Events that a generation still makes on average; drafts make about 200 in
# all, and what is left hardly depends on what has been made.
REMAINING_EVENT_COUNT = 200


def choose_next_run(
    runs: Sequence[EngineRun], left_seconds: float | None, pace: CopyPace
) -> EngineRun:
    """Return the generation to move next; `runs` holds one at least.

    An engine with more generations than its notice allows saves most when
    each second of copying carries as much work as possible. One that can no
    longer be copied in time would only hold up the others.
    """
    in_time = [run for run in runs if pace.is_in_time(run, left_seconds)]
    return max(in_time or runs, key=_work_per_token)


def _work_per_token(run: EngineRun) -> float:
    work = run.event_count + REMAINING_EVENT_COUNT
    return work / max(run.memory_tokens, 1)
