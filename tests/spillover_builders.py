"""Builders of test data for the spillover package."""

import dataclasses
import math
from collections.abc import Callable, Collection, Mapping, Sequence
from unittest.mock import Mock

from tests.forwarding_builders import (
    ENGINE_SERVICE,
    Clock,
    build_request,
    build_route,
)
from wasabistream.forwarding.requests import GenerationDemand
from wasabistream.forwarding.routes import RouteKind
from wasabistream.messages import Message
from wasabistream.notices import Hello
from wasabistream.spillover.demand_boards import DemandReport
from wasabistream.spillover.demand_meters import DemandMeter, ServiceDemand
from wasabistream.spillover.spillover_controllers import SpilloverController
from wasabistream.spillover.spillover_messages import (
    DataCentreDemand,
    DemandNotice,
)
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


class SendingDataCentre:
    """Run the controllers of all entries of one data centre."""

    def __init__(
        self, own: Sequence[Hello], others: Sequence[Hello], service_count: int
    ) -> None:
        self._services = [f'service{number}' for number in range(service_count)]
        self._clock = Clock()
        self._peers = [*own, *others]
        self._controllers: dict[str, SpilloverController] = {}
        self._frozen: Collection[str] = ()
        # Of the last second, with the sender's and the receiver's id.
        self.notices: list[tuple[str, str, DemandNotice]] = []
        self.sums: list[tuple[str, str, DataCentreDemand]] = []
        # Time since each receiver got a sum.
        self.silent_seconds: dict[str, float] = {}
        for entry in own:
            links = Mock(send_to_some=self._build_send(entry))
            capacities = Mock(measure=lambda service: {})
            capacities.list_services.return_value = self._services
            self._controllers[entry.peer_id] = SpilloverController(
                entry, links, capacities, lambda service: True, self._clock
            )

    def run_second(
        self, tokens_per_second: int, frozen: Collection[str] = ()
    ) -> None:
        """Update all entries in turn, spread over a second."""
        self._frozen = frozen
        self.notices.clear()
        self.sums.clear()
        seconds = 1 / len(self._controllers)
        for entry_id, controller in self._controllers.items():
            self._clock.advance(seconds)
            for receiver in self.silent_seconds:
                self.silent_seconds[receiver] += seconds
            if entry_id not in frozen:
                self._record_arrivals(controller, tokens_per_second)
                controller.update()

    def _record_arrivals(
        self, controller: SpilloverController, tokens: int
    ) -> None:
        request = build_request(build_route(RouteKind.streaming))
        for service in self._services:
            controller.record_arrival(
                dataclasses.replace(
                    request,
                    service=service,
                    demand=GenerationDemand(tokens, 0, 0),
                )
            )

    def _build_send(
        self, sender: Hello
    ) -> Callable[[Message, Callable[[Hello], bool]], None]:
        def send(
            message: Message, is_receiver: Callable[[Hello], bool]
        ) -> None:
            for peer in self._peers:
                if peer != sender and is_receiver(peer):
                    self._deliver(sender, peer, message)

        return send

    def _deliver(self, sender: Hello, peer: Hello, message: Message) -> None:
        if isinstance(message, DemandNotice):
            if peer.peer_id not in self._frozen:
                controller = self._controllers[peer.peer_id]
                controller.board.on_notice(sender, message)
            self.notices.append((sender.peer_id, peer.peer_id, message))
        elif isinstance(message, DataCentreDemand):
            self.sums.append((sender.peer_id, peer.peer_id, message))
            self.silent_seconds[peer.peer_id] = 0


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
