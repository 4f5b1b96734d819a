"""Tests of the queue of deferrable requests.

Load patterns: a burst of long requests beside steady urgent ones, a burst
beyond all capacity, one organisation that sends most, engines that are taken
away every three seconds, and large requests among small ones. Failure patterns:
no load reports, callers that leave, deadlines that pass, a paused entry, and a
drain.
"""

import threading
import time
import unittest
from collections.abc import Collection
from dataclasses import replace
from itertools import chain, repeat
from unittest.mock import DEFAULT, Mock, patch

from tests.forwarding_builders import (
    ENGINE_SERVICE,
    MEMORY_TOKENS,
    build_configuration,
    build_holder,
    build_report,
    build_request,
)
from tests.forwarding_fakes import FakeCaller
from tests.queueing_builders import (
    FAST_PROMPT_RATE,
    LONG_ROUTE,
    LONG_TOKENS,
    OTHER,
    PROMPT_RATE,
    STEP_SECONDS,
    TARGET_SECONDS,
    URGENT_ROUTE,
    URGENT_TOKENS,
    FakeStartFleet,
    QueueCase,
    reason_of,
)
from wasabistream.exceptions import BackendError
from wasabistream.forwarding.fleets import Fleet
from wasabistream.forwarding.load_trackers import LoadTracker
from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.forwarding.supervisors import CutReason, RequestWatch
from wasabistream.queueing.start_fleets import EntryStartFleet
from wasabistream.queueing.start_lines import MAX_WAITING_COUNT
from wasabistream.queueing.start_queues import StartQueue
from wasabistream.queueing.starts import DIRECT_START, Start, StartReason
from wasabistream.scheduling.engine_outlooks import EngineOutlook

# Long requests cannot be in time.
SLOW_PROMPT_RATE = 700
DISPATCH_LIMIT_SECONDS = 2 * TARGET_SECONDS + STEP_SECONDS * 1.5


def run_burst(*, size: int, urgent_steps: int, is_queued: bool) -> QueueCase:
    """Send a burst of long requests while urgent ones keep arriving."""
    case = QueueCase(4, prompt_rate=PROMPT_RATE)
    for number in range(600):
        if number % urgent_steps == 0:
            case.send_at_once(URGENT_ROUTE, URGENT_TOKENS)
        if 100 <= number < 100 + size:
            if is_queued:
                case.add()
            else:
                case.send_at_once(LONG_ROUTE, LONG_TOKENS)
        case.step()
    return case


