"""Ramp: limit of concurrent jobs while an engine is cold."""

import logging
import threading

from wasabistream.token_gaps import TokenGapMeter

logger = logging.getLogger(__name__)

# A token gap up to this multiple of the normal one counts as normal speed.
NORMAL_RATIO = 1.5
# A mean gap above this multiple of the normal one means that the engine has
# gone cold.
COLD_RATIO = 2.2
# Gaps that must have been observed before the mean gap is compared.
MIN_GAP_COUNT = 12
# Consecutive slow first tokens that close the ramp.
SLOW_FIRST_TOKEN_COUNT = 4
# Part by which the normal gap rises with each slow answer, so that a lasting
# change of the engine does not keep the ramp closed forever.
NORMAL_GAP_RISE_RATIO = 0.005
# Finished answers, for each slot of the limit, that raise the limit by one
# while the normal gap is unknown.
UNCALIBRATED_ANSWER_COUNT = 3
# Tokens that must also have come before the limit rises by one while the normal
# gap is unknown. Short answers alone would open the ramp before the engine has
# done any work to warm up.
UNCALIBRATED_SLOT_TOKENS = 256


class Ramp:
    """Limit the concurrency of a cold engine by its measured speed.

    Each answer at normal speed raises the limit by one, so the limit doubles
    with each round of answers. Health checks and announcements do not raise
    it, because a cold engine passes both. The ramp is open once the limit has
    reached the full count; closing it puts the limit back to the start count.
    """

    def __init__(
        self,
        token_gaps: TokenGapMeter,
        start_count: int,
        full_count: int,
        normal_gap_seconds: float = 0,
    ) -> None:
        self._token_gaps = token_gaps
        self._start_count = start_count
        self._full_count = full_count
        self._lock = threading.Lock()
        self._limit = float(start_count)
        self._normal_gap_seconds = normal_gap_seconds
        self._normal_first_token_seconds = 0.0
        self._slow_first_token_count = 0
        self._uncalibrated_answer_count = 0
        self._uncalibrated_tokens = 0
        self._max_gap_seconds = 0.0
        self.close_count = 0

    @property
    def limit_count(self) -> int:
        """Return how many jobs may run at once."""
        return int(self._limit)

    @property
    def open(self) -> bool:
        """Return whether the limit has reached the full count."""
        return self._limit >= self._full_count

    def first_token(self, seconds: float, prompt_tokens: int) -> None:
        """Record the time from admission to a first token."""
        with self._lock:
            normal = self._normal_first_token_seconds
            if not normal:
                self._normal_first_token_seconds = seconds
                return
            if seconds > 2 * COLD_RATIO * normal + prompt_tokens / 1000:
                self._slow_first_token_count += 1
                if self._slow_first_token_count >= SLOW_FIRST_TOKEN_COUNT:
                    self._close('first tokens are slow')
                return
            self._slow_first_token_count = 0
            self._normal_first_token_seconds += 0.05 * (seconds - normal)

    def record_token(self) -> None:
        """Record a token; close the ramp if the engine has become cold."""
        self._uncalibrated_tokens += 1
        gap = self._token_gaps.mean_gap_seconds
        normal = self._normal_gap_seconds
        if (
            normal
            and self._limit > self._start_count
            and self._token_gaps.gap_count >= MIN_GAP_COUNT
            and gap > COLD_RATIO * normal
        ):
            with self._lock:
                self._close('tokens are slow')

    def record_answer(self, gap_seconds: float) -> None:
        """Raise the limit if an answer finished at normal speed."""
        with self._lock:
            normal = self._normal_gap_seconds
            if normal == 0:
                self._record_uncalibrated_answer(gap_seconds)
            elif gap_seconds <= NORMAL_RATIO * normal:
                self._raise_limit(1)
                self._normal_gap_seconds += 0.05 * min(gap_seconds - normal, 0)
            else:
                self._normal_gap_seconds = normal * (1 + NORMAL_GAP_RISE_RATIO)

    def on_engine_lost(self) -> None:
        """Forget the speed and close the ramp after an engine restart."""
        with self._lock:
            self._token_gaps.reset()
            self._close('engine restarted')

    def _record_uncalibrated_answer(self, gap_seconds: float) -> None:
        # While the normal gap is unknown, the engine may be cold. The limit
        # rises by one slot at a time until a clear drop of the gap shows
        # that the engine was cold and is warm now.
        max_gap_seconds = max(self._max_gap_seconds, gap_seconds)
        self._max_gap_seconds = max_gap_seconds
        if gap_seconds * NORMAL_RATIO < max_gap_seconds or self.open:
            self._normal_gap_seconds = gap_seconds
            return
        self._uncalibrated_answer_count += 1
        if (
            self._uncalibrated_answer_count
            >= UNCALIBRATED_ANSWER_COUNT * self._limit
            and self._uncalibrated_tokens >= UNCALIBRATED_SLOT_TOKENS
        ):
            self._uncalibrated_answer_count = 0
            self._uncalibrated_tokens = 0
            self._raise_limit(1)

    def _raise_limit(self, slots: float) -> None:
        self._limit = min(self._limit + slots, self._full_count)

    def _close(self, cause: str) -> None:
        if self._limit > self._start_count:
            self.close_count += 1
            logger.warning('ramp: closed: %s', cause)
        self._limit = self._start_count
        self._slow_first_token_count = 0
        self._uncalibrated_answer_count = 0
        self._uncalibrated_tokens = 0


class OpenRamp(Ramp):
    """Leave concurrency unlimited; the baseline without a ramp."""

    def __init__(self, token_gaps: TokenGapMeter, full_count: int) -> None:
        super().__init__(token_gaps, full_count, full_count)

    def first_token(self, seconds: float, prompt_tokens: int) -> None:
        """Ignore the time to a first token."""

    def record_answer(self, gap_seconds: float) -> None:
        """Ignore the speed of an answer."""
