"""Tests of the decision on one deferrable request.

Load patterns: engines full of long generations, urgent requests that arrive
steadily, and a queue that is longer than its requests may wait.
"""

import dataclasses
import math
import unittest
from unittest.mock import Mock

from tests.forwarding_builders import (
    ENGINE_SERVICE,
    build_request,
    build_server,
)
from tests.queueing_builders import (
    URGENT_ROUTE,
    build_outlook,
    build_waiting,
)
from wasabistream.forwarding.requests import GenerationDemand
from wasabistream.queueing.engine_rooms import Shortage, find_headroom_tokens
from wasabistream.queueing.expected_waits import RoomRate, spread_wait
from wasabistream.queueing.start_decisions import (
    StartAction,
    apply_prediction,
    decide_start,
)
from wasabistream.queueing.starts import StartReason
from wasabistream.queueing.urgent_arrivals import UrgentArrivals, UrgentNeed

SERVER = build_server(1, service=ENGINE_SERVICE)
ROOMY = build_outlook(SERVER, free_tokens=3000)
FULL = build_outlook(SERVER, free_tokens=-100)
SLOW = build_outlook(SERVER, first_event_seconds=9, late_chance=0.9)


class StartDecisionTest(unittest.TestCase):
    """Guard against requests that start too early, too late or not at all."""

    def test_room_needs_time_memory_and_headroom(self) -> None:
        """Guard against taking the memory that urgent requests need."""
        decision = decide_start(build_waiting(), [FULL, SLOW, ROOMY], 3000, 100)
        self.assertEqual(decision.reason, StartReason.room)
        self.assertEqual(decision.outlooks, (ROOMY,))
        decision = decide_start(build_waiting(), [ROOMY], 3001, 100)
        self.assertEqual(decision.action, StartAction.wait)
        self.assertEqual(decision.shortage, Shortage.memory)

    def test_in_time_limit(self) -> None:
        """Guard against a request that waits although it could be in time."""
        request = build_waiting(least_first_event_seconds=0.5)
        engines = [ROOMY, FULL, SLOW]
        decision = decide_start(request, engines, 5000, 102.9)
        self.assertEqual(decision.action, StartAction.wait)
        decision = decide_start(request, engines, 5000, 103)
        self.assertEqual(decision.reason, StartReason.in_time_limit)
        self.assertEqual(decision.outlooks, (ROOMY,))
        slow = dataclasses.replace(SLOW, first_event_seconds=0.6)
        for now_seconds, is_late in ((102.7, False), (102.9, True)):
            predicted = apply_prediction(request, [slow], now_seconds)
            self.assertEqual(predicted.is_late, is_late)
        self.assertTrue(apply_prediction(predicted, [ROOMY], 103).is_late)

    def test_full_memory_at_the_limits(self) -> None:
        """Guard against preemption by requests whose time to wait is over.

        Pattern: digests that were sent to full engines at their in-time limit
        preempted one another; their prompts were prefilled twice.
        """
        request = build_waiting(least_first_event_seconds=0.5)
        decision = decide_start(request, [FULL], 0, 103)
        self.assertEqual(decision.action, StartAction.wait)
        late = apply_prediction(request, [FULL], 103)
        self.assertTrue(late.is_late)
        decision = decide_start(late, [FULL], 0, 108)
        self.assertEqual(decision.action, StartAction.refuse)
        # Its caller cannot come back, or has come back already.
        for kept in (
            dataclasses.replace(late, asked_at_seconds=90),
            dataclasses.replace(late, deadline_at_seconds=125),
        ):
            decision = decide_start(kept, [FULL], 0, 108)
            self.assertEqual(decision.reason, StartReason.dispatch_limit)

    def test_dispatch_limit(self) -> None:
        """Guard against a request that is held until its caller leaves."""
        late = build_waiting(is_late=True)
        self.assertEqual(
            decide_start(late, [SLOW], 0, 107.9).action, StartAction.wait
        )
        decision = decide_start(late, [SLOW], 0, 108)
        self.assertEqual(decision.reason, StartReason.dispatch_limit)
        short = build_waiting(deadline_at_seconds=110)
        self.assertEqual(short.dispatch_limit_at_seconds, 105)

    def test_refusal(self) -> None:
        """Guard against a refusal that is not due, or comes after a wait."""
        cases = (
            ([FULL], 8.1, True, StartAction.refuse),
            ([FULL], 7.9, True, StartAction.wait),
            ([FULL], None, True, StartAction.wait),
            ([FULL, ROOMY], 8.1, True, StartAction.send),
            # There is room, but for requests ahead of it.
            ([FULL, ROOMY], 8.1, False, StartAction.wait),
        )
        for outlooks, wait_seconds, may_take_room, action in cases:
            decision = decide_start(
                build_waiting(),
                outlooks,
                0,
                100,
                wait_seconds,
                may_take_room=may_take_room,
            )
            self.assertEqual(decision.action, action)

    def test_headroom(self) -> None:
        """Guard against headroom that one entry keeps for all, or for none."""
        need = UrgentNeed(tokens=9000, request_tokens=2230)
        cases = ((need, 2, 9000 * 2 / 6), (need, 1, 2230), (need, 9, 6716))
        for case_need, entry_count, tokens in cases:
            self.assertEqual(
                find_headroom_tokens(case_need, entry_count, 6, 26864),
                tokens,
            )

    def test_urgent_arrivals(self) -> None:
        """Guard against headroom for routes that are not more urgent."""
        arrivals = UrgentArrivals()
        for number in range(8):
            arrivals.record(build_request(URGENT_ROUTE), 100 + number / 2)
        need = arrivals.need(ENGINE_SERVICE, 2, 104)
        self.assertEqual(need.tokens, 8 * 4000 / 4)
        self.assertEqual(need.request_tokens, 4000)
        self.assertFalse(arrivals.need(ENGINE_SERVICE, 1, 104).tokens)
        self.assertEqual(arrivals.need(ENGINE_SERVICE, 2, 109).tokens, 0)
        self.assertEqual(
            arrivals.need(ENGINE_SERVICE, 2, 113).request_tokens, 4000
        )
        self.assertFalse(arrivals.need(ENGINE_SERVICE, 2, 114).request_tokens)

    def test_stated_tokens(self) -> None:
        """Guard against numbers of callers that fail all later decisions."""
        arrivals = UrgentArrivals()
        for tokens in (-(10**400), 10**400):
            demand = GenerationDemand(tokens, 0, 0)
            request = dataclasses.replace(
                build_request(URGENT_ROUTE), demand=demand
            )
            arrivals.record(request, 100)
            need = arrivals.need(ENGINE_SERVICE, 2, 100)
            self.assertGreaterEqual(need.tokens, 0)
            self.assertLess(need.tokens, math.inf)

    def test_expected_wait(self) -> None:
        """Guard against refusals at the beginning of a burst."""
        rate = RoomRate()
        rate.record_waiting(1, 100)
        rate.record_start(4000, 101)
        self.assertEqual(rate.expect_wait(8000, 103), 0)
        self.assertEqual(rate.expect_wait(8000, 104), 8)
        self.assertEqual(rate.expect_wait(8000, 106), math.inf)
        rate.record_waiting(0, 106)
        self.assertEqual(rate.expect_wait(8000, 107), 0)
        self.assertEqual(spread_wait(8, 39, Mock(return_value=1)), 12)
        self.assertEqual(spread_wait(math.inf, 39, Mock(return_value=0)), 39)
