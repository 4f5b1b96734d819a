"""Time that copies of generations take."""

from collections.abc import Sequence

from wasabistream.forwarding.engine_states import EngineRun

# Time to copy the memory of one token inside a data centre, until copies of
# this engine have shown it.
TOKEN_SECONDS = 5.6e-5
# A copy to another data centre takes twice as long.
FAR_RATIO = 2.0
# Weight of the newest copy.
COPY_WEIGHT = 0.5
# Notice of an engine that does not tell when it ends.
DEFAULT_NOTICE_SECONDS = 1.3
# Left for the last copies and for copies that take longer.
MARGIN_SECONDS = 0.25


class CopyPace:
    """Tell whether the time of a notice allows a copy to a far engine."""

    def __init__(self) -> None:
        self._token_seconds = TOKEN_SECONDS

    def copied(self, tokens: int, seconds: float, *, far: bool) -> None:
        """Learn from one copy."""
        if tokens <= 0:
            return
        distance = FAR_RATIO if far else 1
        shown = seconds / tokens / distance
        self._token_seconds += COPY_WEIGHT * (shown - self._token_seconds)

    def may_go_far(
        self,
        run: EngineRun,
        waiting: Sequence[EngineRun],
        left_seconds: float | None,
    ) -> bool:
        """Tell whether a far copy leaves time for near copies of the rest."""
        left = DEFAULT_NOTICE_SECONDS if left_seconds is None else left_seconds
        tokens = sum(one.memory_tokens for one in waiting)
        tokens += int(run.memory_tokens * (FAR_RATIO - 1))
        return tokens * self._token_seconds + MARGIN_SECONDS < left
