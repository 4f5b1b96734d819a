"""Estimate of output lengths from finished generations."""

import threading
from collections import OrderedDict

DEFAULT_OUTPUT_TOKENS = 256.0
# Weight of a new observation in the running mean.
LEARNING_RATE = 0.05
MAX_KEY_COUNT = 4096

LengthKey = tuple[str, str, str]


class LengthEstimator:
    """Learn the expected output of organisation, model and work class."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._means: OrderedDict[LengthKey, float] = OrderedDict()

    def observe(self, key: LengthKey, output_tokens: int) -> None:
        """Learn from a finished generation."""
        with self._lock:
            mean = self._means.pop(key, DEFAULT_OUTPUT_TOKENS)
            self._means[key] = mean + LEARNING_RATE * (output_tokens - mean)
            if len(self._means) > MAX_KEY_COUNT:
                self._means.popitem(last=False)

    def expected_tokens(self, key: LengthKey, generated_tokens: int) -> float:
        """Return the expected growth after `generated_tokens`."""
        with self._lock:
            mean = self._means.get(key, DEFAULT_OUTPUT_TOKENS)
        if generated_tokens < mean:
            return mean - generated_tokens
        # Lengths are heavy-tailed: a long output is likely to go on.
        return float(generated_tokens) / 2
