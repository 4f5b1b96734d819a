"""Output lengths with a heavy tail."""

import random
from dataclasses import dataclass

MEAN_DRAW_COUNT = 20000


@dataclass(frozen=True)
class OutputLengthDistribution:
    """Draw lengths from a log-normal body with a Pareto tail."""

    median_tokens: float
    sigma: float = 0.6
    tail_share: float = 0.05
    tail_start_tokens: float = 100
    # Below 2 the variance of the tail is unbounded but for the maximum.
    tail_index: float = 1.5
    max_tokens: int = 600

    def draw(self, source: random.Random) -> int:
        """Return one output length."""
        if source.random() < self.tail_share:
            length = self.tail_start_tokens * source.paretovariate(
                self.tail_index
            )
        else:
            length = self.median_tokens * source.lognormvariate(0, self.sigma)
        return max(1, min(int(length), self.max_tokens))

    def mean_tokens(self) -> float:
        """Return the mean length, from draws with a fixed seed."""
        source = random.Random(1)
        draws = [self.draw(source) for _ in range(MEAN_DRAW_COUNT)]
        return sum(draws) / MEAN_DRAW_COUNT
