"""Tests of what an agent tells about the end of a run.

Failure patterns: an order that stops a run fails, is late or is refused; the
run ends by itself at the same time; the engine or the agent has restarted.
"""

import threading
import time
import unittest
from unittest.mock import Mock, patch

from tests.builders import wait_until
from tests.ending_builders import (
    RUN,
    RUN_ID,
    ScriptedEngine,
    build_copy,
    build_state,
)
from tests.forwarding_builders import Clock
from tests.move_builders import (
    LOCAL,
    ORIGIN,
    SOURCE,
    AcceptAllStops,
    build_target_report,
)
from wasabistream.continuations.engine_versions import VersionedEngine
from wasabistream.exceptions import BackendTimeoutError
from wasabistream.forwarding.engine_states import EngineRun
from wasabistream.forwarding.move_messages import (
    MoveTargetQuery,
    RunMoved,
    RunSilent,
)
from wasabistream.forwarding.move_target_finders import MoveTargetFinder
from wasabistream.forwarding.run_movers import LOST_EVENT_COUNT, RunMover
from wasabistream.messages import Message
from wasabistream.run_endings.ending_finders import (
    MAX_QUERY_COUNT,
    EndingResponder,
    RunEndingFinder,
)
from wasabistream.run_endings.ending_messages import (
    RunEndingQuery,
    RunEndingReply,
)
from wasabistream.run_endings.endings import RunEnding
from wasabistream.run_endings.engine_continuity import (
    RESTART_POLL_COUNT,
    EngineContinuity,
)
from wasabistream.run_endings.listed_runs import LAST_RUNS_SECONDS
from wasabistream.run_endings.run_stops import MAX_STOP_COUNT, RunStops
from wasabistream.run_endings.stop_announcers import StopAnnouncer

AGE_SECONDS = 30.0
WAIT_SECONDS = 10.0


class EndingFinderCase(unittest.TestCase):
    """Run an agent whose engine has served for longer than the run."""

    def setUp(self) -> None:
        """Poll the engine once before the run begins."""
        self.clock = Clock()
        self.engine = ScriptedEngine()
        self.stops = RunStops(self.clock)
        self.continuity = EngineContinuity(self.clock)
        self.polled = VersionedEngine(self.engine, self.continuity)
        self.polled.state()
        self.clock.advance(AGE_SECONDS + 1)
        self.finder = RunEndingFinder(
            self.polled, self.stops, self.continuity, self.clock
        )
        self.sent_messages: list[Message] = []
        targets = MoveTargetFinder(lambda: ORIGIN, 'dc-a', self.broadcast)
        self.targets = targets
        self.mover = RunMover(
            self.polled,
            SOURCE,
            targets,
            self.broadcast,
            AcceptAllStops(),
            self.stops,
        )

    def broadcast(self, notice: Message) -> None:
        """Record a message and answer a query for targets."""
        self.sent_messages.append(notice)
        if isinstance(notice, MoveTargetQuery):
            self.targets.on_report(
                build_target_report([LOCAL, 'dc-a', 20000, 0])
            )

    def move(self) -> None:
        """Move the run as its events do not arrive."""
        state = build_state(RUN)
        self.engine.state_now = state
        self.mover.move_silent(
            RunSilent(RUN_ID, RUN.event_count - LOST_EVENT_COUNT)
        )

    def find(self, *used_handles: str) -> RunEnding:
        """Return the answer to an entry."""
        query = RunEndingQuery(1, RUN_ID, int(AGE_SECONDS * 1000), [])
        query.used_handles.extend(used_handles)
        return self.finder.find(query)


