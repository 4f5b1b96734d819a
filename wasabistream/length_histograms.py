"""Histogram of output lengths with logarithmic buckets."""

import math
from bisect import bisect_right

# Four buckets for each doubling keep the error of a length below 10 %.
BUCKETS_PER_DOUBLING = 4
BUCKET_COUNT = 72
# All counts are halved at this total weight, so that old lengths count less.
MAX_WEIGHT = 400.0

BUCKET_EDGES_TOKENS = tuple(
    2 ** (number / BUCKETS_PER_DOUBLING) for number in range(BUCKET_COUNT)
)
BUCKET_MIDDLES_TOKENS = tuple(
    edge * math.sqrt(2 ** (1 / BUCKETS_PER_DOUBLING))
    for edge in BUCKET_EDGES_TOKENS
)


class LengthHistogram:
    """Count lengths with decay, and sum up the tail beyond a length."""

    def __init__(self) -> None:
        self._counts = [0.0 for _ in range(BUCKET_COUNT)]
        self._weight = 0.0
        # Weight and token sum of each bucket and all longer ones.
        self._tail_weights = [0.0 for _ in range(BUCKET_COUNT + 1)]
        self._tail_sums = list(self._tail_weights)
        self._changed = False

    def add(self, output_tokens: int) -> None:
        """Count the length of one output."""
        self._counts[_bucket(output_tokens)] += 1
        self._weight += 1
        if self._weight >= MAX_WEIGHT:
            self._counts = [count / 2 for count in self._counts]
            self._weight /= 2
        self._changed = True

    def tail(self, tokens: float) -> tuple[float, float]:
        """Return total weight and token sum of lengths above `tokens`."""
        if self._changed:
            self._rebuild()
        bucket = _bucket(tokens)
        # Lengths are assumed to be evenly spread on the logarithmic scale
        # within a bucket.
        position = math.log2(max(tokens, 1)) * BUCKETS_PER_DOUBLING - bucket
        bucket_weight = self._counts[bucket] * (1 - min(max(position, 0), 1))
        bucket_mean_tokens = max(BUCKET_MIDDLES_TOKENS[bucket], tokens)
        return (
            self._tail_weights[bucket + 1] + bucket_weight,
            self._tail_sums[bucket + 1] + bucket_weight * bucket_mean_tokens,
        )

    def _rebuild(self) -> None:
        self._changed = False
        weight = 0.0
        total = 0.0
        for bucket in range(BUCKET_COUNT - 1, -1, -1):
            count = self._counts[bucket]
            weight += count
            total += count * BUCKET_MIDDLES_TOKENS[bucket]
            self._tail_weights[bucket] = weight
            self._tail_sums[bucket] = total


def _bucket(tokens: float) -> int:
    return min(
        max(bisect_right(BUCKET_EDGES_TOKENS, tokens) - 1, 0), BUCKET_COUNT - 1
    )
