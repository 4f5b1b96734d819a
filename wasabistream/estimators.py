"""Estimate of output lengths from finished generations."""

import threading
from collections import OrderedDict
from collections.abc import Sequence

from wasabistream.length_histograms import LengthHistogram

DEFAULT_OUTPUT_TOKENS = 128.0
MAX_KEY_COUNT = 4096
# Weight of the more general level in the estimate of a specific one.
PRIOR_WEIGHT = 2.0

LengthKey = tuple[str, str, str]


class LengthEstimator:
    """Learn outputs by organisation, model and work class.

    A key with few observations leans on its model and class, then on all
    observations, then on a fixed heavy-tailed prior.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: OrderedDict[tuple[str, ...], LengthHistogram] = (
            OrderedDict()
        )

    def observe(self, key: LengthKey, output_tokens: int) -> None:
        """Learn from a finished generation."""
        with self._lock:
            for level in _levels(key):
                counts = self._counts.pop(level, None) or LengthHistogram()
                self._counts[level] = counts
                counts.add(output_tokens)
            while len(self._counts) > MAX_KEY_COUNT:
                self._counts.popitem(last=False)

    def expected_tokens(self, key: LengthKey, generated_tokens: int) -> float:
        """Return the expected growth after `generated_tokens`."""
        # A Pareto tail of index 2 doubles in the mean what is there already.
        expected = max(DEFAULT_OUTPUT_TOKENS, 2.0 * generated_tokens)
        with self._lock:
            for level in _general_first(key):
                counts = self._counts.get(level)
                if counts is not None:
                    weight, total = counts.tail(generated_tokens)
                    expected = (total + PRIOR_WEIGHT * expected) / (
                        weight + PRIOR_WEIGHT
                    )
        return max(expected - generated_tokens, 1.0)

    def survival(
        self, key: LengthKey, generated_tokens: int, horizons: Sequence[int]
    ) -> list[float]:
        """Return the probability that an output goes on beyond horizons."""
        start = max(generated_tokens, 1)
        scale = DEFAULT_OUTPUT_TOKENS + start
        # Pareto tail of index 2, whose mean growth is the scale.
        chances = [(scale / (scale + horizon)) ** 2 for horizon in horizons]
        with self._lock:
            for level in _general_first(key):
                counts = self._counts.get(level)
                if counts is None:
                    continue
                weight, _ = counts.tail(start)
                chances = [
                    (counts.tail(start + horizon)[0] + PRIOR_WEIGHT * chance)
                    / (weight + PRIOR_WEIGHT)
                    for horizon, chance in zip(horizons, chances)
                ]
        return chances


def _levels(key: LengthKey) -> list[tuple[str, ...]]:
    return [key, key[1:], ()]


def _general_first(key: LengthKey) -> list[tuple[str, ...]]:
    return [(), key[1:], key]
