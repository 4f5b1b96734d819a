"""Random selection of an engine by expected loss."""

import math
import random
from collections.abc import Sequence

from wasabistream.scheduling.engine_outlooks import EngineOutlook

# Difference in loss, in requests, at which an engine is selected e times less
# often. Entries with the same outdated reports would all take the best engine
# if this were 0; errors of the prediction are of about this size.
LOSS_SCALE = 0.05


def selection_weights(outlooks: Sequence[EngineOutlook]) -> list[float]:
    """Return the weight of each engine; that of the best is 1."""
    least_loss = min((outlook.loss for outlook in outlooks), default=0)
    return [
        math.exp(-(outlook.loss - least_loss) / LOSS_SCALE)
        for outlook in outlooks
    ]


def select_engine(
    outlooks: Sequence[EngineOutlook], generator: random.Random
) -> EngineOutlook | None:
    """Return a randomly chosen engine, or None if there are none."""
    if not outlooks:
        return None
    return generator.choices(outlooks, selection_weights(outlooks))[0]
