"""Random output lengths with a heavy tail."""

import random
from dataclasses import dataclass

DRAWS_FOR_MEAN_COUNT = 20000


@dataclass(frozen=True)
class OutputLengthDistribution:
    """Draw lengths from a log-normal body with a Pareto tail."""

    median_tokens: float
    sigma: float = 0.6
    tail_probability: float = 0.05
    tail_start_tokens: float = 100
    # Below 2 the Pareto variance is infinite; only `max_tokens` bounds it.
    tail_index: float = 1.5
    max_tokens: int = 600

    def draw(self, rng: random.Random) -> int:
        """Draw one output length in tokens."""
        if rng.random() < self.tail_probability:
            length_tokens = self.tail_start_tokens * rng.paretovariate(
                self.tail_index
            )
        else:
            length_tokens = self.median_tokens * rng.lognormvariate(
                0, self.sigma
            )
        return max(1, min(int(length_tokens), self.max_tokens))

    def mean_tokens(self) -> float:
        """Estimate the mean length from draws with a fixed seed."""
        rng = random.Random(1)
        lengths_tokens = [self.draw(rng) for _ in range(DRAWS_FOR_MEAN_COUNT)]
        return sum(lengths_tokens) / DRAWS_FOR_MEAN_COUNT
