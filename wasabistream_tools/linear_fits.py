"""Linear fits of measured figures by least squares."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy


@dataclass(frozen=True)
class LinearFit:
    """Hold the straight line fitted to measured points."""

    intercept: float
    slope: float

    def predict(self, count: float) -> float:
        """Return the figure on the line for a count."""
        return self.intercept + self.slope * count


def fit_line(counts: Sequence[float], figures: Sequence[float]) -> LinearFit:
    """Fit a line to points; needs two or more different counts."""
    slope, intercept = numpy.polyfit(counts, figures, 1)
    return LinearFit(float(intercept), float(slope))
