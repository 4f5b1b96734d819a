"""Plan of how many requests of a service may leave a data centre."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from wasabistream.spillover.demand_boards import DemandReport
from wasabistream.spillover.demand_meters import NO_DEMAND, ServiceDemand

# The demand is predicted this far ahead: a plan is up to a second old, and the
# rates that it rests on lag by about as much.
FORECAST_SECONDS = 1.5
# Utilisation up to which a data centre takes requests of others, even if all
# of them together are less used.
MIN_THRESHOLD = 0.7
# Utilisation beyond which a receiver has no room.
MAX_UTILISATION = 0.95
# Part of its demand that a data centre without excess may claim, for requests
# that an engine elsewhere serves much better.
CLAIM_RATIO = 0.1
# Reports up to this age count in full, and those of the limit not at all.
FULL_WEIGHT_AGE_SECONDS = 1.0
REPORT_AGE_LIMIT_SECONDS = 3.0
# Part of the way that is left after each second.
DAMPING_RATIO = 0.5
# A share on its way to 0 ends below this. Half of a share is left each second,
# and the first request of an entry in a while is within any share above 0.
MIN_DAMPED_SHARE = 0.01
# Lower demands are counted as this, which gives the first request after a
# pause a share.
MIN_DEMAND_TOKENS_PER_SECOND = 1.0

NO_ENGINE = 'no usable engine'
NO_REPORTS = 'no demand reports'
NO_ROOM = 'no room'
NO_SPARE_CAPACITY = 'no spare capacity'
NO_OWN_ENGINE = 'no usable engine in the own data centre'
OWN_EXCESS = 'demand above the threshold'
SPARE_CAPACITY = 'spare capacity'
# Reasons for which a share drops to 0 without damping.
IMMEDIATE_REASONS = frozenset((NO_ENGINE, NO_REPORTS, NO_ROOM))


@dataclass(frozen=True, slots=True)
class DataCentreCapacity:
    """Hold what the usable engines of a data centre can do for a service."""

    prompt_tokens_per_second: float = 0
    # Memory in use, reserved and expected to grow.
    memory_tokens: float = 0
    memory_capacity_tokens: float = 0


NO_CAPACITY = DataCentreCapacity()


@dataclass(frozen=True, slots=True)
class SpilloverPlan:
    """Hold the share of the requests that may go to each data centre."""

    service: str
    made_at_seconds: float
    threshold: float
    utilisations: Mapping[str, float]
    # Without the own data centre.
    shares: Mapping[str, float]
    reasons: Mapping[str, str]

    def share(self, data_centre: str) -> float:
        """Return the share of a data centre; 0 for one that is not known."""
        return self.shares.get(data_centre, 0)

    def list_full_data_centres(self) -> list[str]:
        """Return the data centres without room."""
        return [
            data_centre
            for data_centre, utilisation in self.utilisations.items()
            if utilisation > MAX_UTILISATION
        ]


@dataclass(frozen=True, slots=True)
class SpilloverInputs:
    """Hold what is known about one service in all data centres."""

    service: str
    own_data_centre: str
    capacities: Mapping[str, DataCentreCapacity]
    # Includes the report of the own data centre.
    reports: Mapping[str, DemandReport] = field(default_factory=dict)
    previous: SpilloverPlan | None = None


@dataclass(frozen=True, slots=True)
class _State:
    """Hold the expected demand and the capacity of one data centre."""

    # Prompt tokens per second.
    demand: float
    capacity: float
    utilisation: float
    # From 0 to 1, by the age of the report.
    weight: float

    def claim(self, threshold: float) -> float:
        """Return the weight of its claim on the spare capacity of others."""
        excess = self.demand
        if self.capacity:
            excess = max(self.utilisation - threshold, 0) * self.capacity
        return self.weight * (excess + CLAIM_RATIO * self.demand)

    def spare(self, threshold: float) -> float:
        """Return the capacity below the threshold that is not needed."""
        return max(threshold - self.utilisation, 0) * self.capacity


def plan_spillover(inputs: SpilloverInputs, now: float) -> SpilloverPlan:
    """Return the share of requests that may go to each data centre, and why."""
    own = inputs.own_data_centre
    states = {
        data_centre: _assess(inputs, data_centre)
        for data_centre in sorted({own, *inputs.capacities, *inputs.reports})
    }
    threshold = max(MIN_THRESHOLD, _even_utilisation(inputs, states))
    reasons = {
        data_centre: _find_reason(state, states[own], threshold)
        for data_centre, state in states.items()
        if data_centre != own
    }
    open_shares = {
        data_centre: _new_share(states, own, data_centre, threshold)
        for data_centre, reason in reasons.items()
        if reason not in IMMEDIATE_REASONS
    }
    if not states[own].capacity:
        open_shares = _normalise(open_shares)
    elif inputs.previous is not None:
        open_shares = _damp(open_shares, inputs.previous, now)
    return SpilloverPlan(
        service=inputs.service,
        made_at_seconds=now,
        threshold=threshold,
        utilisations={
            data_centre: state.utilisation
            for data_centre, state in states.items()
        },
        shares={**dict.fromkeys(reasons, 0.0), **open_shares},
        reasons=reasons,
    )


def _assess(inputs: SpilloverInputs, data_centre: str) -> _State:
    capacity = inputs.capacities.get(data_centre, NO_CAPACITY)
    report = inputs.reports.get(data_centre)
    demand = NO_DEMAND
    weight = 0.0
    if report is not None and inputs.service in report.demands:
        demand = report.demands[inputs.service]
        weight = _report_weight(report.age_seconds)
    expected = _expect(demand)
    utilisation = 0.0
    if capacity.prompt_tokens_per_second:
        utilisation = expected / capacity.prompt_tokens_per_second
    if data_centre == inputs.own_data_centre:
        # A share is a part of this demand, and its report is always new.
        expected = max(expected, MIN_DEMAND_TOKENS_PER_SECOND)
        weight = 1
    return _State(
        expected,
        capacity.prompt_tokens_per_second,
        max(utilisation, _memory_ratio([capacity])),
        weight,
    )


def _expect(demand: ServiceDemand) -> float:
    change = demand.slope * FORECAST_SECONDS
    return max(demand.prompt_tokens_per_second + change, 0)


def _report_weight(age_seconds: float) -> float:
    weight = (REPORT_AGE_LIMIT_SECONDS - age_seconds) / (
        REPORT_AGE_LIMIT_SECONDS - FULL_WEIGHT_AGE_SECONDS
    )
    return min(max(weight, 0), 1)


def _memory_ratio(capacities: list[DataCentreCapacity]) -> float:
    total = sum(capacity.memory_capacity_tokens for capacity in capacities)
    used = sum(capacity.memory_tokens for capacity in capacities)
    return used / total if total else 0


def _even_utilisation(
    inputs: SpilloverInputs, states: Mapping[str, _State]
) -> float:
    # A data centre whose demand is unknown neither gives nor takes.
    known = [
        data_centre for data_centre, state in states.items() if state.weight
    ]
    total = sum(states[data_centre].capacity for data_centre in known)
    if not total:
        return 0
    demand = sum(states[data_centre].demand for data_centre in known)
    memory_ratio = _memory_ratio(
        [
            inputs.capacities.get(data_centre, NO_CAPACITY)
            for data_centre in known
        ]
    )
    return max(demand / total, memory_ratio)


def _find_reason(state: _State, own: _State, threshold: float) -> str:
    if not state.capacity:
        return NO_ENGINE
    if not state.weight:
        return NO_REPORTS
    if state.utilisation > MAX_UTILISATION:
        return NO_ROOM
    if not state.spare(threshold):
        return NO_SPARE_CAPACITY
    if not own.capacity:
        return NO_OWN_ENGINE
    return OWN_EXCESS if own.utilisation > threshold else SPARE_CAPACITY


def _new_share(
    states: Mapping[str, _State],
    own: str,
    receiver: str,
    threshold: float,
) -> float:
    state = states[receiver]
    spare = state.spare(threshold) * state.weight
    if not states[own].capacity:
        # Divided by the sum over all receivers afterwards.
        return spare
    claims = sum(
        other.claim(threshold)
        for data_centre, other in states.items()
        if data_centre != receiver
    )
    own_part = spare * states[own].claim(threshold) / claims
    return min(own_part / states[own].demand, 1)


def _normalise(shares: Mapping[str, float]) -> dict[str, float]:
    total = sum(shares.values())
    return {
        data_centre: share / total if total else 0
        for data_centre, share in shares.items()
    }


def _damp(
    shares: Mapping[str, float], previous: SpilloverPlan, now: float
) -> dict[str, float]:
    elapsed_seconds = max(now - previous.made_at_seconds, 0)
    left = math.pow(DAMPING_RATIO, elapsed_seconds)
    damped = {
        data_centre: share + (previous.share(data_centre) - share) * left
        for data_centre, share in shares.items()
    }
    return {
        data_centre: (
            share if shares[data_centre] or share >= MIN_DAMPED_SHARE else 0
        )
        for data_centre, share in damped.items()
    }