class LoadPatternTest(unittest.TestCase):
    """Guard against queueing that harms urgent or waiting requests."""

    def assert_none_waited_too_long(self, case: QueueCase) -> None:
        """Check that each wait has ended by its dispatch limit."""
        self.assertFalse(len(case.line))
        for ticket in case.tickets:
            self.assertLess(case.waited_seconds(ticket), DISPATCH_LIMIT_SECONDS)

    def test_burst_beside_urgent_requests(self) -> None:
        """Guard against long requests that take the memory of urgent ones.

        The last burst does not fit before its in-time limits.
        """
        for size, urgent_steps, ratio in (
            (28, 12, 0),
            (32, 16, 0),
            (40, 8, 0.2),
        ):
            at_once, queued = (
                run_burst(
                    size=size, urgent_steps=urgent_steps, is_queued=is_queued
                )
                for is_queued in (False, True)
            )
            self.assertGreater(at_once.displaced_count, 5)
            self.assertLessEqual(
                queued.displaced_count, at_once.displaced_count * ratio
            )
            self.assert_none_waited_too_long(queued)

    def test_burst_of_all(self) -> None:
        """Guard against a queue that holds requests longer than allowed."""
        case = QueueCase(4, 30, PROMPT_RATE)
        for _ in range(60):
            case.add()
            case.send_at_once(URGENT_ROUTE, URGENT_TOKENS)
            case.step()
        self.assertLessEqual(len(case.line), MAX_WAITING_COUNT)
        case.run(DISPATCH_LIMIT_SECONDS)
        self.assert_none_waited_too_long(case)
        # Memory is full, and all callers have the time to come back.
        self.assertGreater(case.reasons()[StartReason.refused], 0)
        self.assertEqual(case.reasons()[StartReason.dispatch_limit], 0)

    def test_organisation_that_sends_most(self) -> None:
        """Guard against an organisation that displaces the others."""
        case = QueueCase()
        heavy = [case.add(organisation='heavy') for _ in range(14)]
        case.step(0.5)
        light = case.add(organisation='light')
        case.run(DISPATCH_LIMIT_SECONDS)
        self.assertLessEqual(
            case.waited_seconds(light),
            min(case.waited_seconds(ticket) for ticket in heavy[7:]),
        )

    def test_engines_taken_away(self) -> None:
        """Guard against a start at an engine that has left."""
        case = QueueCase(6, prompt_rate=PROMPT_RATE)
        for _ in range(5):
            for _ in range(6):
                case.add()
            case.run(3)
            case.fleet.servers.pop()
            # The fake fails if a request starts at an engine that is gone.
            case.run(0.2)
        case.run(DISPATCH_LIMIT_SECONDS)
        self.assert_none_waited_too_long(case)

    def test_large_among_small(self) -> None:
        """Guard against small requests that starve a large one."""
        case = QueueCase(run_seconds=1)
        case.fleet.occupy(MEMORY_TOKENS - 9000)
        for _ in range(10):
            case.add(1000)
            case.step(0.1)
        large = case.add(8000)
        for _ in range(100):
            case.add(1000)
            case.step(0.1)
            if large.start is not None:
                break
        self.assertLess(case.waited_seconds(large), 2)
        self.assertEqual(reason_of(large), StartReason.room)

    def test_dispatches_in_one_scan(self) -> None:
        """Guard against two requests in the same room."""
        case = QueueCase()
        case.fleet.occupy(MEMORY_TOKENS)
        tickets = [case.add() for _ in range(2)]
        case.fleet.occupy(MEMORY_TOKENS - LONG_TOKENS - 100)
        case.step()
        started = [ticket for ticket in tickets if ticket.start is not None]
        self.assertEqual(len(started), 1)

    def test_room_that_others_may_take(self) -> None:
        """Guard against a request that leaves room to others until it is late.

        Pattern: one request, one engine with room, and many entries.
        """
        case = QueueCase(prompt_rate=PROMPT_RATE)
        case.fleet.live_entry_count = Mock(return_value=31)  # type: ignore
        ticket = case.add()
        self.assertIsNone(ticket.start)
        case.run(DISPATCH_LIMIT_SECONDS)
        self.assertEqual(reason_of(ticket), StartReason.room)
        self.assertLess(case.waited_seconds(ticket), TARGET_SECONDS)


