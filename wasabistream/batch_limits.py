"""Limit of the batch where an engine slows down."""

from wasabistream.token_gaps import TokenGapMeter

# Beyond this multiple of the least gap a larger batch gains nothing.
SLOW_RATIO = 1.35
# Below this multiple the batch may grow again.
FAST_RATIO = 1.15
# Gaps between two changes, so that a change shows in the mean first.
SETTLE_GAP_COUNT = 100
# The least gap rises by this part at each change, to follow the engine.
FORGET_RATIO = 0.002
MIN_BATCH_COUNT = 4


class BatchLimit:
    """Learn from the token gap how many sequences an engine bears."""

    def __init__(self, speeds: TokenGapMeter, full_count: int) -> None:
        self._speeds = speeds
        self._full_count = full_count
        self._least_gap_seconds = 0.0
        self._judged_count = 0
        self.limit_count = full_count

    def record_token(self, running_count: int) -> None:
        """Judge the speed after a token."""
        speeds = self._speeds
        if speeds.gap_count < self._judged_count:
            self._judged_count = 0
        if speeds.gap_count - self._judged_count < SETTLE_GAP_COUNT:
            return
        self._judged_count = speeds.gap_count
        gap = speeds.gap_seconds
        least = self._least_gap_seconds * (1 + FORGET_RATIO)
        self._least_gap_seconds = min(gap, least) if least else gap
        if gap > SLOW_RATIO * self._least_gap_seconds:
            self.limit_count = max(
                min(self.limit_count, running_count) - 1, MIN_BATCH_COUNT
            )
        elif gap < FAST_RATIO * self._least_gap_seconds:
            if running_count >= self.limit_count:
                self.limit_count = min(self.limit_count + 1, self._full_count)


class OpenBatchLimit(BatchLimit):
    """Limit nothing; the baseline without a gate."""

    def record_token(self, running_count: int) -> None:
        """Ignore the speed."""
