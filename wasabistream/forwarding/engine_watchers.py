"""Polling of the engine that an agent serves."""

import logging
import threading
import time
from collections.abc import Callable, Hashable
from dataclasses import replace

from wasabistream.exceptions import BackendError
from wasabistream.forwarding.engine_states import EngineState
from wasabistream.forwarding.run_movers import AgentEngine
from wasabistream.forwarding.server_advisories import format_limit
from wasabistream.link_loops import link_loop
from wasabistream.link_waits import Pause, Task
from wasabistream.messages import Message
from wasabistream.metrics import (
    BACKLOG_TOKENS,
    ENGINE_EVENT_SECONDS,
    ENGINE_PROMPT_EVENT_SECONDS,
    ENGINE_PROMPT_TOKEN_RATE,
)
from wasabistream.notices import UNKNOWN_LIMIT, LoadReport
from wasabistream.paces.engine_paces import UNKNOWN_PACE, EnginePace
from wasabistream.paces.pace_estimators import PaceEstimator
from wasabistream.paces.pace_reports import PaceReporter
from wasabistream.paces.prompt_backlogs import PromptBacklog
from wasabistream.scheduling.scheduling_messages import PromptNotice

logger = logging.getLogger(__name__)

# An engine may leave with 1.5 s of notice, which allows no slower polling.
POLL_INTERVAL_SECONDS = 0.05
# Minimum interval between load reports; a changed state is reported at once.
REPORT_INTERVAL_SECONDS = 0.1
# The same after a notice has changed the backlog of prompts: entries choose
# engines many times in the longer interval.
BACKLOG_REPORT_INTERVAL_SECONDS = 0.02
# An unchanged report is repeated before receivers discard it as too old.
REPEAT_INTERVAL_SECONDS = 1.0
# Consecutive failed polls after which the engine counts as unresponsive.
UNRESPONSIVE_POLL_COUNT = 2


class EngineWatcher:
    """Poll the engine's state and report its load and pace to the entries.

    Polls run on a thread of their own, announcements of prompts arrive on the
    thread of the links.
    """

    def __init__(
        self,
        engine: AgentEngine,
        endpoint: str,
        report: Callable[[Message], None],
        on_leaving: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._engine = engine
        self._endpoint = endpoint
        self._report = report
        self._on_leaving = on_leaving
        self._clock = clock
        self._stopped = threading.Event()
        self._lock = threading.RLock()
        self._reported_seconds = 0.0
        self._failed_poll_count = 0
        self._has_answered = False
        self.last: LoadReport | None = None
        # State of the last poll; None once the engine does not answer.
        self._state: EngineState | None = None
        self._estimator = PaceEstimator()
        self._pace = UNKNOWN_PACE
        self._pace_reporter = PaceReporter()
        self._backlog = PromptBacklog()
        # Whether a notice has changed the backlog since the last report.
        self._is_backlog_unreported = False
        self._is_report_planned = False

    def start(self) -> None:
        """Start polling."""
        threading.Thread(target=self._run, name='engine', daemon=True).start()

    def stop(self) -> None:
        """Stop polling."""
        self._stopped.set()

    @property
    def pace(self) -> EnginePace:
        """Return the estimated pace of the engine."""
        return self._pace

    @property
    def has_announcing_entries(self) -> bool:
        """Return whether linked entries announce prompts."""
        return self._backlog.has_announcing_links

    def announce_prompt(self, link: Hashable, notice: PromptNotice) -> None:
        """Add a prompt that an entry is about to send to the engine."""
        with self._lock:
            now = self._clock()
            self._backlog.add(link, notice, now)
            self._estimator.record_prompt(
                notice.request_id, notice.prompt_tokens, now
            )
            self._report_backlog()

    def end_prompt(self, link: Hashable, request_id: str) -> None:
        """Remove a prompt that has its first event, or ended without one."""
        with self._lock:
            self._estimator.record_prompt_end(request_id, self._clock())
            if self._backlog.end(link, request_id):
                self._report_backlog()

    def drop_link(self, link: Hashable) -> None:
        """Remove the prompts that were announced over a closed link."""
        with self._lock:
            if self._backlog.drop_link(link):
                self._report_backlog()

    def on_state(self, state: EngineState) -> None:
        """Learn from a polled state and report it if due."""
        with self._lock:
            now = self._clock()
            self._state = state
            self._estimator.observe(state, now)
            self._pace = self._estimator.pace
            self._backlog.observe(state, now)
            report = self._build_report(state)
            self._publish(report)
            pace_report = self._pace_reporter.next_report(self._pace, now)
        if pace_report is not None:
            self._report(pace_report)
        ENGINE_EVENT_SECONDS.set(self._pace.event_seconds)
        ENGINE_PROMPT_EVENT_SECONDS.set(self._pace.prompt_event_seconds)
        ENGINE_PROMPT_TOKEN_RATE.set(self._pace.prompt_tokens_per_second)
        BACKLOG_TOKENS.set(report.backlog_tokens)

    def _run(self) -> None:
        while not self._stopped.wait(POLL_INTERVAL_SECONDS):
            try:
                state = self._engine.state()
            except BackendError as error:
                self._on_poll_failed(error)
            else:
                self._failed_poll_count = 0
                self._has_answered = True
                self.on_state(state)

    def _build_report(self, state: EngineState) -> LoadReport:
        tokens = self._backlog.measure(state, self._estimator.remaining_tokens)
        return replace(
            _build_load_report(state),
            backlog_tokens=tokens.backlog_tokens,
            reserved_tokens=tokens.reserved_tokens,
            growth_tokens=tokens.growth_tokens,
        )

    def _report_backlog(self) -> None:
        self._is_backlog_unreported = True
        if self._is_report_planned:
            return
        wait_seconds = (
            self._reported_seconds
            + BACKLOG_REPORT_INTERVAL_SECONDS
            - self._clock()
        )
        if wait_seconds <= 0:
            self._publish_backlog()
        else:
            self._is_report_planned = True
            link_loop.spawn(self._publish_backlog_later(wait_seconds))

    def _publish_backlog_later(self, wait_seconds: float) -> Task:
        yield Pause(wait_seconds)
        with self._lock:
            self._is_report_planned = False
            self._publish_backlog()

    def _publish_backlog(self) -> None:
        if self._is_backlog_unreported and self._state is not None:
            self._publish(self._build_report(self._state), is_forced=True)

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
            report = LoadReport(
                0,
                self.last.memory_capacity_tokens,
                0,
                0,
                0,
                leaving=False,
                responsive=False,
            )
            with self._lock:
                # A notice must not report an engine that does not answer.
                self._state = None
                self._publish(report)

    def _publish(self, report: LoadReport, *, is_forced: bool = False) -> None:
        last = self.last
        self.last = report
        changed = last is None or _condition(last) != _condition(report)
        now = self._clock()
        elapsed_seconds = now - self._reported_seconds
        if not changed and not is_forced:
            if not self._is_due(elapsed_seconds, is_new=report != last):
                return
        self._reported_seconds = now
        self._is_backlog_unreported = False
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

    def _is_due(self, elapsed_seconds: float, *, is_new: bool) -> bool:
        if elapsed_seconds >= REPEAT_INTERVAL_SECONDS:
            return True
        if self._is_backlog_unreported:
            return elapsed_seconds >= BACKLOG_REPORT_INTERVAL_SECONDS
        return is_new and elapsed_seconds >= REPORT_INTERVAL_SECONDS


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
