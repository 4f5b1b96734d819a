"""Limit of the batch size, learned from the engine's token gap."""

from wasabistream.token_gaps import TokenGapMeter

# Above this multiple of the least gap the limit falls, because a larger batch
# gains nothing.
SLOW_RATIO = 1.35
# Below this multiple of the least gap the limit may rise again.
FAST_RATIO = 1.15
# Gaps between two evaluations, so that a change of the limit shows in the mean
# gap before the next one.
EVALUATION_GAP_COUNT = 100
# Part by which the least gap rises at each evaluation, to follow an engine that
# becomes slower.
LEAST_GAP_RISE_RATIO = 0.002
MIN_BATCH_COUNT = 4


class BatchLimit:
    """Learn from the token gap how many jobs an engine runs efficiently."""

    def __init__(self, token_gaps: TokenGapMeter, full_count: int) -> None:
        self._token_gaps = token_gaps
        self._full_count = full_count
        self._least_gap_seconds = 0.0
        self._evaluated_gap_count = 0
        self.limit_count = full_count

    def record_token(self, running_count: int) -> None:
        """Adjust the limit after a token if an evaluation is due."""
        token_gaps = self._token_gaps
        if token_gaps.gap_count < self._evaluated_gap_count:
            self._evaluated_gap_count = 0
        if (
            token_gaps.gap_count - self._evaluated_gap_count
            < EVALUATION_GAP_COUNT
        ):
            return
        self._evaluated_gap_count = token_gaps.gap_count
        gap = token_gaps.mean_gap_seconds
        raised_least_gap = self._least_gap_seconds * (1 + LEAST_GAP_RISE_RATIO)
        self._least_gap_seconds = (
            min(gap, raised_least_gap) if raised_least_gap else gap
        )
        if gap > SLOW_RATIO * self._least_gap_seconds:
            self.limit_count = max(
                min(self.limit_count, running_count) - 1, MIN_BATCH_COUNT
            )
        elif gap < FAST_RATIO * self._least_gap_seconds:
            if running_count >= self.limit_count:
                self.limit_count = min(self.limit_count + 1, self._full_count)


class OpenBatchLimit(BatchLimit):
    """Keep the limit constant; the baseline without admission control."""

    def record_token(self, running_count: int) -> None:
        """Ignore the token."""
