"""Supervision of requests: cuts exchanges that are no longer useful."""

import logging
import math
import threading
import time
from collections import Counter
from collections.abc import Callable, Collection
from contextlib import ExitStack
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from wasabistream.exceptions import WasabiError
from wasabistream.forwarding.interfaces import Caller, Cancellable
from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.forwarding.routes import RouteKind
from wasabistream.metrics import CUT_REQUESTS
from wasabistream.run_endings.boot_clocks import read_boot_clock

logger = logging.getLogger(__name__)

POLL_INTERVAL_SECONDS = 0.1
# An engine whose agent gets no reports may still produce events; only a stream
# that is silent as well is moved on.
UNRESPONSIVE_SILENCE_SECONDS = 1.0
# Events that were made before a move may still arrive for this long; the end of
# the source's answer may be lost with the connection.
MOVED_SILENCE_SECONDS = 0.5
# Time without an event after which the agent of a stream's engine is asked
# whether there are any, and the time between two such questions.
SILENT_STREAM_SECONDS = 1.5
SILENCE_REPORT_INTERVAL_SECONDS = 0.5


class SilenceReporter(Protocol):
    """Report a stream whose events do not arrive."""

    def __call__(
        self,
        endpoint: str,
        run_id: str,
        event_count: int,
        *,
        is_given_up: bool = False,
    ) -> None:
        """Report the engine, the request and its events so far."""


class CutReason(StrEnum):
    """State why an exchange was cut."""

    caller_left = 'caller_left'
    resumed = 'resumed'
    timeout = 'timeout'
    unresponsive = 'unresponsive'
    slow = 'slow'
    stalled = 'stalled'
    moved = 'moved'
    poison_part = 'poison_part'
    stopping = 'stopping'


# Reasons after which no further attempt is made.
ENDING_REASONS = frozenset(
    (
        CutReason.caller_left,
        CutReason.resumed,
        CutReason.timeout,
        CutReason.poison_part,
        CutReason.stopping,
    )
)


@dataclass(frozen=True, slots=True)
class StallLimits:
    """Limit the time between two events of a stream."""

    # If the stream can go on at another backend server.
    move_on_seconds: float
    # Otherwise.
    end_seconds: float


