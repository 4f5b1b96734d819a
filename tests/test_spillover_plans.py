"""Tests of the shares of requests that may leave a data centre.

Load patterns: even demand, one data centre in need, demands that swing out of
phase, receivers that lose their room, their engines or their links.
"""

import dataclasses
import unittest
from unittest.mock import Mock

from tests.forwarding_builders import (
    ENGINE_SERVICE,
    build_fleet,
    build_holder,
    build_report,
    build_server,
)
from tests.spillover_builders import (
    SwingingWorld,
    build_capacity,
    build_inputs,
)
from wasabistream.forwarding.load_trackers import LoadTracker
from wasabistream.paces.engine_paces import EnginePace
from wasabistream.spillover.capacity_views import CapacityView
from wasabistream.spillover.spillover_plans import (
    NO_ENGINE,
    NO_REPORTS,
    NO_ROOM,
    NO_SPARE_CAPACITY,
    SpilloverInputs,
    plan_spillover,
)

# Demands as ratios of the capacity.
NEEDY = {'a': 1.4, 'b': 0.5, 'c': 0.5, 'd': 0.5}
EVEN = dict.fromkeys(NEEDY, 0.8)
# Seconds until rates and slopes are steady, and in all.
SETTLING_COUNT = 15
MEASURED_COUNT = 75


class SpilloverPlanTest(unittest.TestCase):
    """Guard against traffic between data centres that helps nobody."""

    def setUp(self) -> None:
        """Make a first plan of a data centre in need."""
        self.before = plan_spillover(build_inputs('a', NEEDY), 0)

    def test_twice_the_demand(self) -> None:
        """Guard against a data centre in need that gets no help.

        Pattern: one of four has more than twice the demand of the others. Its
        excess over the threshold is 0.675 of 1.4.
        """
        self.assertAlmostEqual(
            sum(self.before.shares.values()), 0.43, delta=0.05
        )
        other = plan_spillover(build_inputs('b', NEEDY), 0)
        self.assertEqual(other.reasons['a'], NO_ROOM)

    def test_shares_fit_into_the_spare_capacity(self) -> None:
        """Guard against a receiver that all others fill at the same time.

        Pattern: each data centre plans by itself; with even demand, nothing
        needs to leave, and above the threshold nothing may.
        """
        for ratios in (NEEDY, {**NEEDY, 'b': 1.2}, EVEN):
            plans = {
                own: plan_spillover(build_inputs(own, ratios), 0)
                for own in ratios
            }
            for receiver, ratio in ratios.items():
                received = [
                    plan.share(receiver) * ratios[own]
                    for own, plan in plans.items()
                ]
                spare = max(plans[receiver].threshold - ratio, 0)
                self.assertLessEqual(sum(received), spare + 1e-9)
        self.assertEqual(set(plans['a'].reasons.values()), {NO_SPARE_CAPACITY})

    def test_swinging_demands(self) -> None:
        """Guard against plans that follow the demand too late to help.

        Pattern: the demands of four data centres swing by 55 % in 15 s, out of
        phase, and their reports are a second old.
        """
        world = SwingingWorld(0.7, 4, report_age_seconds=1)
        beyond = [0.0, 0.0]
        for second in range(MEASURED_COUNT):
            world.run_second()
            if second >= SETTLING_COUNT:
                for name in world.names:
                    beyond[0] += max(world.ratio(name) - 1, 0)
                    beyond[1] += max(world.ratio_after(name) - 1, 0)
        self.assertGreater(beyond[0], 1)
        self.assertLess(beyond[1], beyond[0] / 10)

    def test_antiphase(self) -> None:
        """Guard against two data centres that send each other their work.

        Pattern: demands in antiphase, with reports 0.1, 1 and 3 s old.
        """
        for age_seconds in (0.1, 1, 3):
            world = SwingingWorld(0.8, 2, age_seconds)
            for second in range(MEASURED_COUNT):
                world.run_second()
                # All that may pass each way, in parts of a capacity.
                away = world.plans['dc0'].share('dc1') * world.ratio('dc0')
                back = world.plans['dc1'].share('dc0') * world.ratio('dc1')
                if second >= SETTLING_COUNT:
                    self.assertLess(min(away, back), 0.06)

    def test_lost_room(self) -> None:
        """Guard against a receiver that is filled for seconds more.

        Pattern: its memory fills up at once, or its spare capacity goes.
        """
        full = build_capacity(memory_ratio=0.96)
        plan = plan_spillover(
            build_inputs('a', NEEDY, previous=self.before, b=full), 0.1
        )
        self.assertEqual((plan.shares['b'], plan.reasons['b']), (0, NO_ROOM))
        self.assertEqual(plan.list_full_data_centres(), ['a', 'b'])
        damped = plan_spillover(
            build_inputs('a', EVEN, previous=self.before), 1
        )
        self.assertAlmostEqual(damped.shares['c'], self.before.shares['c'] / 2)

    def test_spare_capacity_that_stays_used(self) -> None:
        """Guard against a share that is halved each second and never ends.

        Pattern: demand is even for 10 s after a burst. An entry with few
        requests takes its first one in 2 s to be within any share above 0.
        """
        plan = self.before
        for second in range(1, 11):
            plan = plan_spillover(
                build_inputs('a', EVEN, previous=plan), second
            )
        self.assertEqual(set(plan.shares.values()), {0})

    def test_lost_engines_and_reports(self) -> None:
        """Guard against requests for a data centre that cannot serve them.

        Pattern: one is lost or out of service, one is partitioned off or of
        the previous version, and the reports of one are 1, 2 and 3 s old.
        """
        shares = []
        for age_seconds in (1, 2, 3):
            inputs = build_inputs(
                'a', NEEDY, {'d': age_seconds}, b=build_capacity(size=0)
            )
            reports = {own: inputs.reports[own] for own in ('a', 'b', 'd')}
            plan = plan_spillover(
                dataclasses.replace(inputs, reports=reports), 0
            )
            shares.append(plan.shares['d'])
        self.assertEqual((plan.shares['b'], plan.shares['c']), (0, 0))
        self.assertEqual(plan.reasons['b'], NO_ENGINE)
        self.assertEqual(plan.reasons['c'], NO_REPORTS)
        self.assertGreater(shares[0], shares[1])
        self.assertGreater(shares[1], shares[2])
        self.assertEqual(shares[2], 0)

    def test_few_own_engines(self) -> None:
        """Guard against callers without an answer beside idle engines.

        Pattern: the data centre has no engine of the service, or one of ten.
        """
        ratios = {'a': 0.5, 'b': 0.2, 'c': 0.4}
        none = build_inputs(
            'a', ratios, previous=self.before, a=build_capacity(size=0)
        )
        plan = plan_spillover(none, 0.1)
        self.assertAlmostEqual(sum(plan.shares.values()), 1)
        self.assertGreater(plan.shares['b'], plan.shares['c'])
        one = build_inputs('a', ratios, a=build_capacity(size=0.1))
        self.assertGreater(sum(plan_spillover(one, 0).shares.values()), 0.8)


