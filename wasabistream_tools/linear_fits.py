"""Linear fit of a measured figure by least squares."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy


@dataclass(frozen=True)
class LinearFit:
    """Hold the straight line through measured points."""

    intercept: float
    slope: float

    def at(self, count: float) -> float:
        """Return the figure that the line gives for a count."""
        return self.intercept + self.slope * count


def fit_line(counts: Sequence[float], figures: Sequence[float]) -> LinearFit:
    """Fit a line through points; needs two or more different counts."""
    slope, intercept = numpy.polyfit(counts, figures, 1)
    return LinearFit(float(intercept), float(slope))
