"""Admission control in front of an engine."""

import logging
import threading
import time
from collections.abc import Callable

from wasabistream.admissions import AdmissionPolicy
from wasabistream.batch_limits import BatchLimit
from wasabistream.class_memory import ClassMemoryMeter
from wasabistream.class_queues import ClassQueues
from wasabistream.exceptions import AttemptError
from wasabistream.jobs import GenerationJob
from wasabistream.metrics import GATE_QUEUED, GATE_RUNNING
from wasabistream.outcomes import Outcome
from wasabistream.ramps import Ramp
from wasabistream.start_rates import StartRate
from wasabistream.token_gaps import TokenGapMeter

logger = logging.getLogger(__name__)

MAX_QUEUED_COUNT = 512
# Interval at which queued jobs are checked again: the memory of running jobs
# grows and deadlines pass without any event.
POLL_SECONDS = 0.05
# A suspect is a job whose request ran when an engine crashed and may have caused
# the crash. Each suspect runs alone, also the many that are harmless. After one,
# queued jobs get the engine for as long as the suspect generated tokens, but at
# most this long.
MAX_SUSPECT_PAUSE_SECONDS = 1.0
MIN_RETRY_AFTER_SECONDS = 1.0


class Gate:
    """Queue jobs and start them when the engine has capacity for them.

    Each change of a job's state (queued, running, removed) happens under one
    lock, so that a job that was removed from the queue can never start.
    """

    def __init__(
        self,
        policy: AdmissionPolicy,
        ramp: Ramp,
        batch_limit: BatchLimit,
        token_gaps: TokenGapMeter,
        start_job: Callable[[GenerationJob], None],
    ) -> None:
        self.policy = policy
        self.ramp = ramp
        self.batch_limit = batch_limit
        self.token_gaps = token_gaps
        self._start_job = start_job
        self._start_rate = StartRate()
        self._condition = threading.Condition()
        self._queues = ClassQueues()
        self._class_memory = ClassMemoryMeter()
        self._suspects: list[GenerationJob] = []
        self._running: dict[str, GenerationJob] = {}
        self._suspects_paused_until_monotonic_seconds = 0.0
        self._stopped = False
        # While set, no job starts and new jobs are refused for this reason.
        self.closed_reason = ''

    @property
    def running_count(self) -> int:
        """Return how many jobs run in the engine."""
        return len(self._running)

    @property
    def queued_count(self) -> int:
        """Return how many jobs wait, suspects included."""
        return self._queues.count + len(self._suspects)

    @property
    def limit_count(self) -> int:
        """Return how many jobs may run at once."""
        return min(self.ramp.limit_count, self.batch_limit.limit_count)

    @property
    def effective_limit_count(self) -> int:
        """Return how many jobs the engine can run now, for load reports.

        While jobs are queued, or the engine takes no further start yet, the
        limit is at most the number of jobs that run.
        """
        if self.queued_count or self._start_rate.wait_seconds():
            return min(self.limit_count, max(self.running_count, 1))
        return self.limit_count

    def running_jobs(self) -> list[GenerationJob]:
        """Return a copy of the list of running jobs."""
        with self._condition:
            return list(self._running.values())

    def memory_used_tokens(self) -> int:
        """Return the tokens of engine memory that running jobs hold."""
        return sum(job.memory_tokens for job in self.running_jobs())

    def limit_starts(self, max_per_second: float | None) -> None:
        """Set the most jobs that the engine takes in a second, if any."""
        with self._condition:
            self._start_rate.set_limit(max_per_second)
            self._condition.notify_all()

    def start(self) -> None:
        """Start the admission thread."""
        threading.Thread(target=self._run, name='gate', daemon=True).start()

    def stop(self) -> None:
        """Stop the admission thread."""
        with self._condition:
            self._stopped = True
            self._condition.notify_all()

    def submit(self, job: GenerationJob) -> None:
        """Queue a job; raises AttemptError (not_run) if it is refused."""
        with self._condition:
            if self.closed_reason:
                raise _build_refusal(
                    self.closed_reason, MIN_RETRY_AFTER_SECONDS
                )
            if not self._queues.has_class(job.request.work_class):
                # Without a retry time, because a retry would be refused too.
                raise _build_refusal('unknown_class', 0)
            if self.queued_count >= MAX_QUEUED_COUNT:
                raise _build_refusal('queue_full', MIN_RETRY_AFTER_SECONDS)
            job.expected_tokens = self.policy.estimator.expected_tokens(
                job.length_key, 0
            )
            self._check_wait(job)
            if job.suspect:
                self._suspects.append(job)
            else:
                self._queues.add(job)
            self._condition.notify_all()

    def estimate_wait_seconds(self, job: GenerationJob) -> float:
        """Estimate how long a new job would wait in the queue."""
        start_wait_seconds = self._start_rate.wait_seconds(self.queued_count)
        queued_tokens = self._queues.queued_tokens_before(job)
        if not queued_tokens:
            return start_wait_seconds
        # While jobs are queued, the engine runs as many as it can hold.
        tokens_per_second = (
            max(self.running_count, 1)
            / self.token_gaps.mean_gap_or_default_seconds
        )
        return max(queued_tokens / tokens_per_second, start_wait_seconds)

    def drop(self, job: GenerationJob) -> bool:
        """Remove a job from the queue; return whether it was queued."""
        with self._condition:
            return self._drop(job)

    def release(self, job: GenerationJob) -> None:
        """Free the slot of a job that has left the engine."""
        with self._condition:
            if self._running.pop(job.stream_id, None) is None:
                return
            if job.suspect:
                self._pause_suspects(job)
            self._queues.fair_shares.adjust(
                job, job.generated_count - job.expected_tokens
            )
            self._condition.notify_all()

    def close(self, reason: str) -> list[GenerationJob]:
        """Stop starting jobs; remove and return the queued jobs."""
        with self._condition:
            self.closed_reason = reason
            return self.remove_queued()

    def remove_queued(self) -> list[GenerationJob]:
        """Remove and return all queued jobs."""
        with self._condition:
            waiting = [*self._queues, *self._suspects]
            for job in waiting:
                self._drop(job)
            return waiting

    def reopen(self) -> None:
        """Accept and start jobs again after `close`."""
        with self._condition:
            self.closed_reason = ''
            self._condition.notify_all()

    def _check_wait(self, job: GenerationJob) -> None:
        remaining_seconds = job.deadline_monotonic_seconds - time.monotonic()
        wait_seconds = self.estimate_wait_seconds(job)
        if wait_seconds > remaining_seconds:
            raise _build_refusal(
                'overloaded',
                max(wait_seconds - remaining_seconds, MIN_RETRY_AFTER_SECONDS),
            )

    def _drop(self, job: GenerationJob) -> bool:
        if job in self._suspects:
            self._suspects.remove(job)
            return True
        return self._queues.remove(job)

    def _run(self) -> None:
        while True:
            with self._condition:
                if self._stopped:
                    return
                expired = self._pop_expired()
                job = self._pop_admitted()
                if job is None and not expired:
                    self._condition.wait(POLL_SECONDS)
                GATE_QUEUED.set(self.queued_count)
                GATE_RUNNING.set(self.running_count)
            for expired_job in expired:
                expired_job.refuse('deadline')
            if job is not None:
                self._start_job(job)

    def _pop_expired(self) -> list[GenerationJob]:
        now = time.monotonic()
        expired = [
            job
            for job in (*self._queues, *self._suspects)
            if job.deadline_monotonic_seconds <= now
        ]
        for job in expired:
            self._drop(job)
        return expired

    def _pop_admitted(self) -> GenerationJob | None:
        if self.closed_reason or self.running_count >= self.limit_count:
            return None
        if self._start_rate.wait_seconds():
            return None
        running = list(self._running.values())
        if any(job.suspect for job in running):
            return None
        now = time.monotonic()
        if (
            self._suspects
            and now >= self._suspects_paused_until_monotonic_seconds
        ):
            # A suspect runs alone, so the engine must be empty first.
            return None if running else self._pop_suspect()
        self._class_memory.observe(running)
        job, starts_by_guaranteed_share = self._queues.head(now)
        if job is None:
            return None
        # The memory reserve for more urgent classes does not apply to a job
        # that is next because its class has got less than its guaranteed share
        # of the recent work.
        reserved_tokens = (
            0
            if starts_by_guaranteed_share
            else self._class_memory.above(job.request.work_class)
        )
        if not self.policy.admits(job, running, reserved_tokens):
            return None
        self._queues.start(job)
        self._add_running(job)
        return job

    def _add_running(self, job: GenerationJob) -> None:
        self._running[job.stream_id] = job
        self._start_rate.add_start()

    def _pause_suspects(self, job: GenerationJob) -> None:
        generation_seconds = (
            job.last_token_monotonic_seconds - job.first_token_monotonic_seconds
        )
        # There is no pause if no other job is queued.
        waiting = self._queues.count > 0
        self._suspects_paused_until_monotonic_seconds = (
            time.monotonic()
            + waiting
            * min(max(generation_seconds, 0), MAX_SUSPECT_PAUSE_SECONDS)
        )

    def _pop_suspect(self) -> GenerationJob:
        job = self._suspects.pop(0)
        self._queues.fair_shares.charge(job, job.expected_tokens)
        self._add_running(job)
        return job


def _build_refusal(reason: str, retry_after_seconds: float) -> AttemptError:
    return AttemptError(
        reason, Outcome.not_run, retry_after_seconds=retry_after_seconds
    )