class RequestWatch:
    """Track one request in progress and the exchange that a cut closes."""

    def __init__(self, request: ForwardRequest, caller: Caller) -> None:
        self.request = request
        self.caller = caller
        self.admitted_at_seconds = time.monotonic()
        self.endpoint = ''
        # Why the exchange was cut; None if it was not.
        self.reason: CutReason | None = None
        # Monotonic time at which the current attempt is cut as slow. The
        # request's deadline takes precedence.
        self.attempt_deadline_seconds: float | None = None
        # When the backend server stops the current attempt by the remaining time
        # that it was told, on the boot clock; infinite before the answer begins.
        self.server_deadline_seconds = math.inf
        # When to cut the stream as stalled; None before its first event.
        self.stall_limits: StallLimits | None = None
        # Returns whether the request could run at another backend server if
        # this attempt was cut now.
        self.may_move_on: Callable[[], bool] = _never
        self._progressed_at_seconds = time.monotonic()
        # Events of the stream that have been passed on.
        self.event_count = 0
        # Called at the first event of the current attempt.
        self._on_first_event: Callable[[], None] | None = None
        self._silence_reported_at_seconds = -math.inf
        self._given_up_at_seconds = -math.inf
        self._exchange: Cancellable | None = None
        self._attached_at_seconds = time.monotonic()
        # The same on the boot clock. The server of the attempt has not restarted
        # since, as a connection does not outlive it.
        self.attached_at_boot_seconds = read_boot_clock()
        # Handles of the memory from which the stream has gone on.
        self.used_handles: list[str] = []
        # Incarnations of agents that have announced stops of the run, by the
        # endpoint of their engine.
        self.announced_stops: dict[str, frozenset[str]] = {}
        # Closed once the answer has been sent.
        self.resources = ExitStack()
        self._lock = threading.Lock()

    @property
    def is_ended(self) -> bool:
        """Return whether the request itself was cut, not just an attempt."""
        return self.reason in ENDING_REASONS

    @property
    def has_timed_out(self) -> bool:
        """Return whether the deadline of the request has ended it."""
        return self.reason is CutReason.timeout or self.request.deadline.expired

    @property
    def silent_seconds(self) -> float:
        """Return the time since the attempt began or its last event."""
        return time.monotonic() - self._progressed_at_seconds

    @property
    def attempt_age_seconds(self) -> float:
        """Return the time since the attempt was connected to its server."""
        return time.monotonic() - self._attached_at_seconds

    @property
    def was_reported_silent(self) -> bool:
        """Return whether the attempt was reported as silent to an agent."""
        return self._silence_reported_at_seconds >= self._attached_at_seconds

    @property
    def was_given_up(self) -> bool:
        """Return whether the agent was told to stop the attempt's run."""
        return self._given_up_at_seconds >= self._attached_at_seconds

    def record_given_up(self) -> None:
        """Record that the agent is told to stop the attempt's run."""
        self._given_up_at_seconds = time.monotonic()

    def record_progress(self) -> None:
        """Record that the attempt has just begun or produced an event."""
        self._progressed_at_seconds = time.monotonic()

    def record_event(self) -> None:
        """Record an event that was passed on to the caller."""
        self.event_count += 1
        self.record_progress()
        self.end_first_event_wait()

    def begin_first_event_wait(self, on_end: Callable[[], None]) -> None:
        """Call `on_end` at the next event or at the end of the attempt."""
        self._on_first_event = on_end

    def end_first_event_wait(self) -> None:
        """Call the function that waits for the first event, if any."""
        on_end = self._on_first_event
        self._on_first_event = None
        if on_end is not None:
            on_end()

    def take_silence_report(self) -> bool:
        """Return whether to report a silent stream now, once per interval."""
        now = time.monotonic()
        # A generation without events may still wait in its engine's queue.
        if not self.endpoint or self.stall_limits is None:
            return False
        if self.silent_seconds < SILENT_STREAM_SECONDS:
            return False
        elapsed_seconds = now - self._silence_reported_at_seconds
        if elapsed_seconds < SILENCE_REPORT_INTERVAL_SECONDS:
            return False
        self._silence_reported_at_seconds = now
        return True

    def attach(self, endpoint: str, exchange: Cancellable | None) -> None:
        """Set the exchange to close on a cut; close it if the request ended."""
        with self._lock:
            self.endpoint = endpoint
            self._exchange = exchange
            self.record_progress()
            self.stall_limits = None
            if exchange is None:
                return
            self._attached_at_seconds = time.monotonic()
            self.attached_at_boot_seconds = read_boot_clock()
            self.server_deadline_seconds = math.inf
            if self.is_ended:
                exchange.close()
            else:
                self.reason = None

    def record_continuation(self, handle: str) -> None:
        """Record that the stream is about to go on from a run's memory."""
        self.used_handles.append(handle)
        # The announced stops are over; the run may come back to their engines.
        self.announced_stops.clear()

    def record_announcer(self, endpoint: str, incarnation: str) -> None:
        """Record an agent that can tell whether the run was stopped."""
        announcers = self.announced_stops.get(endpoint, frozenset())
        self.announced_stops[endpoint] = announcers | {incarnation}

    def cut(self, reason: CutReason) -> bool:
        """Close the exchange; return False if it was cut before.

        A request whose attempt was cut may still end before the next one.
        """
        with self._lock:
            is_last = reason in ENDING_REASONS and not self.is_ended
            if self.reason is not None and not is_last:
                return False
            self.reason = reason
            if self._exchange is not None:
                self._exchange.close()
            return True


