"""Table of the requests that were not served in time, by cause."""

from collections import Counter, OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from wasabistream.inspection.log_lines import LogLine
from wasabistream.inspection.loss_causes import find_cause
from wasabistream.inspection.loss_contexts import LossContext
from wasabistream.inspection.loss_registry import LossCause
from wasabistream.inspection.outdated_refusals import OutdatedRefusals
from wasabistream.inspection.request_records import RequestRecord, build_record

MOVE_PREFIX = 'mover: '
REFUSED_PREFIX = 'request: refused: '
WAITING_MESSAGE = 'request: refused: no server takes it before the stated wait'
NO_ROOM_MESSAGE = 'request: refused: no room in time'
CONTINUATION_PREFIX = 'stream: cannot go on: '
# The lines of refused requests name no route.
OUTDATED_CAUSE = 'refused by an outdated configuration'
UNKNOWN_ROUTE = ''
# Bounds the memory for requests that have no last line or were lost.
MAX_RECORD_COUNT = 200_000


@dataclass(frozen=True, slots=True)
class LossRow:
    """Count the requests of a route that were lost for one cause."""

    route: str
    cause: str
    avoidable: bool
    count: int
    # Of all requests of the route that were owed.
    route_percent: float
    # Of the worth of all requests that were owed.
    worth_percent: float


class LossCounter:
    """Collect log lines in any order, then count the losses."""

    def __init__(self, worths: Mapping[str, float]) -> None:
        # Worth of one request by route; 1 for all others.
        self._worths = worths
        self._context = LossContext()
        self._outdated_refusals = OutdatedRefusals()
        self._owed_counts: Counter[str] = Counter()
        self._lost: list[RequestRecord] = []
        # Streams that were sent and have not ended yet; an ended one whose
        # last line came first stays marked by None.
        self._open: OrderedDict[str, RequestRecord | None] = OrderedDict()
        self._skipped_count = 0

    @property
    def skipped_count(self) -> int:
        """Return the number of losses that did not fit into memory."""
        return self._skipped_count + self._outdated_refusals.skipped_count

    def add(self, lines: Iterable[LogLine]) -> None:
        """Add log lines."""
        for line in lines:
            match line.message:
                case 'request: ended':
                    self._add_ended(line)
                case 'stream: sent':
                    self._add_sent(line)
                case 'fleet: configuration in force':
                    self._outdated_refusals.add_version(line)
                case 'queue: waited':
                    self._add_queued(line)
                case 'engine: state changed':
                    self._add_engine_state(line)
                case message if message.startswith(MOVE_PREFIX):
                    self._add_move(line)
                case message if message.startswith(CONTINUATION_PREFIX):
                    self._add_continuation_failure(line)
                case message if message.startswith(REFUSED_PREFIX):
                    self._add_refused(line)
                    self._add_resume_refusal(line)

    def rows(self) -> list[LossRow]:
        """Return the losses: outdated refusals, then those that cost most."""
        lost = [
            *self._lost,
            *(record for record in self._open.values() if record is not None),
        ]
        owed_counts = self._owed_counts + Counter(
            record.route for record in lost if record.outcome == 'lost'
        )
        total_worth = sum(
            count * self._worth(route) for route, count in owed_counts.items()
        )
        counts: Counter[tuple[str, LossCause]] = Counter(
            (record.route, find_cause(record, self._context)) for record in lost
        )
        rows = [
            LossRow(
                route=route,
                cause=cause.name,
                avoidable=cause.avoidable,
                count=count,
                route_percent=_percent(count, owed_counts[route]),
                worth_percent=_percent(count * self._worth(route), total_worth),
            )
            for (route, cause), count in counts.items()
        ]
        rows.sort(key=lambda row: row.worth_percent, reverse=True)
        return [*self._build_outdated_rows(), *rows]

    def _build_outdated_rows(self) -> list[LossRow]:
        count = self._outdated_refusals.count()
        if not count:
            return []
        return [
            LossRow(
                route=UNKNOWN_ROUTE,
                cause=OUTDATED_CAUSE,
                avoidable=True,
                count=count,
                route_percent=0,
                worth_percent=0,
            )
        ]

    def _add_ended(self, line: LogLine) -> None:
        record = build_record(line)
        if record.is_stream:
            self._remember(record.request_id, None)
        if not record.is_owed:
            return
        self._owed_counts[record.route] += 1
        if record.is_in_time:
            return
        if len(self._lost) >= MAX_RECORD_COUNT:
            self._skipped_count += 1
            return
        self._lost.append(record)

    def _add_sent(self, line: LogLine) -> None:
        if line.request_id not in self._open:
            self._remember(line.request_id, build_record(line, 'lost'))

    def _add_engine_state(self, line: LogLine) -> None:
        if line.fields.get('leaving'):
            endpoint = str(line.fields.get('endpoint', ''))
            times = self._context.leave_times_seconds.setdefault(endpoint, [])
            times.append(line.time_seconds)

    def _add_queued(self, line: LogLine) -> None:
        seconds = line.fields.get('seconds')
        queue_seconds = self._context.queue_seconds
        if len(queue_seconds) < MAX_RECORD_COUNT and isinstance(
            seconds, int | float
        ):
            queue_seconds[line.request_id] = seconds

    def _add_refused(self, line: LogLine) -> None:
        match line.message:
            case message if message == WAITING_MESSAGE:
                request_ids = self._context.waiting_request_ids
            case message if message == NO_ROOM_MESSAGE:
                request_ids = self._context.no_room_request_ids
            case _:
                self._outdated_refusals.add_refusal(line)
                return
        if len(request_ids) < MAX_RECORD_COUNT:
            request_ids.add(line.request_id)

    def _add_resume_refusal(self, line: LogLine) -> None:
        refusal = line.fields.get('refusal')
        refusals = self._context.resume_refusals
        if refusal is not None and len(refusals) < MAX_RECORD_COUNT:
            refusals[line.request_id] = str(refusal)

    def _add_move(self, line: LogLine) -> None:
        messages = self._context.move_messages
        if len(messages) < MAX_RECORD_COUNT or line.request_id in messages:
            messages[line.request_id] = line.message

    def _add_continuation_failure(self, line: LogLine) -> None:
        failures = self._context.continuation_failures
        if len(failures) < MAX_RECORD_COUNT or line.request_id in failures:
            failures[line.request_id] = str(line.fields.get('reason', ''))

    def _remember(self, request_id: str, record: RequestRecord | None) -> None:
        self._open[request_id] = record
        self._open.move_to_end(request_id)
        if len(self._open) > MAX_RECORD_COUNT:
            _, oldest = self._open.popitem(last=False)
            self._skipped_count += oldest is not None

    def _worth(self, route: str) -> float:
        return self._worths.get(route, 1)


def _percent(part: float, whole: float) -> float:
    return round(100 * part / whole, 2) if whole else 0
