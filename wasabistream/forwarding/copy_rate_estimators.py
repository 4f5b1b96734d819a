"""Estimate of the time that copies of generations take."""

from collections.abc import Sequence

from wasabistream.forwarding.engine_states import EngineRun

# Time to copy the memory of one token inside a data centre, used until copies
# of this engine have been timed.
DEFAULT_SECONDS_PER_TOKEN = 5.6e-5
# A copy to another data centre takes twice as long.
REMOTE_COPY_RATIO = 2.0
# Weight of the newest copy in the moving average.
NEWEST_COPY_WEIGHT = 0.5
# Notice period of an engine that does not state when it ends.
DEFAULT_NOTICE_SECONDS = 1.3
# Reserve for the final copies and for copies that take longer than expected.
MARGIN_SECONDS = 0.25


class CopyRateEstimator:
    """Estimate copy times and decide whether a remote copy is affordable."""

    def __init__(self) -> None:
        self._seconds_per_token = DEFAULT_SECONDS_PER_TOKEN

    def record_copy(self, tokens: int, seconds: float, *, remote: bool) -> None:
        """Update the estimate with the size and duration of one copy."""
        if tokens <= 0:
            return
        distance_ratio = REMOTE_COPY_RATIO if remote else 1
        measured_seconds = seconds / tokens / distance_ratio
        self._seconds_per_token += NEWEST_COPY_WEIGHT * (
            measured_seconds - self._seconds_per_token
        )

    def can_afford_remote_copy(
        self,
        run: EngineRun,
        waiting: Sequence[EngineRun],
        remaining_seconds: float | None,
    ) -> bool:
        """Return whether a remote copy leaves time to copy the rest locally."""
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
