"""Gate in front of an engine."""

import logging
import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

from wasabistream.estimators import LengthEstimator
from wasabistream.exceptions import RefusedError
from wasabistream.jobs import GenerationJob
from wasabistream.metrics import GATE_QUEUED, GATE_RUNNING
from wasabistream.outcomes import Outcome

logger = logging.getLogger(__name__)

CLASS_ORDER = ('urgent', 'normal', 'patient')
MAX_QUEUED_COUNT = 512
POLL_SECONDS = 0.1
# Ids that were withdrawn; a late copy of one of them is refused.
MAX_WITHDRAWN_COUNT = 10000


class AdmissionPolicy(Protocol):
    """Decide whether a job may start now."""

    def admits(self, job: GenerationJob, running: list[GenerationJob]) -> bool:
        """Tell whether the engine has room for the job."""


class GrowthPolicy:
    """Admit by memory in use plus expected growth."""

    def __init__(self, capacity_tokens: int, headroom_ratio: float) -> None:
        self.limit_tokens = capacity_tokens * headroom_ratio
        self.estimator = LengthEstimator()

    def admits(self, job: GenerationJob, running: list[GenerationJob]) -> bool:
        """Tell whether the engine has room for the job."""
        if not running:
            return True
        needed_tokens = sum(self._needed_tokens(item) for item in running)
        return needed_tokens + self._needed_tokens(job) <= self.limit_tokens

    def _needed_tokens(self, job: GenerationJob) -> float:
        request = job.request
        key = (request.organisation, request.model, request.work_class)
        growth_tokens = min(
            self.estimator.expected_tokens(key, job.generated_count),
            request.max_tokens - job.generated_count,
        )
        return request.prompt_tokens + job.generated_count + growth_tokens


class OpenPolicy:
    """Admit everything; the baseline without a gate."""

    def admits(self, job: GenerationJob, running: list[GenerationJob]) -> bool:
        """Admit the job."""
        return True


class Gate:
    """Queue jobs and start them when the policy admits them."""

    def __init__(
        self,
        policy: AdmissionPolicy,
        start_job: Callable[[GenerationJob], None],
    ) -> None:
        self._policy = policy
        self._start_job = start_job
        self._condition = threading.Condition()
        self._queued: dict[str, OrderedDict[str, GenerationJob]] = {
            name: OrderedDict() for name in CLASS_ORDER
        }
        self._running: dict[str, GenerationJob] = {}
        self._withdrawn: OrderedDict[str, None] = OrderedDict()
        self._stopped = False
        self.closed_reason = ''

    @property
    def running_count(self) -> int:
        """Return how many jobs run."""
        return len(self._running)

    @property
    def queued_count(self) -> int:
        """Return how many jobs wait."""
        return sum(len(queue) for queue in self._queued.values())

    def running_jobs(self) -> list[GenerationJob]:
        """Return the jobs that run."""
        with self._condition:
            return list(self._running.values())

    def memory_used_tokens(self) -> int:
        """Return the tokens that running jobs hold."""
        return sum(
            job.request.prompt_tokens + job.generated_count
            for job in self.running_jobs()
        )

    def start(self) -> None:
        """Start the admission thread."""
        threading.Thread(target=self._run, name='gate', daemon=True).start()

    def stop(self) -> None:
        """Stop the admission thread."""
        with self._condition:
            self._stopped = True
            self._condition.notify_all()

    def submit(self, job: GenerationJob) -> None:
        """Queue a job; raises RefusedError, always with not_run."""
        request_id = job.request.request_id
        with self._condition:
            if self.closed_reason:
                raise RefusedError(self.closed_reason, Outcome.not_run)
            if self._withdrawn.pop(request_id, self) is None:
                raise RefusedError('withdrawn', Outcome.not_run)
            if self.queued_count >= MAX_QUEUED_COUNT:
                raise RefusedError(
                    'queue_full', Outcome.not_run, retry_after_seconds=1
                )
            work_class = job.request.work_class
            if work_class not in self._queued:
                raise RefusedError('unknown_class', Outcome.not_run)
            self._queued[work_class][job.stream_id] = job
            self._condition.notify_all()

    def withdraw(self, request_id: str) -> GenerationJob | None:
        """Remove a queued job; refuse a copy that arrives later.

        Returns the job when it runs already.
        """
        with self._condition:
            for job in self._running.values():
                if job.request.request_id == request_id:
                    return job
            self._withdrawn[request_id] = None
            if len(self._withdrawn) > MAX_WITHDRAWN_COUNT:
                self._withdrawn.popitem(last=False)
            for queue in self._queued.values():
                for stream_id, queued in list(queue.items()):
                    if queued.request.request_id == request_id:
                        queue.pop(stream_id)
            return None

    def drop(self, job: GenerationJob) -> bool:
        """Remove a job from the queue; tell whether it was there."""
        with self._condition:
            queue = self._queued[job.request.work_class]
            return queue.pop(job.stream_id, None) is not None

    def release(self, job: GenerationJob) -> None:
        """Note that a job has left the engine."""
        with self._condition:
            self._running.pop(job.stream_id, None)
            self._condition.notify_all()

    def _run(self) -> None:
        while True:
            with self._condition:
                if self._stopped:
                    return
                refused = self._pop_expired()
                job = self._pop_admitted()
                if job is None and not refused:
                    self._condition.wait(POLL_SECONDS)
                GATE_QUEUED.set(self.queued_count)
                GATE_RUNNING.set(self.running_count)
            for expired in refused:
                expired.refuse('deadline')
            if job is not None:
                self._start_job(job)

    def _pop_expired(self) -> list[GenerationJob]:
        now = time.monotonic()
        expired = []
        for queue in self._queued.values():
            for stream_id, job in list(queue.items()):
                if job.deadline_monotonic_seconds <= now:
                    expired.append(queue.pop(stream_id))
        return expired

    def _pop_admitted(self) -> GenerationJob | None:
        running = list(self._running.values())
        for queue in self._queued.values():
            for stream_id, job in queue.items():
                if self._policy.admits(job, running):
                    queue.pop(stream_id)
                    job.admitted = True
                    self._running[stream_id] = job
                    return job
                # Jobs of one class start in order.
                break
        return None
