"""Ramp of an engine that is cold."""

import logging
import threading

from wasabistream.token_gaps import TokenGapMeter

logger = logging.getLogger(__name__)

# A gap up to this multiple of the normal one counts as normal speed.
NORMAL_RATIO = 1.5
# A mean gap beyond this multiple shows an engine that has gone cold.
COLD_RATIO = 2.2
# Gaps that must have been seen before the speed is judged.
MIN_GAP_COUNT = 12
# First tokens, one after the other, that took too long.
SLOW_FIRST_COUNT = 4
# Normal speed is forgotten by this part with each slow answer, so that a
# lasting change of the engine does not hold the ramp closed forever.
FORGET_RATIO = 0.005
# Finished answers for each further slot while normal speed is not known.
BLIND_FINISH_COUNT = 3
# Tokens for each further slot while normal speed is not known. Short answers
# alone would open the ramp before the engine has done any work to warm up.
BLIND_SLOT_TOKENS = 256


class Ramp:
    """Limit the concurrency of a cold engine by what the engine does.

    The limit doubles with each round of answers at normal speed. No health
    check and no announcement opens it, because a cold engine answers both.
    """

    def __init__(
        self,
        speeds: TokenGapMeter,
        start_count: int,
        full_count: int,
        normal_gap_seconds: float = 0,
    ) -> None:
        self._speeds = speeds
        self._start_count = start_count
        self._full_count = full_count
        self._lock = threading.Lock()
        self._limit = float(start_count)
        self._normal_gap_seconds = normal_gap_seconds
        self._normal_first_seconds = 0.0
        self._slow_first_count = 0
        self._blind_finish_count = 0
        self._blind_tokens = 0
        self._coldest_gap_seconds = 0.0
        self.close_count = 0

    @property
    def limit_count(self) -> int:
        """Return how many jobs may run at once."""
        return int(self._limit)

    @property
    def open(self) -> bool:
        """Tell whether the ramp does not limit the engine."""
        return self._limit >= self._full_count

    def first_token(self, seconds: float, prompt_tokens: int) -> None:
        """Judge the time to a first token after admission."""
        with self._lock:
            normal = self._normal_first_seconds
            if not normal:
                self._normal_first_seconds = seconds
                return
            if seconds > 2 * COLD_RATIO * normal + prompt_tokens / 1000:
                self._slow_first_count += 1
                if self._slow_first_count >= SLOW_FIRST_COUNT:
                    self._close('first tokens are slow')
                return
            self._slow_first_count = 0
            self._normal_first_seconds += 0.05 * (seconds - normal)

    def record_token(self) -> None:
        """Judge the speed after a token."""
        self._blind_tokens += 1
        gap = self._speeds.gap_seconds
        normal = self._normal_gap_seconds
        if (
            normal
            and self._limit > self._start_count
            and self._speeds.gap_count >= MIN_GAP_COUNT
            and gap > COLD_RATIO * normal
        ):
            with self._lock:
                self._close('tokens are slow')

    def record_answer(self, gap_seconds: float) -> None:
        """Open by an answer that finished at normal speed."""
        with self._lock:
            normal = self._normal_gap_seconds
            if normal == 0:
                self._finished_blind(gap_seconds)
            elif gap_seconds <= NORMAL_RATIO * normal:
                self._open_by(1)
                self._normal_gap_seconds += 0.05 * min(gap_seconds - normal, 0)
            else:
                self._normal_gap_seconds = normal * (1 + FORGET_RATIO)

    def on_engine_lost(self) -> None:
        """Start again after a restart of the engine."""
        with self._lock:
            self._speeds.reset()
            self._close('engine restarted')

    def _finished_blind(self, gap_seconds: float) -> None:
        # Without a known normal speed, an engine may be cold from the start.
        # It opens by one slot at a time until a clear rise in speed shows
        # that it was cold and is warm now.
        coldest = max(self._coldest_gap_seconds, gap_seconds)
        self._coldest_gap_seconds = coldest
        if gap_seconds * NORMAL_RATIO < coldest or self.open:
            self._normal_gap_seconds = gap_seconds
            return
        self._blind_finish_count += 1
        if (
            self._blind_finish_count >= BLIND_FINISH_COUNT * self._limit
            and self._blind_tokens >= BLIND_SLOT_TOKENS
        ):
            self._blind_finish_count = 0
            self._blind_tokens = 0
            self._open_by(1)

    def _open_by(self, slots: float) -> None:
        self._limit = min(self._limit + slots, self._full_count)

    def _close(self, cause: str) -> None:
        if self._limit > self._start_count:
            self.close_count += 1
            logger.warning('ramp: closed: %s', cause)
        self._limit = self._start_count
        self._slow_first_count = 0
        self._blind_finish_count = 0
        self._blind_tokens = 0


class OpenRamp(Ramp):
    """Limit nothing; the baseline without a ramp."""

    def __init__(self, speeds: TokenGapMeter, full_count: int) -> None:
        super().__init__(speeds, full_count, full_count)

    def first_token(self, seconds: float, prompt_tokens: int) -> None:
        """Ignore the time to a first token."""

    def record_answer(self, gap_seconds: float) -> None:
        """Ignore the speed."""
