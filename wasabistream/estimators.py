"""Estimator of output lengths, from finished generations."""

import threading
from collections import OrderedDict
from collections.abc import Sequence

from wasabistream.length_histograms import LengthHistogram

DEFAULT_OUTPUT_TOKENS = 128.0
MAX_KEY_COUNT = 4096
# Weight of the estimate of the more general level, in observations.
PRIOR_WEIGHT = 2.0

LengthKey = tuple[str, str, str]


class LengthEstimator:
    """Learn output lengths by organisation, model and work class.

    An estimate for a key with few observations is smoothed towards that of its
    model and class, then of all observations, then a heavy-tailed prior.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._histograms: OrderedDict[tuple[str, ...], LengthHistogram] = (
            OrderedDict()
        )

    def observe(self, key: LengthKey, output_tokens: int) -> None:
        """Record the output length of a finished generation."""
        with self._lock:
            for level in _levels_specific_first(key):
                histogram = (
                    self._histograms.pop(level, None) or LengthHistogram()
                )
                self._histograms[level] = histogram
                histogram.add(output_tokens)
            while len(self._histograms) > MAX_KEY_COUNT:
                self._histograms.popitem(last=False)

    def expected_tokens(self, key: LengthKey, generated_tokens: int) -> float:
        """Return how many more tokens to expect after `generated_tokens`."""
        # Prior: with a Pareto tail of index 2, the expected final length is
        # twice the present one.
        expected_total_tokens = max(
            DEFAULT_OUTPUT_TOKENS, 2.0 * generated_tokens
        )
        with self._lock:
            for level in _levels_general_first(key):
                histogram = self._histograms.get(level)
                if histogram is not None:
                    weight, total = histogram.tail(generated_tokens)
                    expected_total_tokens = (
                        total + PRIOR_WEIGHT * expected_total_tokens
                    ) / (weight + PRIOR_WEIGHT)
        return max(expected_total_tokens - generated_tokens, 1.0)

    def survival_probabilities(
        self, key: LengthKey, generated_tokens: int, horizons: Sequence[int]
    ) -> list[float]:
        """Return for each horizon the probability of that many more tokens."""
        start = max(generated_tokens, 1)
        scale = DEFAULT_OUTPUT_TOKENS + start
        # Prior: a Pareto tail of index 2, whose expected growth is the scale.
        probabilities = [
            (scale / (scale + horizon)) ** 2 for horizon in horizons
        ]
        with self._lock:
            for level in _levels_general_first(key):
                histogram = self._histograms.get(level)
                if histogram is None:
                    continue
                weight, _ = histogram.tail(start)
                probabilities = [
                    (
                        histogram.tail(start + horizon)[0]
                        + PRIOR_WEIGHT * probability
                    )
                    / (weight + PRIOR_WEIGHT)
                    for horizon, probability in zip(horizons, probabilities)
                ]
        return probabilities


def _levels_specific_first(key: LengthKey) -> list[tuple[str, ...]]:
    return [key, key[1:], ()]


def _levels_general_first(key: LengthKey) -> list[tuple[str, ...]]:
    return [(), key[1:], key]
