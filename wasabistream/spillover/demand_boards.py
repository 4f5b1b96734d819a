"""Demand of all data centres as one entry knows it."""

import logging
import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from wasabistream.notices import Hello
from wasabistream.spillover.demand_meters import NO_DEMAND, ServiceDemand
from wasabistream.spillover.spillover_messages import (
    DataCentreDemand,
    DemandNotice,
)
from wasabistream.units import MILLISECONDS_PER_SECOND

logger = logging.getLogger(__name__)

# An older notice no longer counts: its entry has ended or is not reachable.
NOTICE_AGE_LIMIT_SECONDS = 3.0
# An entry whose last notice is older sends no sums. Its receivers get the next
# one from another entry before the last one counts for nothing.
SENDER_AGE_LIMIT_SECONDS = 1.5
# Sequences are kept for longer than reports, so that a message that is delayed
# on a link does not count once the report it precedes has expired.
SEQUENCE_AGE_LIMIT_SECONDS = 60.0
ENTRY_ROLE = 'entry'
# Larger rates and slopes are malformed. Sums and ratios of such numbers can
# become infinite or NaN, and damping would keep a share of NaN for good.
MAX_RATE = 10.0**12

Demands = Mapping[str, ServiceDemand]


@dataclass(frozen=True, slots=True)
class DemandReport:
    """Hold the demand for services with the time since it was measured."""

    demands: Demands
    age_seconds: float


@dataclass(frozen=True, slots=True)
class _Record:
    demands: Demands
    measured_at_seconds: float


class DemandBoard:
    """Hold the last demand of each entry nearby and each other data centre."""

    def __init__(
        self,
        entry: Hello,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._entry_id = entry.peer_id
        self._data_centre = entry.data_centre
        self._clock = clock
        self._lock = threading.Lock()
        self._own_demands: Demands = {}
        # By id of the entry; a restarted entry replaces its earlier notices.
        self._notices: dict[str, _Record] = {}
        self._reports: dict[str, _Record] = {}
        # Last sequence and its time, by id and incarnation of the sender.
        self._sequences: dict[tuple[str, str], tuple[int, float]] = {}

    def record_own(self, demands: Demands) -> None:
        """Record what this entry measures."""
        with self._lock:
            self._own_demands = demands

    def on_notice(self, sender: Hello, notice: DemandNotice) -> None:
        """Record the notice of an entry of the own data centre."""
        if not self._is_entry(sender, self._data_centre):
            return
        # A seed that is another address of this entry links it to itself.
        if sender.peer_id == self._entry_id:
            return
        demands = _decode_rows(notice.rows, sender)
        with self._lock:
            self._notices[sender.peer_id] = _Record(demands, self._clock())

    def on_report(self, sender: Hello, report: DataCentreDemand) -> None:
        """Record the sum of another data centre."""
        is_own = report.data_centre == self._data_centre
        if is_own or not self._is_entry(sender, report.data_centre):
            return
        now = self._clock()
        demands = _decode_rows(report.rows, sender)
        age_seconds = max(report.age_ms, 0) / MILLISECONDS_PER_SECOND
        source = (sender.peer_id, sender.incarnation)
        with self._lock:
            last_sequence, _ = self._sequences.get(source, (-1, now))
            if report.sequence <= last_sequence:
                return
            self._sequences[source] = (report.sequence, now)
            self._reports[report.data_centre] = _Record(
                demands, now - age_seconds
            )

    def own_report(self) -> DemandReport:
        """Return the sum of the own data centre, with its mean age."""
        with self._lock:
            now = self._clock()
            self._drop_old(now)
            records = [*self._notices.values(), _Record(self._own_demands, now)]
        ages_seconds = [now - record.measured_at_seconds for record in records]
        services = {service for record in records for service in record.demands}
        return DemandReport(
            {
                service: _add_demands(
                    [
                        record.demands.get(service, NO_DEMAND)
                        for record in records
                    ]
                )
                for service in services
            },
            sum(ages_seconds) / len(ages_seconds),
        )

    def sender_ids(self) -> list[str]:
        """Return the ids of the entries of the own data centre that send sums.

        Entries of earlier versions send no notices, and no sums either.
        """
        with self._lock:
            oldest = self._clock() - SENDER_AGE_LIMIT_SECONDS
            return [
                self._entry_id,
                *(
                    peer_id
                    for peer_id, record in self._notices.items()
                    if record.measured_at_seconds >= oldest
                ),
            ]

    def other_reports(self) -> dict[str, DemandReport]:
        """Return the newest demand of each other data centre."""
        with self._lock:
            now = self._clock()
            self._drop_old(now)
            return {
                data_centre: DemandReport(
                    record.demands, now - record.measured_at_seconds
                )
                for data_centre, record in self._reports.items()
            }

    def _is_entry(self, sender: Hello, data_centre: str) -> bool:
        if sender.role == ENTRY_ROLE and sender.data_centre == data_centre:
            return True
        logger.warning(
            'spillover: demand of %s is ignored: sent by %s in %s',
            data_centre,
            sender.peer_id,
            sender.data_centre,
        )
        return False

    def _drop_old(self, now: float) -> None:
        oldest = now - NOTICE_AGE_LIMIT_SECONDS
        for records in (self._notices, self._reports):
            for key in list(records):
                if records[key].measured_at_seconds < oldest:
                    records.pop(key)
        oldest_sequence = now - SEQUENCE_AGE_LIMIT_SECONDS
        for source, (_, received_at_seconds) in list(self._sequences.items()):
            if received_at_seconds < oldest_sequence:
                self._sequences.pop(source)


def build_rows(demands: Demands) -> list[list[object]]:
    """Return the rows of a message, with rates as whole numbers."""
    return [
        [
            service,
            round(demand.prompt_tokens_per_second),
            round(demand.expected_tokens_per_second),
            round(demand.slope),
        ]
        for service, demand in demands.items()
    ]


def _decode_rows(rows: list, sender: Hello) -> Demands:
    demands: dict[str, ServiceDemand] = {}
    errors: list[Exception] = []
    for row in rows:
        try:
            service, demand = _decode_row(row)
        except (LookupError, TypeError, ValueError) as error:
            errors.append(error)
        else:
            demands[service] = demand
    if errors:
        logger.warning(
            'spillover: %d rows of %s are malformed, the first: %r',
            len(errors),
            sender.peer_id,
            errors[0],
        )
    return demands


def _decode_row(row: list) -> tuple[str, ServiceDemand]:
    # Newer versions may append columns.
    service, prompt_rate, expected_rate, slope = row[:4]
    if not isinstance(service, str):
        raise TypeError(f'service is {type(service).__name__}')
    rates = (float(prompt_rate), float(expected_rate), float(slope))
    # NaN fails any comparison.
    in_range = all(abs(rate) <= MAX_RATE for rate in rates)
    if not in_range or min(rates[:2]) < 0:
        raise ValueError(f'rates are {rates}')
    return service, ServiceDemand(*rates)


def _add_demands(demands: list[ServiceDemand]) -> ServiceDemand:
    return ServiceDemand(
        sum(demand.prompt_tokens_per_second for demand in demands),
        sum(demand.expected_tokens_per_second for demand in demands),
        sum(demand.slope for demand in demands),
        sum(demand.requests_per_second for demand in demands),
    )
