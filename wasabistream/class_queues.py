"""Queues of the work classes, and the order in which they are served."""

from collections.abc import Iterator

from wasabistream.fair_shares import FairQueue, FairShares
from wasabistream.jobs import GenerationJob

CLASS_ORDER = ('urgent', 'normal', 'patient')
# Wait of its oldest job after which a class gets its guaranteed share.
GUARANTEE_WAIT_SECONDS = {'urgent': 0.0, 'normal': 2.0, 'patient': 5.0}
# Least share of the started work, in tokens, that a class gets while its oldest job has
# waited that long, so that `patient` jobs finish under a sustained overload of
# urgent work.
GUARANTEED_SHARE = {'urgent': 0.0, 'normal': 0.2, 'patient': 0.2}
# The counts of recent work are halved when they exceed this sum.
MAX_RECENT_TOKENS = 4000.0


class ClassQueues:
    """Choose the next job by priority, with a minimum share for each class."""

    def __init__(self) -> None:
        self.fair_shares = FairShares()
        self._queues = {
            name: FairQueue(self.fair_shares) for name in CLASS_ORDER
        }
        self._recent_tokens = dict.fromkeys(CLASS_ORDER, 0.0)

    def __iter__(self) -> Iterator[GenerationJob]:
        for queue in self._queues.values():
            yield from queue

    @property
    def count(self) -> int:
        """Return the number of queued jobs."""
        return sum(queue.count for queue in self._queues.values())

    def has_class(self, work_class: str) -> bool:
        """Return whether a work class exists."""
        return work_class in self._queues

    def add(self, job: GenerationJob) -> None:
        """Queue a job in its work class."""
        self._queues[job.request.work_class].add(job)

    def remove(self, job: GenerationJob) -> bool:
        """Remove a job; return whether it was queued."""
        return self._queues[job.request.work_class].remove(job)

    def start(self, job: GenerationJob) -> None:
        """Dequeue a job that starts; charge its organisation and class for it."""
        self.remove(job)
        work_class = job.request.work_class
        self.fair_shares.charge(job, job.expected_tokens)
        self._recent_tokens[work_class] += job.expected_tokens
        if sum(self._recent_tokens.values()) > MAX_RECENT_TOKENS:
            for name in CLASS_ORDER:
                self._recent_tokens[name] /= 2

    def head(self, now: float) -> tuple[GenerationJob | None, bool]:
        """Return the next job, and whether it starts by a guaranteed share."""
        for name in reversed(CLASS_ORDER):
            oldest_job = self._queues[name].oldest_job()
            if oldest_job is None:
                continue
            waited_seconds = now - oldest_job.queued_monotonic_seconds
            if waited_seconds > GUARANTEE_WAIT_SECONDS[
                name
            ] and self._is_below_guarantee(name):
                return oldest_job, True
        for name in CLASS_ORDER:
            head = self._queues[name].head()
            if head is not None:
                return head, False
        return None, False

    def queued_tokens_before(self, job: GenerationJob) -> float:
        """Return the expected tokens of jobs that run before a new one."""
        queued_tokens = 0.0
        for name in CLASS_ORDER:
            queue = self._queues[name]
            if name == job.request.work_class:
                return queued_tokens + queue.queued_tokens_before(job)
            queued_tokens += queue.tokens
        return queued_tokens

    def _is_below_guarantee(self, work_class: str) -> bool:
        total = sum(self._recent_tokens.values())
        return (
            self._recent_tokens[work_class]
            < GUARANTEED_SHARE[work_class] * total
        )
