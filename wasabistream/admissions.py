"""Admission policies of the gate."""

import math
import time
from collections.abc import Sequence
from typing import Protocol

from wasabistream.class_memory import CLASS_RANKS
from wasabistream.estimators import LengthEstimator
from wasabistream.jobs import GenerationJob

# Tokens ahead at which the sum of all memory is checked.
HORIZONS_TOKENS = (4, 8, 16, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192)

MIN_HORIZON_COUNT = 2
URGENT_CLASS = 'urgent'
PATIENT_CLASS = 'patient'
# Wait of an urgent job after which a draft may be preempted for it.
OVERTAKE_SECONDS = 0.3


class AdmissionPolicy(Protocol):
    """Decide whether a job may start now."""

    estimator: LengthEstimator

    def admits(
        self,
        job: GenerationJob,
        running: Sequence[GenerationJob],
        reserved_tokens: float = 0,
    ) -> bool:
        """Tell whether the engine has room for the job."""


class GrowthPolicy:
    """Admit by the expected peak of memory over time.

    The sum of the peaks of all jobs would leave memory idle, because jobs
    reach their peaks at different times.
    """

    def __init__(
        self,
        capacity_tokens: int,
        headroom_ratio: float,
        deviation_count: float = 0.5,
    ) -> None:
        self.limit_tokens = capacity_tokens * headroom_ratio
        # Standard deviations of the sum that are kept free.
        self.deviation_count = deviation_count
        # Chance of still running up to which a new job is planned for.
        self.least_alive = 0.25
        self.estimator = LengthEstimator()

    def admits(
        self,
        job: GenerationJob,
        running: Sequence[GenerationJob],
        reserved_tokens: float = 0,
    ) -> bool:
        """Tell whether the engine has room for the job."""
        if not running:
            return True
        if self._overtakes(job, running):
            return True
        held_tokens = sum(item.memory_tokens for item in running)
        if held_tokens + job.memory_tokens > self.limit_tokens:
            return False
        horizons = self._horizons(job)
        rank = CLASS_RANKS[job.request.work_class]
        above: list[GenerationJob] = []
        beside = [job]
        for item in running:
            higher = CLASS_RANKS[item.request.work_class] < rank
            (above if higher else beside).append(item)
        peak = max(
            max(upper, reserved_tokens) + lower
            for upper, lower in zip(
                self.memory_ahead(above, horizons),
                self.memory_ahead(beside, horizons),
            )
        )
        return peak <= self.limit_tokens

    def memory_ahead(
        self, jobs: Sequence[GenerationJob], horizons: Sequence[int]
    ) -> list[float]:
        """Return the expected memory of jobs with its margin over time."""
        means = [0.0 for _ in horizons]
        variances = list(means)
        for job in jobs:
            self._add_job(job, horizons, means, variances)
        return [
            mean + self.deviation_count * math.sqrt(variance)
            for mean, variance in zip(means, variances)
        ]

    def _overtakes(
        self, job: GenerationJob, running: Sequence[GenerationJob]
    ) -> bool:
        # A caller waits for each token of an urgent answer. After a short
        # wait it may cost a draft its place in the engine.
        waited_seconds = time.monotonic() - job.queued_monotonic_seconds
        if job.request.work_class != URGENT_CLASS:
            return False
        if waited_seconds < OVERTAKE_SECONDS:
            return False
        kept = [
            item for item in running if item.request.work_class != PATIENT_CLASS
        ]
        if len(kept) == len(running):
            return False
        peak = max(self.memory_ahead([*kept, job], self._horizons(job)))
        return peak <= self.limit_tokens

    def _horizons(self, job: GenerationJob) -> Sequence[int]:
        # Only the time in which the new job is there counts: a running job
        # that may grow for long is not helped by keeping new ones out now.
        chances = self.estimator.survival(
            job.length_key, job.generated_count, HORIZONS_TOKENS
        )
        count = sum(chance >= self.least_alive for chance in chances)
        return HORIZONS_TOKENS[: max(count, MIN_HORIZON_COUNT)]

    def _add_job(
        self,
        job: GenerationJob,
        horizons: Sequence[int],
        means: list[float],
        variances: list[float],
    ) -> None:
        generated = job.generated_count
        chances = self.estimator.survival(job.length_key, generated, horizons)
        left_tokens = job.request.max_tokens - generated
        for number, horizon in enumerate(horizons):
            if horizon > left_tokens:
                return
            tokens = job.memory_tokens + horizon
            chance = chances[number]
            means[number] += chance * tokens
            variances[number] += chance * (1 - chance) * tokens * tokens


class OpenPolicy:
    """Admit everything; the baseline without a gate."""

    def __init__(self) -> None:
        self.estimator = LengthEstimator()

    def admits(
        self,
        job: GenerationJob,
        running: Sequence[GenerationJob],
        reserved_tokens: float = 0,
    ) -> bool:
        """Admit the job."""
        return True
