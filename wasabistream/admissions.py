"""Admission policies of the gate."""

import math
from collections.abc import Sequence
from typing import Protocol

from wasabistream.estimators import LengthEstimator
from wasabistream.jobs import GenerationJob

# Tokens ahead at which the sum of all memory is checked.
HORIZONS_TOKENS = (4, 8, 16, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192)


class AdmissionPolicy(Protocol):
    """Decide whether a job may start now."""

    estimator: LengthEstimator

    def admits(
        self, job: GenerationJob, running: Sequence[GenerationJob]
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
        deviation_count: float = 1.0,
    ) -> None:
        self.limit_tokens = capacity_tokens * headroom_ratio
        # Standard deviations of the sum that are kept free.
        self.deviation_count = deviation_count
        self.estimator = LengthEstimator()

    def admits(
        self, job: GenerationJob, running: Sequence[GenerationJob]
    ) -> bool:
        """Tell whether the engine has room for the job."""
        if not running:
            return True
        held_tokens = sum(item.memory_tokens for item in running)
        if held_tokens + job.memory_tokens > self.limit_tokens:
            return False
        return self.peak_tokens([*running, job]) <= self.limit_tokens

    def peak_tokens(self, jobs: Sequence[GenerationJob]) -> float:
        """Return the highest expected memory of jobs with its margin."""
        means = [0.0 for _ in HORIZONS_TOKENS]
        variances = list(means)
        for job in jobs:
            self._add_job(job, means, variances)
        return max(
            mean + self.deviation_count * math.sqrt(variance)
            for mean, variance in zip(means, variances)
        )

    def _add_job(
        self, job: GenerationJob, means: list[float], variances: list[float]
    ) -> None:
        generated = job.generated_count
        chances = self.estimator.survival(
            job.length_key, generated, HORIZONS_TOKENS
        )
        left_tokens = job.request.max_tokens - generated
        for number, horizon in enumerate(HORIZONS_TOKENS):
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
        self, job: GenerationJob, running: Sequence[GenerationJob]
    ) -> bool:
        """Admit the job."""
        return True
