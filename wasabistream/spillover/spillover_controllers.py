"""Process that exchanges demands and keeps the plans up to date."""

import logging
import math
import threading
import time
from collections.abc import Callable, Mapping
from typing import Protocol

from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.messages import Message
from wasabistream.metrics import SPILLOVER_SHARE
from wasabistream.notices import Hello
from wasabistream.owners import owner_of
from wasabistream.spillover.capacity_views import CapacityView
from wasabistream.spillover.demand_boards import (
    NOTICE_AGE_LIMIT_SECONDS,
    DemandBoard,
    DemandReport,
    Demands,
    build_rows,
)
from wasabistream.spillover.demand_meters import DemandMeter
from wasabistream.spillover.spillover_messages import (
    DataCentreDemand,
    DemandNotice,
)
from wasabistream.spillover.spillover_plans import (
    SpilloverInputs,
    SpilloverPlan,
    plan_spillover,
)
from wasabistream.units import MILLISECONDS_PER_SECOND

logger = logging.getLogger(__name__)

PLAN_INTERVAL_SECONDS = 1.0
# An older plan is no longer used: the reports that it rests on count for nothing.
PLAN_AGE_LIMIT_SECONDS = 3.0
# A plan is logged if a share differs by at least this much from the last one
# that was logged, or a reason has changed.
LOGGED_SHARE_CHANGE = 0.05
LOGGED_DIGITS = 3


class DemandLinks(Protocol):
    """Send messages to other entries."""

    def send_to_some(
        self, notice: Message, is_receiver: Callable[[Hello], bool]
    ) -> None:
        """Send a message once to some of the linked entries."""


class SpilloverController:
    """Report the demand of this entry and plan for each scheduled service."""

    def __init__(
        self,
        entry: Hello,
        links: DemandLinks,
        capacities: CapacityView,
        is_scheduled: Callable[[str], bool],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._entry_id = entry.peer_id
        self._data_centre = entry.data_centre
        self._links = links
        self._capacities = capacities
        self._is_scheduled = is_scheduled
        self._clock = clock
        self._meter = DemandMeter(clock)
        self.board = DemandBoard(entry, clock)
        # Replaced as a whole.
        self._plans: dict[str, SpilloverPlan] = {}
        self._logged: dict[str, SpilloverPlan] = {}
        self._sequence = 0
        self._updated_seconds = -math.inf
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start sending and planning."""
        threading.Thread(
            target=self._run, name='spillover', daemon=True
        ).start()

    def stop(self) -> None:
        """Stop sending and planning."""
        self._stopped.set()

    def record_arrival(self, request: ForwardRequest) -> None:
        """Count a generation that has arrived at this entry."""
        if request.demand is not None:
            self._meter.record_arrival(request.service, request.demand)

    def find_plan(self, service: str) -> SpilloverPlan | None:
        """Return the newest plan.

        None for a service that is not scheduled, and if updates have failed.
        """
        plan = self._plans.get(service)
        if plan is None:
            return None
        age_seconds = self._clock() - plan.made_at_seconds
        return plan if age_seconds <= PLAN_AGE_LIMIT_SECONDS else None

    def full_data_centres(self, service: str) -> list[str]:
        """Return the data centres that have no room for a service."""
        plan = self.find_plan(service)
        return plan.list_full_data_centres() if plan else []

    def update(self) -> None:
        """Send what arrives here and make the plans anew."""
        services = [
            service
            for service in self._capacities.list_services()
            if self._is_scheduled(service)
        ]
        demands = {service: self._meter.read(service) for service in services}
        self.board.record_own(demands)
        own_report = self.board.own_report()
        own_report = DemandReport(
            {
                service: demand
                for service, demand in own_report.demands.items()
                if service in services
            },
            own_report.age_seconds,
        )
        now = self._clock()
        # After a start or a pause, the notices of the other entries are missing,
        # and a sum of the rest would replace a correct one.
        has_notices = now - self._updated_seconds <= NOTICE_AGE_LIMIT_SECONDS
        self._updated_seconds = now
        if services:
            self._send(demands, own_report, has_notices=has_notices)
        reports = self.board.other_reports()
        reports[self._data_centre] = own_report
        self._replace_plans(
            {service: self._plan(service, reports) for service in services}
        )

    def _run(self) -> None:
        while not self._stopped.wait(PLAN_INTERVAL_SECONDS):
            try:
                self.update()
            except Exception:
                # The old plans stay in use for a while; the next update may
                # succeed.
                logger.exception('spillover: update failed')

    def _send(
        self, demands: Demands, own_report: DemandReport, *, has_notices: bool
    ) -> None:
        self._links.send_to_some(
            DemandNotice(build_rows(demands)),
            lambda peer: peer.data_centre == self._data_centre,
        )
        if not has_notices:
            return
        self._sequence += 1
        # Each entry of another data centre gets the sum from one entry of this
        # one, so that no entry sends to all of them.
        sender_ids = self.board.sender_ids()
        self._links.send_to_some(
            DataCentreDemand(
                self._data_centre,
                self._sequence,
                build_rows(own_report.demands),
                round(own_report.age_seconds * MILLISECONDS_PER_SECOND),
            ),
            lambda peer: (
                peer.data_centre != self._data_centre
                and owner_of(peer.peer_id, sender_ids) == self._entry_id
            ),
        )

    def _plan(
        self, service: str, reports: dict[str, DemandReport]
    ) -> SpilloverPlan:
        return plan_spillover(
            SpilloverInputs(
                service,
                self._data_centre,
                self._capacities.measure(service),
                reports,
                self._plans.get(service),
            ),
            self._clock(),
        )

    def _replace_plans(self, plans: dict[str, SpilloverPlan]) -> None:
        for service, former in self._plans.items():
            new = plans.get(service)
            for data_centre in former.shares:
                if new is None or data_centre not in new.shares:
                    SPILLOVER_SHARE.remove(service, data_centre)
        self._plans = plans
        for service, plan in plans.items():
            for data_centre, share in plan.shares.items():
                SPILLOVER_SHARE.labels(service, data_centre).set(share)
            if _has_changed(self._logged.get(service), plan):
                self._logged[service] = plan
                _log(plan)


def _has_changed(logged: SpilloverPlan | None, plan: SpilloverPlan) -> bool:
    if logged is None or logged.reasons != plan.reasons:
        return True
    return any(
        abs(share - logged.share(data_centre)) >= LOGGED_SHARE_CHANGE
        for data_centre, share in plan.shares.items()
    )


def _log(plan: SpilloverPlan) -> None:
    logger.info(
        'spillover: plan changed',
        extra={
            'service': plan.service,
            'threshold': round(plan.threshold, LOGGED_DIGITS),
            'utilisations': _round_all(plan.utilisations),
            'shares': _round_all(plan.shares),
            'reasons': dict(plan.reasons),
        },
    )


def _round_all(ratios: Mapping[str, float]) -> dict[str, float]:
    return {
        data_centre: round(ratio, LOGGED_DIGITS)
        for data_centre, ratio in ratios.items()
    }
