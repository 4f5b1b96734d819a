"""Queue of an entry for requests that may start later than others."""

import logging
import random
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager

from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.forwarding.supervisors import (
    CutReason,
    RequestWatch,
    cut_request,
)
from wasabistream.metrics import START_QUEUE_WAITING
from wasabistream.queueing.interfaces import StartFleet
from wasabistream.queueing.start_lines import StartLine, StartTicket
from wasabistream.queueing.starts import DIRECT_START, Start, StartReason
from wasabistream.queueing.urgent_arrivals import UrgentArrivals
from wasabistream.scheduling.engine_outlooks import EngineOutlook

logger = logging.getLogger(__name__)

# Load reports of many agents arrive together.
MIN_SCAN_INTERVAL_SECONDS = 0.02
MAX_SCAN_INTERVAL_SECONDS = 0.05
# A waiting thread checks this often whether the scanner still decides.
CHECK_INTERVAL_SECONDS = 0.1
# Delay beyond its dispatch limit after which a request no longer relies on the
# scanner.
OVERDUE_SECONDS = 0.25


class StartQueue:
    """Block the threads of deferrable requests until these should start.

    One thread decides on all that wait, as long as there are any.
    """

    def __init__(
        self,
        fleet: StartFleet,
        clock: Callable[[], float] = time.monotonic,
        draw_ratio: Callable[[], float] = random.random,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._arrivals = UrgentArrivals()
        self._line = StartLine(fleet, self._arrivals, draw_ratio)
        self._lock = threading.Lock()
        # Set when a load report has arrived, or at the end.
        self._reported = threading.Event()
        self._scanner: threading.Thread | None = None
        self._released = False

    @contextmanager
    def wait_for_start(self, watch: RequestWatch) -> Iterator[Start]:
        """Block until a request starts, is refused or ends.

        The block of the context spans the whole request: at its end the
        request no longer counts at the engine selected here, even if it was
        never sent there.
        """
        start = self._find_start(watch)
        try:
            yield start
        finally:
            if start.server is not None:
                self._fleet.remove_sent_request(start.server, watch.request)

    def find_wait_reason(
        self, request: ForwardRequest, outlooks: Sequence[EngineOutlook]
    ) -> str:
        """Return what a request would wait for; empty if it would not wait."""
        if not self._fleet.is_deferrable(request):
            return ''
        with self._lock:
            if self._released or not self._fleet.has_fresh_reports(
                request.service
            ):
                return ''
            return self._line.find_wait_reason(request, outlooks, self._clock())

    def on_load_report(self) -> None:
        """Look for room soon, as the load of an engine has changed."""
        if len(self._line):
            self._reported.set()

    def release_all(self, reason: StartReason = StartReason.drain) -> None:
        """Send all that wait, and from now on each request, at once."""
        with self._lock:
            self._released = True
            self._line.release_all(reason, self._clock())
            START_QUEUE_WAITING.set(len(self._line))
        self._reported.set()

    def stop(self) -> None:
        """End the queue."""
        self.release_all()

    def _find_start(self, watch: RequestWatch) -> Start:
        request = watch.request
        if not self._fleet.has_deferrable_routes(request.service):
            return DIRECT_START
        if not self._fleet.is_deferrable(request):
            self._arrivals.record(request, self._clock())
            return DIRECT_START
        with self._lock:
            now_seconds = self._clock()
            self._arrivals.record(request, now_seconds)
            if self._released:
                return DIRECT_START
            ticket = self._line.add(
                request, lambda: watch.is_ended, now_seconds
            )
            if ticket.start is None:
                self._ensure_scanner()
            START_QUEUE_WAITING.set(len(self._line))
        return self._wait(ticket, watch)

    def _wait(self, ticket: StartTicket, watch: RequestWatch) -> Start:
        while not ticket.decided.wait(CHECK_INTERVAL_SECONDS):
            self._check_scanner(ticket)
        with self._lock:
            self._line.pick_up(ticket)
        start = ticket.start or DIRECT_START
        # The process may have been paused since the decision.
        reason = _find_end_reason(watch)
        if reason is not None:
            cut_request(watch, reason)
        if not watch.is_ended:
            return start
        if start.server is not None:
            self._fleet.remove_sent_request(start.server, watch.request)
        return Start(StartReason.ended)

    def _check_scanner(self, ticket: StartTicket) -> None:
        overdue_at_seconds = (
            ticket.facts.dispatch_limit_at_seconds + OVERDUE_SECONDS
        )
        with self._lock:
            now_seconds = self._clock()
            if now_seconds >= overdue_at_seconds:
                self._line.release(
                    ticket, StartReason.dispatch_limit, now_seconds
                )
            elif ticket.start is None:
                self._ensure_scanner()

    def _ensure_scanner(self) -> None:
        if self._scanner is not None and self._scanner.is_alive():
            return
        scanner = threading.Thread(
            target=self._run, name='start queue', daemon=True
        )
        try:
            scanner.start()
        except RuntimeError as error:
            # The process has too many threads; those that wait try again.
            logger.warning('queue: no thread for scans: %r', error)
            return
        self._scanner = scanner

    def _run(self) -> None:
        report_seconds = MAX_SCAN_INTERVAL_SECONDS - MIN_SCAN_INTERVAL_SECONDS
        while self._keeps_scanning():
            time.sleep(MIN_SCAN_INTERVAL_SECONDS)
            self._reported.wait(report_seconds)
            self._reported.clear()
            try:
                self._scan()
            except Exception as error:
                logger.warning('queue: scan failed: %r', error)

    def _scan(self) -> None:
        with self._lock:
            self._line.scan(self._clock())
            START_QUEUE_WAITING.set(len(self._line))

    def _keeps_scanning(self) -> bool:
        with self._lock:
            if len(self._line):
                return True
            # A request that joins the queue after this starts another thread.
            self._scanner = None
            return False


def _find_end_reason(watch: RequestWatch) -> CutReason | None:
    if watch.is_ended:
        return None
    if watch.request.deadline.expired:
        return CutReason.timeout
    if watch.caller.has_left():
        return CutReason.caller_left
    return None
