"""Polling of the engine that an agent serves."""

import logging
import threading
import time
from collections.abc import Callable

from wasabistream.exceptions import BackendError
from wasabistream.forwarding.engine_states import EngineState
from wasabistream.forwarding.run_movers import AgentEngine
from wasabistream.forwarding.server_advisories import format_limit
from wasabistream.notices import UNKNOWN_LIMIT, LoadReport

logger = logging.getLogger(__name__)

# An engine may leave with 1.5 s of notice, which allows no slower polling.
POLL_INTERVAL_SECONDS = 0.05
# Minimum interval between load reports; a changed state is reported at once.
REPORT_INTERVAL_SECONDS = 0.1
# An unchanged report is repeated before receivers discard it as too old.
REPEAT_INTERVAL_SECONDS = 1.0
# Consecutive failed polls after which the engine counts as unresponsive.
UNRESPONSIVE_POLL_COUNT = 2


class EngineWatcher:
    """Poll the engine's state and report its load to the entries."""

    def __init__(
        self,
        engine: AgentEngine,
        endpoint: str,
        report: Callable[[LoadReport], None],
        on_leaving: Callable[[], None],
    ) -> None:
        self._engine = engine
        self._endpoint = endpoint
        self._report = report
        self._on_leaving = on_leaving
        self._stopped = threading.Event()
        self._reported_seconds = 0.0
        self._failed_poll_count = 0
        self._has_answered = False
        self.last: LoadReport | None = None

    def start(self) -> None:
        """Start polling."""
        threading.Thread(target=self._run, name='engine', daemon=True).start()

    def stop(self) -> None:
        """Stop polling."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.wait(POLL_INTERVAL_SECONDS):
            try:
                state = self._engine.state()
            except BackendError as error:
                self._on_poll_failed(error)
            else:
                self._failed_poll_count = 0
                self._has_answered = True
                self._publish(_build_load_report(state))

    def _on_poll_failed(self, error: BackendError) -> None:
        self._failed_poll_count += 1
        if (
            self._failed_poll_count == UNRESPONSIVE_POLL_COUNT
            and self._has_answered
        ):
            logger.warning('engine: does not answer: %s', error)
        if (
            self._failed_poll_count >= UNRESPONSIVE_POLL_COUNT
            and self.last is not None
        ):
            self._publish(
                LoadReport(
                    0,
                    self.last.memory_capacity_tokens,
                    0,
                    0,
                    0,
                    leaving=False,
                    responsive=False,
                )
            )

    def _publish(self, report: LoadReport) -> None:
        last = self.last
        self.last = report
        changed = last is None or _condition(last) != _condition(report)
        now = time.monotonic()
        due = now - self._reported_seconds >= REPORT_INTERVAL_SECONDS
        if not changed and (not due or report == last):
            if now - self._reported_seconds < REPEAT_INTERVAL_SECONDS:
                return
        self._reported_seconds = now
        self._report(report)
        if changed:
            logger.info(
                'engine: state changed',
                extra={
                    'endpoint': self._endpoint,
                    'leaving': report.leaving,
                    'responsive': report.responsive,
                    'running_count': report.running_count,
                    'limit_per_second': format_limit(report.limit_per_second),
                },
            )
            if report.leaving and (last is None or not last.leaving):
                self._on_leaving()


def _condition(report: LoadReport) -> tuple[bool, bool, float]:
    return report.leaving, report.responsive, report.limit_per_second


def _build_load_report(state: EngineState) -> LoadReport:
    limit = state.advisory.limit_per_second
    return LoadReport(
        memory_used_tokens=state.memory_used_tokens,
        memory_capacity_tokens=state.memory_capacity_tokens,
        running_count=state.running_count,
        # An engine processes one prompt at a time, so a running generation
        # without events yet delays others as a queued one does.
        queued_count=state.waiting_count
        + max(state.running_count - len(state.runs), 0),
        ramp_limit_count=0,
        leaving=state.leaving,
        limit_per_second=UNKNOWN_LIMIT if limit is None else limit,
    )
