"""Slope of a measured figure by least squares."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy


@dataclass(frozen=True)
class Slope:
    """Hold the straight line through measured points."""

    base: float
    per_item: float

    def at(self, count: float) -> float:
        """Return the figure that the line gives for a count."""
        return self.base + self.per_item * count


def fit_slope(counts: Sequence[float], figures: Sequence[float]) -> Slope:
    """Fit a line through points; needs two or more different counts."""
    per_item, base = numpy.polyfit(counts, figures, 1)
    return Slope(float(base), float(per_item))
