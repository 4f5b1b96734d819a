"""Time that copies of generations take."""

from collections.abc import Sequence

from wasabistream.forwarding.engine_states import EngineRun

# Time to copy the memory of one token inside a data centre, until copies of
# this engine have shown it.
DEFAULT_SECONDS_PER_TOKEN = 5.6e-5
# A copy to another data centre takes twice as long.
REMOTE_COPY_RATIO = 2.0
# Weight of the newest copy.
NEWEST_COPY_WEIGHT = 0.5
# Notice of an engine that does not tell when it ends.
DEFAULT_NOTICE_SECONDS = 1.3
# Left for the last copies and for copies that take longer.
MARGIN_SECONDS = 0.25


class CopyRateEstimator:
    """Tell whether the time of a notice allows a copy to a far engine."""

    def __init__(self) -> None:
        self._seconds_per_token = DEFAULT_SECONDS_PER_TOKEN

    def record_copy(self, tokens: int, seconds: float, *, remote: bool) -> None:
        """Learn from one copy."""
        if tokens <= 0:
            return
        distance_ratio = REMOTE_COPY_RATIO if remote else 1
        measured_seconds = seconds / tokens / distance_ratio
        self._seconds_per_token += NEWEST_COPY_WEIGHT * (
            measured_seconds - self._seconds_per_token
        )

    def allows_remote_copy(
        self,
        run: EngineRun,
        waiting: Sequence[EngineRun],
        remaining_seconds: float | None,
    ) -> bool:
        """Tell whether a far copy leaves time for near copies of the rest."""
        available_seconds = (
            DEFAULT_NOTICE_SECONDS
            if remaining_seconds is None
            else remaining_seconds
        )
        tokens = sum(waiting_run.memory_tokens for waiting_run in waiting)
        tokens += int(run.memory_tokens * (REMOTE_COPY_RATIO - 1))
        return (
            tokens * self._seconds_per_token + MARGIN_SECONDS
            < available_seconds
        )
