"""Queues of the work classes and the order between them."""

from collections.abc import Iterator

from wasabistream.fair_shares import FairQueue, FairShares
from wasabistream.jobs import GenerationJob

CLASS_ORDER = ('urgent', 'normal', 'patient')
# Wait after which a class may claim its guaranteed part of the engine.
AGED_SECONDS = {'urgent': 0.0, 'normal': 2.0, 'patient': 5.0}
# Part of the admitted work that aged jobs of a class get at least, so that
# drafts finish under a sustained overload of urgent work.
GUARANTEED_SHARE = {'urgent': 0.0, 'normal': 0.2, 'patient': 0.2}
# Recent work is halved at this number of tokens.
RECENT_TOKENS = 4000.0


class ClassQueues:
    """Choose the next job: urgent first, but no class starves."""

    def __init__(self) -> None:
        self.ledger = FairShares()
        self._queues = {name: FairQueue(self.ledger) for name in CLASS_ORDER}
        self._recent = dict.fromkeys(CLASS_ORDER, 0.0)

    def __iter__(self) -> Iterator[GenerationJob]:
        for queue in self._queues.values():
            yield from queue

    @property
    def count(self) -> int:
        """Return how many jobs wait."""
        return sum(queue.count for queue in self._queues.values())

    def knows(self, work_class: str) -> bool:
        """Tell whether a class exists."""
        return work_class in self._queues

    def add(self, job: GenerationJob) -> None:
        """Queue a job."""
        self._queues[job.request.work_class].add(job)

    def remove(self, job: GenerationJob) -> bool:
        """Remove a job; tell whether it was queued."""
        return self._queues[job.request.work_class].remove(job)

    def start(self, job: GenerationJob) -> None:
        """Take a job out to run it and charge its organisation."""
        self.remove(job)
        work_class = job.request.work_class
        self.ledger.charge(job, job.expected_tokens)
        self._recent[work_class] += job.expected_tokens
        if sum(self._recent.values()) > RECENT_TOKENS:
            for name in CLASS_ORDER:
                self._recent[name] /= 2

    def head(self, now: float) -> tuple[GenerationJob | None, bool]:
        """Return the job that is to start next and if its class is owed."""
        for name in reversed(CLASS_ORDER):
            oldest = self._queues[name].oldest()
            if oldest is None:
                continue
            waited_seconds = now - oldest.queued_monotonic_seconds
            if waited_seconds > AGED_SECONDS[name] and self._owed(name):
                return oldest, True
        for name in CLASS_ORDER:
            head = self._queues[name].head()
            if head is not None:
                return head, False
        return None, False

    def tokens_ahead(self, job: GenerationJob) -> float:
        """Return the expected work that a new job would wait for."""
        ahead = 0.0
        for name in CLASS_ORDER:
            queue = self._queues[name]
            if name == job.request.work_class:
                return ahead + queue.tokens_ahead(job)
            ahead += queue.tokens
        return ahead

    def _owed(self, work_class: str) -> bool:
        total = sum(self._recent.values())
        return self._recent[work_class] < GUARANTEED_SHARE[work_class] * total