class RequestSupervisor:
    """Check all requests in progress several times a second.

    A thread that waits for a backend server cannot notice that its caller has
    left, so one separate thread checks all requests.
    """

    def __init__(
        self,
        is_responsive: Callable[[str], bool],
        has_moved: Callable[[str], bool],
        must_end: Callable[[ForwardRequest, float], bool],
        report_silence: SilenceReporter,
    ) -> None:
        self._is_responsive = is_responsive
        self._has_moved = has_moved
        self._must_end = must_end
        self._report_silence = report_silence
        self._lock = threading.Lock()
        self._watches: set[RequestWatch] = set()
        self._watches_by_id: dict[str, set[RequestWatch]] = {}
        self._stopped = threading.Event()
        self._end_seconds = math.inf

    def start(self) -> None:
        """Start checking."""
        threading.Thread(
            target=self._run, name='supervisor', daemon=True
        ).start()

    def stop(self) -> None:
        """Stop checking."""
        self._stopped.set()

    def end_requests_at(self, monotonic_seconds: float) -> None:
        """Cut all requests from this time on, as their entry ends.

        Those without a part of an answer get a final reply.
        """
        self._end_seconds = monotonic_seconds

    def add(self, watch: RequestWatch) -> None:
        """Add a request to the checks."""
        with self._lock:
            self._watches.add(watch)
            self._watches_by_id.setdefault(watch.request.request_id, set()).add(
                watch
            )

    def remove(self, watch: RequestWatch) -> None:
        """Remove a request from the checks."""
        request_id = watch.request.request_id
        with self._lock:
            self._watches.discard(watch)
            same_id = self._watches_by_id.get(request_id, set())
            same_id.discard(watch)
            if not same_id:
                self._watches_by_id.pop(request_id, None)

    def record_announced_stop(
        self, run_id: str, endpoint: str, incarnation: str
    ) -> bool:
        """Record that an agent may stop a run; return whether it goes on here.

        Only streams go on from the memory of their run.
        """
        with self._lock:
            watches = self._find_watches(run_id, endpoint)
            for watch in watches:
                watch.record_announcer(endpoint, incarnation)
        return _has_stream(watches)

    def record_sight(
        self, run_id: str, endpoint: str, incarnation: str
    ) -> bool:
        """Record that an agent has seen a run; return whether it goes on here.

        If others have announced a stop before, this agent may know that the run
        has gone on since.
        """
        with self._lock:
            watches = self._find_watches(run_id, endpoint)
            for watch in watches:
                if endpoint in watch.announced_stops:
                    watch.record_announcer(endpoint, incarnation)
        return _has_stream(watches)

    def running_tokens(self) -> Counter[str]:
        """Return the expected tokens at engines by organisation."""
        with self._lock:
            watches = list(self._watches)
        tokens: Counter[str] = Counter()
        for watch in watches:
            demand = watch.request.demand
            if watch.endpoint and demand is not None:
                tokens[watch.request.organisation] += demand.expected_tokens
        return tokens

    def _find_watches(self, run_id: str, endpoint: str) -> list[RequestWatch]:
        return [
            watch
            for watch in self._watches_by_id.get(run_id, ())
            if watch.endpoint == endpoint
        ]

    def _run(self) -> None:
        while not self._stopped.wait(POLL_INTERVAL_SECONDS):
            with self._lock:
                watches = list(self._watches)
            for watch in watches:
                try:
                    self._check(watch)
                except (OSError, WasabiError) as error:
                    logger.warning(
                        'supervisor: check of a request failed: %r', error
                    )

    def _check(self, watch: RequestWatch) -> None:
        reason = self._find_cut_reason(watch)
        if reason is not None:
            self._cut(watch, reason)
        elif watch.take_silence_report():
            self._report_silence(
                watch.endpoint, watch.request.request_id, watch.event_count
            )

    def _cut(self, watch: RequestWatch, reason: CutReason) -> None:
        is_cut_before = watch.reason is not None or not watch.endpoint
        if reason is CutReason.stalled and not is_cut_before:
            # The end of a connection that has gone silent does not reach the
            # engine, which would work on beside the one that goes on.
            watch.record_given_up()
            self._report_silence(
                watch.endpoint,
                watch.request.request_id,
                watch.event_count,
                is_given_up=True,
            )
        cut_request(watch, reason)

    def _find_cut_reason(self, watch: RequestWatch) -> CutReason | None:
        if watch.caller.has_left():
            return CutReason.caller_left
        if watch.request.deadline.expired:
            return CutReason.timeout
        if time.monotonic() > self._end_seconds:
            return CutReason.stopping
        # Events clear the parts of a request, so this one has none yet and
        # would crash its server with the first.
        if self._must_end(watch.request, watch.admitted_at_seconds):
            return CutReason.poison_part
        attempt_deadline = watch.attempt_deadline_seconds
        if attempt_deadline is not None and time.monotonic() > attempt_deadline:
            return CutReason.slow
        if (
            watch.endpoint
            and watch.silent_seconds > MOVED_SILENCE_SECONDS
            and self._has_moved(watch.request.request_id)
        ):
            return CutReason.moved
        if _is_stalled(watch):
            return CutReason.stalled
        return CutReason.unresponsive if self._is_lost(watch) else None

    def _is_lost(self, watch: RequestWatch) -> bool:
        # A request that cannot run elsewhere keeps its chance to be answered:
        # its server may only be slow to report.
        return (
            watch.endpoint != ''
            and watch.silent_seconds > UNRESPONSIVE_SILENCE_SECONDS
            and not self._is_responsive(watch.endpoint)
            and watch.may_move_on()
        )


def cut_request(watch: RequestWatch, reason: CutReason) -> None:
    """Cut a request unless it was cut before, and count it."""
    if watch.cut(reason):
        CUT_REQUESTS.labels(reason.value).inc()


def _is_stalled(watch: RequestWatch) -> bool:
    limits = watch.stall_limits
    if limits is None:
        return False
    silent_seconds = watch.silent_seconds
    if silent_seconds > limits.end_seconds:
        return True
    return silent_seconds > limits.move_on_seconds and watch.may_move_on()


def _has_stream(watches: Collection[RequestWatch]) -> bool:
    kinds = {watch.request.route.kind for watch in watches}
    return RouteKind.streaming in kinds


def _never() -> bool:
    return False
