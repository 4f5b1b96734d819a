"""Estimates of the wait for the first event of a generation."""

import threading
from collections.abc import Mapping
from types import MappingProxyType

from wasabistream.forwarding.requests import ForwardRequest

# Assumed time for each prompt until a service has answered.
DEFAULT_PROMPT_SECONDS = 0.2
# One stalled generation must not make all engines look slow.
MAX_PROMPT_SECONDS = 1.0
SAMPLE_WEIGHT = 0.05
# Part of the time until the deadline that may be spent waiting; the rest is
# left for the answer and for what the estimate misses.
MAX_DEADLINE_RATIO = 0.5


class FirstEventPaces:
    """Learn how long a prompt keeps those behind it waiting, by service."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._prompt_seconds: Mapping[str, float] = MappingProxyType({})

    def record(self, service: str, waiting_count: int, seconds: float) -> None:
        """Record a first event that came `seconds` after its request.

        `waiting_count` is the number of prompts that waited at the engine.
        """
        sample = min(seconds / (waiting_count + 1), MAX_PROMPT_SECONDS)
        with self._lock:
            before = self.prompt_seconds(service)
            pace = before + SAMPLE_WEIGHT * (sample - before)
            self._prompt_seconds = {**self._prompt_seconds, service: pace}

    def prompt_seconds(self, service: str) -> float:
        """Return the estimated time for each waiting prompt."""
        return self._prompt_seconds.get(service, DEFAULT_PROMPT_SECONDS)

    def can_begin_in_time(
        self, request: ForwardRequest, waiting_count: int
    ) -> bool:
        """Return whether a generation can begin well before its deadline."""
        wait_seconds = waiting_count * self.prompt_seconds(request.service)
        remaining_seconds = request.deadline.remaining_seconds
        return wait_seconds <= remaining_seconds * MAX_DEADLINE_RATIO
