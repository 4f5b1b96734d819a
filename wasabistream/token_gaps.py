"""Mean time between the tokens of an engine's streams."""

# Weight of one gap in the moving mean, which so covers about 50 gaps.
GAP_WEIGHT = 0.02
DEFAULT_GAP_SECONDS = 0.04
# A gap counts as at most this multiple of the mean, because one stalled stream
# says little about the whole engine.
MAX_GAP_RATIO = 6.0


class TokenGapMeter:
    """Average the gaps between tokens over all running streams."""

    def __init__(self) -> None:
        self.mean_gap_seconds = 0.0
        self.gap_count = 0

    @property
    def mean_gap_or_default_seconds(self) -> float:
        """Return the mean gap, or a default before the first one."""
        return self.mean_gap_seconds or DEFAULT_GAP_SECONDS

    def observe(self, gap_seconds: float) -> None:
        """Add the gap between two tokens of one stream to the mean."""
        self.gap_count += 1
        mean = self.mean_gap_seconds
        if not mean:
            self.mean_gap_seconds = gap_seconds
            return
        bounded_gap_seconds = min(gap_seconds, MAX_GAP_RATIO * mean)
        # The first gaps weigh more, so that the mean settles quickly.
        rate = max(GAP_WEIGHT, 1 / self.gap_count)
        self.mean_gap_seconds = mean + rate * (bounded_gap_seconds - mean)

    def reset(self) -> None:
        """Discard the mean, because the engine has restarted."""
        self.mean_gap_seconds = 0
        self.gap_count = 0