class WaitEndTest(unittest.TestCase):
    """Guard against requests that are sent in vain, or kept for nothing."""

    def setUp(self) -> None:
        """Create a full engine."""
        self.case = QueueCase()
        self.case.fleet.occupy(MEMORY_TOKENS)

    def test_no_reports(self) -> None:
        """Guard against waiting for room that nobody reports."""
        waiting = self.case.add()
        self.case.fleet.load.has_fresh_reports.return_value = False
        self.case.step()
        for ticket in (waiting, self.case.add()):
            self.assertEqual(ticket.start, Start(StartReason.no_reports))

    def test_no_reports_of_the_service(self) -> None:
        """Guard against waiting for room while only other agents report."""
        fleet = self.case.fleet
        tracker = LoadTracker()
        fleet.load.has_fresh_reports = tracker.has_fresh_reports
        report = build_report()
        tracker.report(fleet.servers[0].endpoint, report)
        waiting = self.case.add()
        self.case.step()
        self.assertIsNone(waiting.start)
        tracker = LoadTracker()
        tracker.report('10.9.9.9:8000', report)
        fleet.load.has_fresh_reports = tracker.has_fresh_reports
        self.case.step()
        for ticket in (waiting, self.case.add()):
            self.assertEqual(ticket.start, Start(StartReason.no_reports))

    def test_further_request_is_sent_at_once(self) -> None:
        """Guard against a queue that occupies all threads of the entry."""
        for _ in range(MAX_WAITING_COUNT):
            self.assertIsNone(self.case.add().start)
        self.assertEqual(self.case.add().start, Start(StartReason.full))

    def test_caller_that_leaves(self) -> None:
        """Guard against sending for a caller that has left."""
        left = threading.Event()
        ticket = self.case.add(is_ended=left.is_set)
        self.case.fleet.occupy(0)
        left.set()
        self.case.step()
        self.assertEqual(ticket.start, Start(StartReason.ended))
        self.assertEqual(set(self.case.fleet.runs), {OTHER})

    def test_pause_beyond_the_deadline(self) -> None:
        """Guard against sending after a pause that outlasts the deadline."""
        ticket = self.case.add()
        self.case.fleet.occupy(0)
        self.case.step(LONG_ROUTE.timeout_seconds)
        self.assertEqual(ticket.start, Start(StartReason.ended))
        self.assertEqual(set(self.case.fleet.runs), {OTHER})

    def test_refusal(self) -> None:
        """Guard against accepting what can only become late."""
        self.case.fleet.prompt_rate = SLOW_PROMPT_RATE
        self.case.add()
        self.case.run(3.9)
        self.assertIsNone(self.case.add().start)
        self.case.run(0.2)
        refused = Start(StartReason.refused, retry_after_seconds=39 * 1.25)
        self.assertEqual(self.case.add().start, refused)
        self.case.fleet.prompt_rate = FAST_PROMPT_RATE
        self.case.fleet.occupy(0)
        sent = self.case.add()
        self.assertEqual(reason_of(sent), StartReason.room)

    def test_decision_that_fails(self) -> None:
        """Guard against one request for which no other one starts.

        Pattern: a prediction raises an error that is none of this project.
        """
        failing, other = (self.case.add() for _ in range(2))
        self.case.fleet.occupy(0)
        predict_all = self.case.fleet.predict_all

        def fail(
            request: ForwardRequest, excluded: Collection[str] = ()
        ) -> list[EngineOutlook]:
            if request is failing.request:
                raise ValueError('math domain error')
            return predict_all(request, excluded)

        self.case.fleet.predict_all = fail  # type: ignore
        self.case.step()
        self.assertIsNone(failing.start)
        self.assertEqual(reason_of(other), StartReason.room)

    def test_cold_engine(self) -> None:
        """Guard against exceeding the rate of a cold engine in one scan."""
        tickets = [self.case.add() for _ in range(2)]
        self.case.fleet.cold.is_cold.return_value = True
        self.case.fleet.occupy(0)
        for started_count in (1, 2):
            self.case.step()
            starts = [ticket.start for ticket in tickets if ticket.start]
            self.assertEqual(len(starts), started_count)


