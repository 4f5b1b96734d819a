"""Moving average of the engine memory that each work class uses."""

import time
from collections.abc import Iterable

from wasabistream.jobs import GenerationJob

CLASS_RANKS = {'urgent': 0, 'normal': 1, 'patient': 2}
# Time constant of the averages while usage rises.
RISE_SECONDS = 1.0
# Time constant while usage falls; longer, so that the averages fall more
# slowly than they rise.
FALL_SECONDS = 6.0
# Part of the average memory of more urgent classes that is reserved for their
# bursts, whether their running jobs hold it or not.
RESERVED_RATIO = 0.6


class ClassMemoryMeter:
    """Average the memory that the running jobs of each class hold.

    A job is admitted as if all more urgent classes together held at least
    RESERVED_RATIO of their averages: an urgent job that finds the memory full
    of `patient` jobs would wait or preempt one of them.
    """

    def __init__(self) -> None:
        self._tokens = dict.fromkeys(CLASS_RANKS, 0.0)
        self._observed_monotonic_seconds = time.monotonic()

    def observe(self, running: Iterable[GenerationJob]) -> None:
        """Update the averages with the jobs that run now."""
        now = time.monotonic()
        elapsed_seconds = now - self._observed_monotonic_seconds
        self._observed_monotonic_seconds = now
        current_tokens = dict.fromkeys(CLASS_RANKS, 0.0)
        for job in running:
            current_tokens[job.request.work_class] += job.memory_tokens
        for name, tokens in current_tokens.items():
            change = tokens - self._tokens[name]
            time_constant_seconds = RISE_SECONDS if change > 0 else FALL_SECONDS
            self._tokens[name] += change * min(
                elapsed_seconds / time_constant_seconds, 1
            )

    def above(self, work_class: str) -> float:
        """Return the tokens of memory reserved for classes above the given one."""
        rank = CLASS_RANKS[work_class]
        return RESERVED_RATIO * sum(
            tokens
            for name, tokens in self._tokens.items()
            if CLASS_RANKS[name] < rank
        )
