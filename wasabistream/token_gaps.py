"""Speed at which an engine makes tokens."""

# Weight of one gap in the running mean; about 50 gaps count.
GAP_RATE = 0.02
DEFAULT_GAP_SECONDS = 0.04
# A gap counts at most as this multiple of the mean: one stalled sequence
# says little about the whole engine.
MAX_GAP_RATIO = 6.0


class TokenGapMeter:
    """Average the gaps between tokens over all running streams."""

    def __init__(self) -> None:
        self.gap_seconds = 0.0
        self.gap_count = 0

    @property
    def current_gap_seconds(self) -> float:
        """Return the mean gap, or a default before the first one."""
        return self.gap_seconds or DEFAULT_GAP_SECONDS

    def observe(self, gap_seconds: float) -> None:
        """Count one gap between two tokens of a stream."""
        self.gap_count += 1
        mean = self.gap_seconds
        if not mean:
            self.gap_seconds = gap_seconds
            return
        limited = min(gap_seconds, MAX_GAP_RATIO * mean)
        # The first gaps weigh more, so that a new engine is known soon.
        rate = max(GAP_RATE, 1 / self.gap_count)
        self.gap_seconds = mean + rate * (limited - mean)

    def reset(self) -> None:
        """Forget the speed of an engine that restarted."""
        self.gap_seconds = 0
        self.gap_count = 0