class StartQueueTest(unittest.TestCase):
    """Guard the threads that wait."""

    def setUp(self) -> None:
        """Let one request wait for a full engine."""
        self.fleet = FakeStartFleet(time.monotonic)
        self.fleet.occupy(MEMORY_TOKENS)
        self.queue = StartQueue(self.fleet)
        self.caller = FakeCaller()
        self.watch = RequestWatch(build_request(LONG_ROUTE), self.caller)
        self.starts: list[Start] = []
        self.counts: list[int] = []
        self.thread = threading.Thread(target=self.wait)

    def wait(self) -> None:
        """Wait for the start and record it."""
        with self.queue.wait_for_start(self.watch) as start:
            self.starts.append(start)
            self.counts.append(len(self.fleet.runs))

    def start_thread(self) -> None:
        """Start the thread and let it wait."""
        self.thread.start()
        self.thread.join(0.1)
        self.assertTrue(self.thread.is_alive())

    def join(self) -> StartReason | None:
        """Return why the wait ended; nothing must count at the engine."""
        self.thread.join(2)
        self.assertFalse(self.thread.is_alive())
        self.assertEqual(set(self.fleet.runs), {OTHER})
        return self.starts[0].reason

    def test_room(self) -> None:
        """Guard against a request that is never sent, or counts forever."""
        self.start_thread()
        self.fleet.occupy(0)
        self.queue.on_load_report()
        self.assertEqual(self.join(), StartReason.room)
        self.assertEqual(self.counts, [2])

    def test_request_that_was_cut(self) -> None:
        """Guard against a thread that waits for nobody."""
        self.start_thread()
        self.watch.cut(CutReason.stopping)
        self.assertEqual(self.join(), StartReason.ended)

    def test_caller_that_left_before_the_start(self) -> None:
        """Guard against a caller whose end the supervisor has not seen yet."""
        self.start_thread()
        self.caller.disconnected = True
        self.fleet.occupy(0)
        self.assertEqual(self.join(), StartReason.ended)
        self.assertEqual(self.watch.reason, CutReason.caller_left)

    def test_drain(self) -> None:
        """Guard against requests that wait until the entry ends."""
        self.start_thread()
        self.queue.release_all()
        self.assertEqual(self.join(), StartReason.drain)
        self.wait()
        self.assertEqual(self.starts[1], DIRECT_START)

    def test_scans_that_fail(self) -> None:
        """Guard against a wait without end when no decision is made."""
        route = replace(LONG_ROUTE, target_latency_seconds=0.3)
        self.watch = RequestWatch(build_request(route), self.caller)
        self.start_thread()
        error = BackendError('failed', 'predict', 'fake')
        self.fleet.predict_all = Mock(side_effect=error)  # type: ignore
        self.assertEqual(self.join(), StartReason.dispatch_limit)

    def test_scan_with_an_unexpected_error(self) -> None:
        """Guard against a scanner that ends while requests wait."""
        self.start_thread()
        self.fleet.load.has_fresh_reports.side_effect = chain(
            [ValueError('unexpected')], repeat(True)
        )
        self.fleet.occupy(0)
        self.assertEqual(self.join(), StartReason.room)

    def test_scanner_that_cannot_start(self) -> None:
        """Guard against a lost request if the process has many threads."""
        failing = Mock()
        failing.start.side_effect = RuntimeError("can't start new thread")
        scanner_class = Mock(
            side_effect=chain([failing], repeat(DEFAULT)),
            wraps=threading.Thread,
        )
        with patch.object(threading, 'Thread', scanner_class):
            self.start_thread()
            self.fleet.occupy(0)
            self.assertEqual(self.join(), StartReason.room)

    def test_routes_that_are_not_deferrable(self) -> None:
        """Guard against queueing where no route or another is deferrable."""
        holder = build_holder()
        fleet = EntryStartFleet(holder, Mock(), Mock(), Mock(), Mock())
        urgent = build_request(URGENT_ROUTE)
        for routes, is_scheduled in (
            ((LONG_ROUTE,), False),
            ((LONG_ROUTE, URGENT_ROUTE), True),
        ):
            configuration = build_configuration(*routes)
            holder.current = Fleet(configuration)
            self.assertEqual(
                fleet.has_deferrable_routes(ENGINE_SERVICE), is_scheduled
            )
            self.assertEqual(
                fleet.is_deferrable(self.watch.request), is_scheduled
            )
            self.assertFalse(fleet.is_deferrable(urgent))
        self.watch = RequestWatch(urgent, self.caller)
        self.wait()
        self.assertEqual(self.starts, [DIRECT_START])
