"""Memory that each work class needs, over the last seconds."""

import time
from collections.abc import Iterable

from wasabistream.jobs import GenerationJob

CLASS_RANKS = {'urgent': 0, 'normal': 1, 'patient': 2}
RISE_SECONDS = 1.0
# Demand is forgotten more slowly than it is learned.
FALL_SECONDS = 6.0
# Room for bursts above the average demand.
BURST_RATIO = 0.6


class ClassMemoryMeter:
    """Average the memory that the jobs of each class hold.

    Lower classes leave that much free: an urgent job that finds the memory
    full of drafts would wait or preempt one of them.
    """

    def __init__(self) -> None:
        self._tokens = dict.fromkeys(CLASS_RANKS, 0.0)
        self._seen_seconds = time.monotonic()

    def observe(self, running: Iterable[GenerationJob]) -> None:
        """Take the jobs that are there now into the averages."""
        now = time.monotonic()
        elapsed_seconds = now - self._seen_seconds
        self._seen_seconds = now
        current = dict.fromkeys(CLASS_RANKS, 0.0)
        for job in running:
            current[job.request.work_class] += job.memory_tokens
        for name, tokens in current.items():
            change = tokens - self._tokens[name]
            span_seconds = RISE_SECONDS if change > 0 else FALL_SECONDS
            self._tokens[name] += change * min(
                elapsed_seconds / span_seconds, 1
            )

    def above(self, work_class: str) -> float:
        """Return the memory to leave free for more urgent classes."""
        rank = CLASS_RANKS[work_class]
        return BURST_RATIO * sum(
            tokens
            for name, tokens in self._tokens.items()
            if CLASS_RANKS[name] < rank
        )
