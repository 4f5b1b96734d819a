"""Conversion of paces to reports, and when an agent sends them."""

from dataclasses import astuple

from wasabistream.paces.engine_paces import UNKNOWN_PACE, EnginePace
from wasabistream.scheduling.scheduling_messages import EnginePaceReport
from wasabistream.units import MICROSECONDS_PER_SECOND

REPORT_INTERVAL_SECONDS = 1.0
# Least change of a value that is reported, as a part of the reported one.
CHANGE_RATIO = 0.1


class PaceReporter:
    """Decide when the pace of an engine is reported."""

    def __init__(self) -> None:
        self._reported_pace = UNKNOWN_PACE
        self._reported_at_seconds = 0.0

    def next_report(
        self, pace: EnginePace, now_seconds: float
    ) -> EnginePaceReport | None:
        """Return the report to send to all entries now; None if not due."""
        elapsed_seconds = now_seconds - self._reported_at_seconds
        if elapsed_seconds < REPORT_INTERVAL_SECONDS:
            return None
        if not _has_changed(self._reported_pace, pace):
            return None
        self._reported_pace = pace
        self._reported_at_seconds = now_seconds
        return build_pace_report(pace)


def build_pace_report(pace: EnginePace) -> EnginePaceReport:
    """Return the message that carries a pace."""
    return EnginePaceReport(
        round(pace.event_seconds * MICROSECONDS_PER_SECOND),
        round(pace.prompt_event_seconds * MICROSECONDS_PER_SECOND),
        round(pace.prompt_tokens_per_second),
        round(pace.output_tokens_per_second),
        round(pace.output_tokens),
        pace.prompts_per_second,
    )


def read_pace(report: EnginePaceReport) -> EnginePace:
    """Return the pace in a report."""
    return EnginePace(
        max(report.event_microseconds, 0) / MICROSECONDS_PER_SECOND,
        max(report.prompt_event_microseconds, 0) / MICROSECONDS_PER_SECOND,
        max(report.prompt_tokens_per_second, 0),
        max(report.output_tokens_per_second, 0),
        max(report.output_tokens, 0),
        max(report.prompts_per_second, 0),
    )


def _has_changed(before: EnginePace, after: EnginePace) -> bool:
    return any(
        abs(new - old) >= CHANGE_RATIO * old and new != old
        for old, new in zip(astuple(before), astuple(after))
    )
