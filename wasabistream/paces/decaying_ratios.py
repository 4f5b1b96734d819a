"""Ratios of two sums that decay with time."""


class DecayingRatio:
    """Estimate an amount per unit of weight; older additions count less.

    The sums never decay below `min_weight`, so that after a pause a single
    short interval does not replace all that was known.
    """

    def __init__(self, min_weight: float) -> None:
        self._min_weight = min_weight
        self._amount = 0.0
        self._weight = 0.0

    def decay(self, factor: float) -> None:
        """Multiply both sums by a factor below 1."""
        if self._weight <= self._min_weight:
            return
        weight = max(self._weight * factor, self._min_weight)
        self._amount *= weight / self._weight
        self._weight = weight

    def add(self, amount: float, weight: float) -> None:
        """Add to both sums."""
        self._amount += amount
        self._weight += weight

    @property
    def ratio(self) -> float:
        """Return the amount per unit of weight; 0 if it is not known."""
        if self._weight < self._min_weight:
            return 0
        return max(self._amount / self._weight, 0)

    @property
    def inverse(self) -> float:
        """Return the weight per unit of the amount; 0 if it is not known."""
        ratio = self.ratio
        return 1 / ratio if ratio else 0
