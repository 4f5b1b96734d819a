"""Tests of the choice of a backend server.

Failure patterns: leaving engines, uneven load, failing servers and data centres
out of service.
"""

import dataclasses
import unittest

from tests.forwarding_builders import (
    ENGINE_SERVICE,
    MEMORY_TOKENS,
    OWN_DATA_CENTRE,
    build_advisories,
    build_cold_limiter,
    build_fleet,
    build_holder,
    build_report,
    build_request,
    build_route,
    build_server,
)
from wasabistream.forwarding.failure_rates import FailureRates
from wasabistream.forwarding.first_event_paces import FirstEventPaces
from wasabistream.forwarding.load_trackers import LoadTracker
from wasabistream.forwarding.routes import RouteKind
from wasabistream.forwarding.server_advisories import ServerAdvisory
from wasabistream.forwarding.server_choosers import ServerChooser


class ServerChooserTest(unittest.TestCase):
    """Guard against servers that are busy, failing or leaving."""

    def setUp(self) -> None:
        """Create a fleet of two engines and two plain servers."""
        self.engines = [
            build_server(number, service=ENGINE_SERVICE) for number in (1, 2)
        ]
        self.plain = [build_server(number) for number in (11, 12)]
        self.holder = build_holder(*self.engines, *self.plain)
        self.load_tracker = LoadTracker()
        self.failure_rates = FailureRates()
        self.paces = FirstEventPaces()
        self.cold = build_cold_limiter()
        self.advisories = build_advisories()
        self.chooser = ServerChooser(
            self.holder,
            self.load_tracker,
            self.failure_rates,
            self.cold,
            self.advisories,
            self.paces,
            OWN_DATA_CENTRE,
        )
        self.generation = build_request(build_route(RouteKind.streaming))

    def choose_engine(self) -> str:
        """Return the id of the engine that is chosen."""
        server = self.chooser.choose(self.generation)
        return server.server_id if server else ''

    def test_leaving_engine_gets_nothing(self) -> None:
        """Guard against an engine that reports that it will shut down."""
        self.load_tracker.report('10.0.0.1:8000', build_report(leaving=True))
        chosen = {self.choose_engine() for _ in range(20)}
        self.assertEqual(chosen, {'server-2'})

    def test_engine_that_resets_its_requests(self) -> None:
        """Guard against sending most work to the engine that fails it.

        Pattern: two of 50 engines reset each generation and so looked idle;
        seventeen drafts were lost to them within six seconds.
        """
        self.load_tracker.report('10.0.0.1:8000', build_report())
        self.load_tracker.report(
            '10.0.0.2:8000',
            build_report(used_tokens=MEMORY_TOKENS // 2, running_count=8),
        )
        self.assertEqual(self.choose_engine(), 'server-1')
        self.failure_rates.record('10.0.0.1:8000', failed=True)
        self.assertEqual(self.choose_engine(), 'server-2')

    def test_all_leaving(self) -> None:
        """Guard against a request at an engine that will not serve it."""
        for engine in self.engines:
            self.load_tracker.report(
                engine.endpoint, build_report(leaving=True)
            )
        self.assertEqual(self.choose_engine(), '')

    def test_own_sends_count_before_the_next_report(self) -> None:
        """Guard against herding on an engine with an outdated report."""
        for engine in self.engines:
            self.load_tracker.report(engine.endpoint, build_report())
        chosen = []
        for number in range(8):
            server = self.chooser.choose(self.generation)
            self.assertIsNotNone(server)
            endpoint = server.endpoint if server else ''
            self.load_tracker.add_sent_request(endpoint, str(number), 4000)
            chosen.append(endpoint)
        self.assertEqual(chosen.count('10.0.0.1:8000'), 4)

    def test_full_memory_is_avoided(self) -> None:
        """Guard against preemption while another engine has free memory."""
        self.load_tracker.report(
            '10.0.0.1:8000', build_report(used_tokens=MEMORY_TOKENS)
        )
        self.load_tracker.report(
            '10.0.0.2:8000', build_report(running_count=10)
        )
        self.assertEqual(self.choose_engine(), 'server-2')

    def test_queued_prompts_count(self) -> None:
        """Guard against an engine that seems idle while prompts are queued."""
        busy = build_report(used_tokens=12000, running_count=3)
        fresh = dataclasses.replace(build_report(), queued_count=3)
        self.load_tracker.report('10.0.0.1:8000', busy)
        self.load_tracker.report('10.0.0.2:8000', fresh)
        self.assertEqual(self.choose_engine(), 'server-1')

    def test_cold_server_with_a_limit(self) -> None:
        """Guard against one of two limits that hides the other."""
        cold = dataclasses.replace(self.engines[0], cold_remaining_seconds=60)
        self.holder.current = build_fleet(cold)
        self.cold.on_fleet_changed(self.holder.current)
        self.advisories.on_fleet_changed(self.holder.current)
        self.advisories.record_answer(cold, ServerAdvisory(1), 0)
        taken_count = 0
        for _ in range(50):
            server = self.chooser.take(self.generation)
            if server is not None:
                self.cold.add_sent_request(server)
                taken_count += 1
        self.assertEqual(taken_count, 1)
        self.advisories.record_answer(cold, ServerAdvisory(1000), 0)
        for _ in range(50):
            if self.chooser.take(self.generation) is not None:
                self.cold.add_sent_request(cold)
                taken_count += 1
        # The limit of a cold server is 37 a second in these fleets.
        self.assertLess(taken_count, 45)

    def test_queue_that_outlasts_the_deadline(self) -> None:
        """Guard against a prompt that waits at an engine until its deadline.

        Pattern: seven of eight engines state a rate limit, and what they do not
        take waits at the eighth: 58 short generations of 216 ended there.
        """
        for engine in self.engines:
            self.load_tracker.report(
                engine.endpoint,
                dataclasses.replace(build_report(), queued_count=30),
            )
        self.assertEqual(self.choose_engine(), '')
        self.load_tracker.report(
            self.engines[1].endpoint,
            dataclasses.replace(build_report(), queued_count=5),
        )
        self.assertEqual(self.choose_engine(), 'server-2')

    def test_engines_without_reports_are_not_excluded(self) -> None:
        """Guard against refusals for streams that run and do not wait."""
        for engine in self.engines:
            for number in range(30):
                self.load_tracker.add_sent_request(
                    engine.endpoint, str(number), 100
                )
        self.assertNotEqual(self.choose_engine(), '')

    def test_fast_engines_bear_longer_queues(self) -> None:
        """Guard against refusals that a fixed time for each prompt causes."""
        for engine in self.engines:
            self.load_tracker.report(
                engine.endpoint,
                dataclasses.replace(build_report(), queued_count=30),
            )
        for _ in range(100):
            self.paces.record(ENGINE_SERVICE, 9, 0.2)
        self.assertNotEqual(self.choose_engine(), '')

    def test_failing_server_is_avoided(self) -> None:
        """Guard against a server that fails its requests."""
        for _ in range(10):
            self.failure_rates.record('10.0.0.11:8000', failed=True)
        chosen = {self.chooser.choose(build_request()) for _ in range(20)}
        self.assertEqual(chosen, {self.plain[1]})

    def test_server_is_used_if_all_are_unreachable(self) -> None:
        """Guard against refusing requests when all servers seem unreachable."""
        for server in self.plain:
            self.failure_rates.record_unreachable(server.endpoint)
        self.assertIsNotNone(self.chooser.choose(build_request()))

    def test_data_centre_out_of_service(self) -> None:
        """Guard against a data centre that operators took out of service."""
        remote = build_server(13, data_centre='dc-b')
        self.holder.current = build_fleet(
            *self.plain, remote, out=OWN_DATA_CENTRE
        )
        self.assertEqual(self.chooser.choose(build_request()), remote)

    def test_draining_server_gets_nothing(self) -> None:
        """Guard against a server whose state in the store is draining."""
        self.holder.current = build_fleet(build_server(11, draining=True))
        self.assertIsNone(self.chooser.choose(build_request()))

    def test_local_server_is_preferred(self) -> None:
        """Guard against unnecessary traffic between data centres."""
        remote = build_server(13, data_centre='dc-b')
        self.holder.current = build_fleet(remote, self.plain[0])
        chosen = {self.chooser.choose(build_request()) for _ in range(20)}
        self.assertEqual(chosen, {self.plain[0]})

    def test_sole_engine_gets_fewer(self) -> None:
        """Guard against losing generations when a sole engine leaves.

        One data centre has a single engine left and the other has two, and
        fourteen generations arrive. Between the notice that an engine will
        shut down and its end, the memory of three generations can be copied to
        another data centre.
        """
        sole_engine = build_server(
            1, service=ENGINE_SERVICE, data_centre=OWN_DATA_CENTRE
        )
        others = [
            build_server(number, service=ENGINE_SERVICE, data_centre='dc-b')
            for number in (2, 3)
        ]
        self.chooser = ServerChooser(
            build_holder(sole_engine, *others),
            self.load_tracker,
            self.failure_rates,
            build_cold_limiter(),
            build_advisories(),
            self.paces,
            OWN_DATA_CENTRE,
        )
        counts = {server.server_id: 0 for server in (sole_engine, *others)}
        for _ in range(14):
            chosen = self.choose_engine()
            counts[chosen] += 1
            self.load_tracker.report(
                f'10.0.0.{chosen[-1]}:8000',
                build_report(
                    used_tokens=4000 * counts[chosen],
                    running_count=counts[chosen],
                ),
            )
        self.assertLessEqual(counts[sole_engine.server_id], 3)