class CapacityViewTest(unittest.TestCase):
    """Guard against capacity that is not there."""

    def test_cold_leaving_and_out(self) -> None:
        """Guard against a data centre that is filled on its return.

        Pattern: its engines are cold, leaving, or out of service.
        """
        servers = [
            build_server(number, service=ENGINE_SERVICE, data_centre=name)
            for number, name in enumerate(('a', 'a', 'b', 'b', 'c'))
        ]
        holder = build_holder()
        holder.current = build_fleet(*servers, out='c')
        load_tracker = LoadTracker()
        for listed in servers:
            load_tracker.report(listed.endpoint, build_report(used_tokens=3000))
        load_tracker.report(servers[3].endpoint, build_report(leaving=True))
        # Engines without a known pace get the median of the service.
        paces = Mock()
        paces.pace.side_effect = [
            EnginePace(prompt_tokens_per_second=rate)
            for rate in (1000, 0, 0, 0)
        ]
        view = CapacityView(
            holder, load_tracker, paces, lambda server: server == servers[0]
        )
        capacities = view.measure(ENGINE_SERVICE)
        self.assertEqual(set(capacities), {'a', 'b'})
        self.assertEqual(capacities['a'].prompt_tokens_per_second, 1500)
        self.assertEqual(capacities['b'].prompt_tokens_per_second, 1000)
        self.assertEqual(capacities['a'].memory_tokens, 6000)

    def test_token_counts_of_callers(self) -> None:
        """Guard against plans that fail, or a data centre that one fills.

        Pattern: a caller states endless tokens for a request to one of ten
        engines, which count until its agent reports.
        """
        servers = [
            build_server(number, service=ENGINE_SERVICE, data_centre='a')
            for number in range(10)
        ]
        load_tracker = LoadTracker()
        load_tracker.add_sent_request(servers[0].endpoint, 'r', 10**400)
        for listed in servers:
            load_tracker.report(listed.endpoint, build_report(used_tokens=0))
        view = CapacityView(
            build_holder(*servers),
            load_tracker,
            Mock(pace=lambda endpoint: EnginePace()),
            lambda server: False,
        )
        plan = plan_spillover(
            SpilloverInputs(ENGINE_SERVICE, 'a', view.measure(ENGINE_SERVICE)),
            0,
        )
        self.assertEqual(plan.list_full_data_centres(), [])
