"""Admission policies of the gate, by engine memory."""

import math
import time
from collections.abc import Sequence
from typing import Protocol

from wasabistream.class_memory import CLASS_RANKS
from wasabistream.estimators import LengthEstimator
from wasabistream.jobs import GenerationJob

# Numbers of further tokens at which the total memory is projected.
HORIZONS_TOKENS = (4, 8, 16, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192)

MIN_HORIZON_COUNT = 2
PREEMPTING_CLASS = 'urgent'
PREEMPTIBLE_CLASS = 'patient'
# Wait of an urgent job after which it may start although the engine has to
# preempt a `patient` job for it.
PREEMPTION_WAIT_SECONDS = 0.3


class AdmissionPolicy(Protocol):
    """Decide whether a queued job may start now."""

    estimator: LengthEstimator

    def admits(
        self,
        job: GenerationJob,
        running: Sequence[GenerationJob],
        reserved_tokens: float = 0,
    ) -> bool:
        """Return whether the engine has memory for the job."""


class GrowthPolicy:
    """Admit a job if the projected peak of total memory stays in the limit.

    Adding up the peaks of single jobs would leave memory idle, because jobs
    reach their peaks at different times.
    """

    def __init__(
        self,
        capacity_tokens: int,
        headroom_ratio: float,
        deviation_count: float = 0.5,
    ) -> None:
        self.limit_tokens = capacity_tokens * headroom_ratio
        # Margin above the expected memory, in its standard deviations.
        self.deviation_count = deviation_count
        # Memory is projected up to the horizon that the new job reaches
        # with at least this probability.
        self.min_survival_probability = 0.25
        self.estimator = LengthEstimator()

    def admits(
        self,
        job: GenerationJob,
        running: Sequence[GenerationJob],
        reserved_tokens: float = 0,
    ) -> bool:
        """Return whether the engine has memory for the job."""
        if not running:
            return True
        if self._may_preempt(job, running):
            return True
        used_tokens = sum(running_job.memory_tokens for running_job in running)
        if used_tokens + job.memory_tokens > self.limit_tokens:
            return False
        horizons = self._select_horizons(job)
        rank = CLASS_RANKS[job.request.work_class]
        above: list[GenerationJob] = []
        not_above = [job]
        for running_job in running:
            is_above = CLASS_RANKS[running_job.request.work_class] < rank
            (above if is_above else not_above).append(running_job)
        peak_tokens = max(
            max(above_tokens, reserved_tokens) + not_above_tokens
            for above_tokens, not_above_tokens in zip(
                self.project_memory_tokens(above, horizons),
                self.project_memory_tokens(not_above, horizons),
            )
        )
        return peak_tokens <= self.limit_tokens

    def project_memory_tokens(
        self, jobs: Sequence[GenerationJob], horizons: Sequence[int]
    ) -> list[float]:
        """Return expected memory plus margin, in tokens, at each horizon."""
        means = [0.0 for _ in horizons]
        variances = list(means)
        for job in jobs:
            self._add_projection(job, horizons, means, variances)
        return [
            mean + self.deviation_count * math.sqrt(variance)
            for mean, variance in zip(means, variances)
        ]

    def _may_preempt(
        self, job: GenerationJob, running: Sequence[GenerationJob]
    ) -> bool:
        # A caller waits for each token of an urgent answer. So an urgent job
        # that has waited may start when it fits without the `patient` jobs,
        # which the engine preempts by priority.
        waited_seconds = time.monotonic() - job.queued_monotonic_seconds
        if job.request.work_class != PREEMPTING_CLASS:
            return False
        if waited_seconds < PREEMPTION_WAIT_SECONDS:
            return False
        not_preemptible = [
            running_job
            for running_job in running
            if running_job.request.work_class != PREEMPTIBLE_CLASS
        ]
        if len(not_preemptible) == len(running):
            return False
        peak_tokens = max(
            self.project_memory_tokens(
                [*not_preemptible, job], self._select_horizons(job)
            )
        )
        return peak_tokens <= self.limit_tokens

    def _select_horizons(self, job: GenerationJob) -> Sequence[int]:
        # Only the horizons that the new job is likely to reach count: beyond
        # its end, refusing it frees no memory for the running jobs.
        probabilities = self.estimator.survival_probabilities(
            job.length_key, job.generated_count, HORIZONS_TOKENS
        )
        count = sum(
            probability >= self.min_survival_probability
            for probability in probabilities
        )
        return HORIZONS_TOKENS[: max(count, MIN_HORIZON_COUNT)]

    def _add_projection(
        self,
        job: GenerationJob,
        horizons: Sequence[int],
        means: list[float],
        variances: list[float],
    ) -> None:
        generated = job.generated_count
        probabilities = self.estimator.survival_probabilities(
            job.length_key, generated, horizons
        )
        remaining_tokens = job.request.max_tokens - generated
        for number, horizon in enumerate(horizons):
            if horizon > remaining_tokens:
                return
            tokens = job.memory_tokens + horizon
            probability = probabilities[number]
            means[number] += probability * tokens
            variances[number] += (
                probability * (1 - probability) * tokens * tokens
            )


class OpenPolicy:
    """Admit every job; the baseline without admission control."""

    def __init__(self) -> None:
        self.estimator = LengthEstimator()

    def admits(
        self,
        job: GenerationJob,
        running: Sequence[GenerationJob],
        reserved_tokens: float = 0,
    ) -> bool:
        """Return True."""
        return True