class EndingFinderTest(EndingFinderCase):
    """Guard against wrong statements on the end of a run."""

    def test_moved(self) -> None:
        """Guard against a moved run that counts as complete."""
        self.engine.last_copy = build_copy(200, 'last')
        self.move()
        self.assertIs(self.find(), RunEnding.stopped)
        self.assertIsInstance(self.sent_messages[-1], RunMoved)

    def test_run_comes_back(self) -> None:
        """Guard against breaking off a run for an earlier stop of it."""
        self.engine.last_copy = build_copy(503, 'kept')
        self.move()
        self.assertIs(self.find(), RunEnding.stopped)
        self.assertIs(self.find('kept'), RunEnding.complete)

    def test_last_order_gets_no_answer(self) -> None:
        """Guard against a stop whose answer is lost."""
        self.engine.last_copy = None
        self.move()
        self.assertIs(self.find(), RunEnding.stopped)

    def test_run_ends_before_the_last_order(self) -> None:
        """Guard against breaking off a run that ends while it is moved."""
        self.engine.ends_after_first_copy = True
        self.engine.last_copy = build_copy(404)
        self.move()
        self.assertEqual(self.engine.last_order_count, 0)
        self.assertIs(self.find(), RunEnding.complete)

    def test_status_denies_the_stop(self) -> None:
        """Guard against a status that says that the run was not there.

        Pattern: an engine in trouble, or an order that arrives twice.
        """
        self.engine.last_copy = build_copy(404)
        self.move()
        self.assertIs(self.find(), RunEnding.stopped)

    def test_other_order_stops_the_run_later(self) -> None:
        """Guard against a conflict with an order that is in progress."""
        self.engine.last_copy = build_copy(409)
        self.engine.stops = False
        self.move()
        self.engine.end_run()
        self.assertIs(self.find(), RunEnding.stopped)

    def test_refused_run_is_listed_for_a_moment(self) -> None:
        """Guard against a report that is older than the stop."""
        self.engine.last_copy = build_copy(500)
        self.engine.stops = False
        self.engine.listed_run_seconds = 0.1
        self.move()
        self.assertIs(self.find(), RunEnding.stopped)

    def test_last_order_is_refused(self) -> None:
        """Guard against breaking off a run that an order has not stopped."""
        self.engine.last_copy = build_copy(500)
        self.engine.stops = False
        self.move()
        self.engine.end_run()
        self.assertIs(self.find(), RunEnding.complete)

    def test_stop_without_a_handle(self) -> None:
        """Guard against a stopped run that can go on nowhere."""
        self.engine.last_copy = build_copy(503)
        self.move()
        self.assertIs(self.find(), RunEnding.stopped)

    def test_order_in_progress(self) -> None:
        """Guard against an answer before the outcome of an order is known."""
        endings: list[RunEnding] = []
        with self.stops.order(RUN_ID) as order:
            asking = threading.Thread(
                target=lambda: endings.append(self.find()), daemon=True
            )
            asking.start()
            asking.join(0.1)
            self.assertEqual(endings, [])
            self.engine.end_run()
            order.withdraw()
        asking.join(WAIT_SECONDS)
        self.assertEqual(endings, [RunEnding.complete])

    def test_engine_has_ended(self) -> None:
        """Guard against a run that its engine took with it."""
        self.engine.state_now = None
        self.assertIs(self.find(), RunEnding.interrupted)

    def test_engine_ends_after_the_run(self) -> None:
        """Guard against an engine that breaks its runs off as it leaves."""
        self.engine.state_now = build_state(leaving=True)
        threading.Timer(0.05, self.engine.end).start()
        self.assertIs(self.find(), RunEnding.interrupted)

    def end_beside_an_order(self, *, has_stopped: bool) -> RunEnding:
        """Return the ending of a run that departs beside one with an order.

        The outcome of the order is known after the runs have departed, and the
        engine ends some time later.
        """
        other = EngineRun('other', 100, 3, 1)
        self.engine.state_now = build_state(RUN, other, leaving=True)
        self.polled.state()
        endings: list[RunEnding] = []
        asking = threading.Thread(
            target=lambda: endings.append(self.find()), daemon=True
        )
        with self.stops.order(other.run_id) as order:
            self.engine.state_now = build_state(leaving=True)
            self.polled.state()
            asking.start()
            time.sleep(LAST_RUNS_SECONDS + 0.1)
            if not has_stopped:
                order.withdraw()
        time.sleep(0.4)
        self.engine.end()
        asking.join(WAIT_SECONDS)
        return endings[0]

    def test_other_run_is_stopped_by_an_order(self) -> None:
        """Guard against breaking off a run that ends beside a move.

        Pattern: an engine leaves, moves its last runs and ends.
        """
        ending = self.end_beside_an_order(has_stopped=True)
        self.assertIs(ending, RunEnding.complete)

    def test_other_run_is_not_stopped_by_its_order(self) -> None:
        """Guard against runs that their engine breaks off beside an order."""
        ending = self.end_beside_an_order(has_stopped=False)
        self.assertIs(ending, RunEnding.interrupted)

    def test_run_ends_while_its_engine_leaves(self) -> None:
        """Guard against breaking off what has ended by itself."""
        self.engine.state_now = build_state(leaving=True)
        self.assertIs(self.find(), RunEnding.complete)

    def test_engine_has_restarted(self) -> None:
        """Guard against an engine that is back before it is asked."""
        self.engine.state_now = build_state(started_unix_ms=2)
        self.assertIs(self.find(), RunEnding.interrupted)

    def test_engine_that_states_no_start_has_restarted(self) -> None:
        """Guard against taking a later start for the earlier one."""
        for _ in range(RESTART_POLL_COUNT):
            self.continuity.record_failed_poll()
        self.engine.state_now = build_state(started_unix_ms=0)
        self.assertIs(self.find(), RunEnding.interrupted)

    def test_missed_polls_of_one_start(self) -> None:
        """Guard against taking a slow engine for one that has restarted."""
        for _ in range(RESTART_POLL_COUNT):
            self.continuity.record_failed_poll()
        self.engine.state_now = build_state()
        self.assertIs(self.find(), RunEnding.complete)

    def test_report_is_late(self) -> None:
        """Guard against taking a busy engine for one that has ended."""
        late = BackendTimeoutError('timed out', 'state')
        state = build_state()
        for answers, ending in (
            ((late, state, state), RunEnding.complete),
            ((late, late), RunEnding.interrupted),
        ):
            with patch.object(self.engine, 'state', side_effect=answers):
                self.assertIs(self.find(), ending)

    def test_agent_has_restarted(self) -> None:
        """Guard against an agent that has forgotten its orders."""
        continuity = EngineContinuity(self.clock)
        polled = VersionedEngine(self.engine, continuity)
        self.engine.end_run()
        finder = RunEndingFinder(polled, RunStops(), continuity, self.clock)
        query = RunEndingQuery(1, RUN_ID, int(AGE_SECONDS * 1000))
        self.assertIs(finder.find(query), RunEnding.unknown)

    def test_agent_has_seen_the_run(self) -> None:
        """Guard against an agent that doubts a run that it has seen.

        Pattern: an agent starts as its engine leaves and orders no stop, and
        the run ends by itself.
        """
        continuity = EngineContinuity(self.clock)
        polled = VersionedEngine(self.engine, continuity)
        polled.state()
        announcer = StopAnnouncer(self.broadcast, self.clock)
        announcer.find_entries((RUN_ID,))
        self.clock.advance(1)
        self.engine.end_run()
        announcer.find_entries(())
        finder = RunEndingFinder(
            polled,
            RunStops(),
            continuity,
            self.clock,
            announcer.find_known_since,
        )
        for run_id, ending in (
            (RUN_ID, RunEnding.complete),
            ('other', RunEnding.unknown),
        ):
            query = RunEndingQuery(1, run_id, int(AGE_SECONDS * 1000))
            self.assertIs(finder.find(query), ending)
        self.engine.state_now = build_state(started_unix_ms=2)
        query = RunEndingQuery(1, RUN_ID, int(AGE_SECONDS * 1000))
        self.assertIs(finder.find(query), RunEnding.interrupted)

    def test_run_goes_on(self) -> None:
        """Guard against a connection that ends before its run."""
        self.finder = RunEndingFinder(self.polled, self.stops, self.continuity)
        self.assertIs(self.find(), RunEnding.interrupted)

    def test_old_stops_are_evicted(self) -> None:
        """Guard against an agent whose memory grows with each move."""
        for number in range(MAX_STOP_COUNT + 1):
            with self.stops.order(f'run-{number}') as order:
                order.handle = f'handle-{number}'
        self.assertFalse(self.stops.has_stopped('run-0', 0, ()))
        self.assertTrue(self.stops.has_stopped('run-1', 0, ()))


class EndingResponderTest(unittest.TestCase):
    """Guard against queries that take all threads of an agent."""

    def test_many_queries(self) -> None:
        """Guard against a thread for each of any number of queries."""
        released = threading.Event()
        finder = Mock()
        finder.find.side_effect = lambda _: (
            released.wait(WAIT_SECONDS) and RunEnding.complete
        )
        responder = EndingResponder(finder)
        replies: list[Message] = []
        for number in range(MAX_QUERY_COUNT + 1):
            responder.respond(RunEndingQuery(number, RUN_ID, 0), replies.append)
        self.assertEqual(
            replies, [RunEndingReply(MAX_QUERY_COUNT, RunEnding.unknown)]
        )
        released.set()
        wait_until(lambda: len(replies) == MAX_QUERY_COUNT + 1)


if __name__ == '__main__':
    unittest.main()
