"""Limits on the answers of backend servers."""

from dataclasses import dataclass

# Share of a process's memory for answers that are read whole.
TOTAL_MEMORY_RATIO = 0.2
# Most answers are a few kilobytes; four of the longest fit at the same time.
MAX_ANSWER_RATIO = 0.25


@dataclass(frozen=True, slots=True)
class AnswerLimits:
    """Limit the memory of answers that are read whole."""

    answer_bytes: int
    # Over all answers in progress.
    total_bytes: int


def build_answer_limits(memory_limit_bytes: int) -> AnswerLimits:
    """Return the limits for a process with this much memory."""
    total_bytes = int(memory_limit_bytes * TOTAL_MEMORY_RATIO)
    return AnswerLimits(int(total_bytes * MAX_ANSWER_RATIO), total_bytes)
