"""Requests as their last log lines describe them."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from wasabistream.inspection.log_lines import LogLine

# Refusals of requests that the configuration does not allow.
CALLER_ERROR_STATUSES = frozenset((400, 401, 403, 404, 413, 431))


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """Hold how one request ended."""

    request_id: str
    process_id: str
    route: str
    kind: str
    ended_at_seconds: float
    # 'answered', 'complete', 'cut', or 'lost' without a last line.
    outcome: str
    # 0 for a stream that has begun.
    status: int
    servers: tuple[str, ...]
    run_count: int
    move_count: int
    event_count: int
    cut_reason: str
    seconds: float
    first_event_seconds: float
    longest_gap_seconds: float
    target_seconds: float
    # 0 if the route has none.
    target_gap_seconds: float

    @property
    def is_stream(self) -> bool:
        """Return whether the answer was due as a stream."""
        return self.kind == 'streaming'

    @property
    def is_owed(self) -> bool:
        """Return whether the configuration allows the request."""
        return self.status not in CALLER_ERROR_STATUSES

    @property
    def is_in_time(self) -> bool:
        """Return whether the caller got its answer within the targets."""
        if not self.is_stream:
            return 200 <= self.status < 300 and not self.is_late
        return self.outcome == 'complete' and not (
            self.is_late or self.has_long_gap
        )

    @property
    def is_broken(self) -> bool:
        """Return whether the answer broke off, or no server gave one."""
        return self.outcome == 'cut' or self.status == 502

    @property
    def is_late(self) -> bool:
        """Return whether the answer or its first event came late."""
        seconds = self.first_event_seconds if self.is_stream else self.seconds
        return 0 < self.target_seconds < seconds

    @property
    def has_long_gap(self) -> bool:
        """Return whether a pause between events was too long."""
        return 0 < self.target_gap_seconds < self.longest_gap_seconds


def build_record(line: LogLine, outcome: str = '') -> RequestRecord:
    """Return the record of the line that ends or begins a request."""
    fields = line.fields
    return RequestRecord(
        request_id=line.request_id,
        process_id=line.process_id,
        route=str(fields.get('route', '')),
        kind=str(fields.get('kind', '')),
        ended_at_seconds=line.time_seconds,
        outcome=outcome or str(fields.get('outcome', '')),
        status=int(_number(fields, 'status')),
        servers=tuple(map(str, fields.get('servers') or ())),
        run_count=int(_number(fields, 'run_count')),
        move_count=int(_number(fields, 'move_count')),
        event_count=int(_number(fields, 'event_count')),
        cut_reason=str(fields.get('cut_reason') or ''),
        seconds=_number(fields, 'seconds'),
        first_event_seconds=_number(fields, 'first_event_seconds'),
        longest_gap_seconds=_number(fields, 'longest_gap_seconds'),
        target_seconds=_number(fields, 'target_seconds'),
        target_gap_seconds=_number(fields, 'target_gap_seconds'),
    )


def _number(fields: Mapping[str, Any], name: str) -> float:
    number = fields.get(name)
    return float(number) if isinstance(number, int | float) else 0
