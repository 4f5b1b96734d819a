"""Builders of test data for the spillover package."""

import math
from collections.abc import Mapping

from tests.forwarding_builders import ENGINE_SERVICE, Clock
from wasabistream.forwarding.requests import GenerationDemand
from wasabistream.notices import Hello
from wasabistream.spillover.demand_boards import DemandReport
from wasabistream.spillover.demand_meters import DemandMeter, ServiceDemand
from wasabistream.spillover.spillover_plans import (
    DataCentreCapacity,
    SpilloverInputs,
    SpilloverPlan,
    plan_spillover,
)

# Prompt tokens per second of each data centre.
CAPACITY = 10_000.0
SWING_SECONDS = 15.0
SWING_RATIO = 0.55
ARRIVALS_PER_SECOND = 10


def build_hello(
    peer_id: str, data_centre: str, incarnation: str = 'i', role: str = 'entry'
) -> Hello:
    """Return what a sender states about itself."""
    return Hello(1, 2, role, peer_id, incarnation, data_centre)


def build_capacity(
    *, size: float = 1, memory_ratio: float = 0
) -> DataCentreCapacity:
    """Return the capacity of a data centre."""
    return DataCentreCapacity(CAPACITY * size, memory_ratio * 1000, 1000)


def build_inputs(
    own: str,
    ratios: Mapping[str, float],
    ages_seconds: Mapping[str, float] | None = None,
    previous: SpilloverPlan | None = None,
    **capacities: DataCentreCapacity,
) -> SpilloverInputs:
    """Return inputs with demands as ratios of the usual capacity."""
    ages = ages_seconds or {}
    return SpilloverInputs(
        ENGINE_SERVICE,
        own,
        {name: build_capacity() for name in ratios} | capacities,
        {
            name: _build_report(
                ServiceDemand(ratio * CAPACITY), ages.get(name, 0)
            )
            for name, ratio in ratios.items()
        },
        previous,
    )


class SwingingWorld:
    """Run data centres whose demand swings, each with its own plan."""

    def __init__(
        self, mean_ratio: float, count: int, report_age_seconds: float
    ) -> None:
        self._clock = Clock()
        self._mean_ratio = mean_ratio
        self.names = [f'dc{number}' for number in range(count)]
        self.plans: dict[str, SpilloverPlan] = {}
        self._meters = {name: DemandMeter(self._clock) for name in self.names}
        self._report_age_seconds = report_age_seconds
        self._measured: list[tuple[float, dict[str, ServiceDemand]]] = []

    def ratio(self, name: str) -> float:
        """Return the present demand as a ratio of the capacity."""
        phase = self.names.index(name) / len(self.names)
        turns = self._clock() / SWING_SECONDS + phase
        swing = SWING_RATIO * math.sin(2 * math.pi * turns)
        return self._mean_ratio * (1 + swing)

    def run_second(self) -> None:
        """Let requests arrive for a second and make new plans."""
        for _ in range(ARRIVALS_PER_SECOND):
            for sender in self.names:
                tokens = self.ratio(sender) * CAPACITY / ARRIVALS_PER_SECOND
                self._meters[sender].record_arrival(
                    ENGINE_SERVICE, GenerationDemand(round(tokens), 0, 0)
                )
            self._clock.advance(1 / ARRIVALS_PER_SECOND)
        measured = {
            name: meter.read(ENGINE_SERVICE)
            for name, meter in self._meters.items()
        }
        self._measured.append((self._clock(), measured))
        for own in self.names:
            inputs = SpilloverInputs(
                ENGINE_SERVICE,
                own,
                {name: build_capacity() for name in self.names},
                {**self._old_reports(), own: _build_report(measured[own], 0)},
                self.plans.get(own),
            )
            self.plans[own] = plan_spillover(inputs, self._clock())

    def ratio_after(self, name: str) -> float:
        """Return the utilisation if all that exceeds a threshold may leave."""
        received = sum(self._leaving(other, name) for other in self.names)
        sent = sum(self._leaving(name, other) for other in self.names)
        return self.ratio(name) + received - sent

    def _leaving(self, sender: str, receiver: str) -> float:
        plan = self.plans[sender]
        allowed = max(sum(plan.shares.values()) * self.ratio(sender), 0.001)
        excess = max(self.ratio(sender) - plan.threshold, 0)
        part = min(excess / allowed, 1)
        return plan.share(receiver) * self.ratio(sender) * part

    def _old_reports(self) -> dict[str, DemandReport]:
        # Reports are as old as stated, or up to a second older.
        latest = self._clock() - self._report_age_seconds + 0.01
        known: dict[str, ServiceDemand] = {}
        for measured_at, measured in self._measured:
            if measured_at <= latest:
                known = measured
        return {
            name: _build_report(demand, self._report_age_seconds)
            for name, demand in known.items()
        }


def _build_report(demand: ServiceDemand, age_seconds: float) -> DemandReport:
    return DemandReport({ENGINE_SERVICE: demand}, age_seconds)
