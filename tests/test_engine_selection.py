"""Tests of the choice of engines for scheduled services.

Load patterns: bursts that thirty entries place by the same outdated reports,
engines of uneven, falling or noisy speed, full memory and failing engines.
"""

import dataclasses
import random
import unittest
from collections import Counter
from collections.abc import Callable
from unittest.mock import patch

from prometheus_client import REGISTRY

from tests.forwarding_builders import (
    ENGINE_SERVICE,
    MEMORY_TOKENS,
    build_answer_buffers,
    build_parts,
    build_server,
)
from tests.forwarding_fakes import FakeCaller, FakeClient, events, stream
from tests.scheduling_builders import (
    DIGEST_ROUTE,
    LETTER_ROUTE,
    TAG_ROUTE,
    USUAL_PACE,
    FakeRemoteLosses,
    SchedulingEntry,
    build_engines,
    build_generation,
    build_letter,
    build_tag,
    scale_pace,
)
from wasabistream.forwarding.attempts import AttemptHistory
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.move_trackers import MoveTracker
from wasabistream.forwarding.refusals import Refuser
from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.forwarding.server_advisories import ServerAdvisory
from wasabistream.forwarding.stream_forwarders import StreamForwarder
from wasabistream.forwarding.stream_progress import StreamProgress
from wasabistream.forwarding.supervisors import RequestWatch
from wasabistream.paces.engine_paces import UNKNOWN_PACE
from wasabistream.scheduling.predictions import count_backlog_tokens
from wasabistream.scheduling.scheduling_parts import NOT_SCHEDULED

Choose = Callable[[SchedulingEntry, ForwardRequest], BackendServer | None]
ENTRY_COUNT = 30
BURST_ENGINE_COUNT = 20
# Tags that an engine of the usual pace starts within 1.5 s.
IN_TIME_COUNT = 4


def _choose_scheduled(
    entry: SchedulingEntry, request: ForwardRequest
) -> BackendServer | None:
    return entry.chooser.take(request)


def _choose_least_cost(
    entry: SchedulingEntry, request: ForwardRequest
) -> BackendServer | None:
    return entry.build_chooser(NOT_SCHEDULED).take(request)


def _choose_least_requests(
    entry: SchedulingEntry, request: ForwardRequest
) -> BackendServer:
    return min(
        entry.engines,
        key=lambda server: entry.load.estimate(server.endpoint).request_count,
    )


def _place_burst(choose: Choose) -> Counter[str]:
    """Return how many of 60 tags each engine gets from 30 entries."""
    counts: Counter[str] = Counter()
    for number in range(ENTRY_COUNT):
        entry = SchedulingEntry(build_engines(BURST_ENGINE_COUNT), seed=number)
        for index, engine in enumerate(entry.engines):
            entry.report(
                engine,
                running_count=index % 5,
                used_tokens=3000 * (index % 5) + 10 * index,
            )
        entry.clock.advance(0.1 + 0.55 * number / ENTRY_COUNT)
        for request_id in ('first', 'second'):
            server = choose(entry, build_tag())
            if server is not None:
                entry.load.add_sent_request(server.endpoint, request_id, 2202)
                counts[server.server_id] += 1
    return counts


def _in_time_ratio(counts: Counter[str]) -> float:
    in_time = sum(min(count, IN_TIME_COUNT) for count in counts.values())
    return in_time / counts.total()


def _count_errors() -> float:
    name = 'wasabi_first_event_error_seconds_count'
    return REGISTRY.get_sample_value(name) or 0


class EngineSelectionTest(unittest.TestCase):
    """Guard against late, paused and lost generations of scheduled services."""

    def setUp(self) -> None:
        """Create an entry that lists eight engines of the usual pace."""
        self.entry = SchedulingEntry(build_engines(8))
        self.engine = self.entry.engines[0]

    def set_uneven_paces(self) -> None:
        """Make engines 1 and 2 fast and the others slow."""
        long_prompt_steps = dataclasses.replace(
            USUAL_PACE, prompt_event_seconds=0.12
        )
        for index, engine in enumerate(self.entry.engines):
            self.entry.paces.paces[engine.endpoint] = scale_pace(
                0.55 if index < 2 else 1.2, long_prompt_steps
            )

    def count_fast(self, request: ForwardRequest) -> int:
        """Return how many of 400 requests go to the fast engines."""
        counts = self.entry.sample(request)
        return counts['server-1'] + counts['server-2']

    def test_engines_that_have_left(self) -> None:
        """Guard against requests at engines that only an old list has.

        Pattern: the store is away while a quarter of the engines is taken away;
        they look idle, each of 128 attempts went to one of them, and 85
        generations were refused.
        """
        engines = build_engines(8)
        entry = SchedulingEntry(engines)
        entry.clock.advance(4)
        for staying in engines[:6]:
            entry.report(staying, running_count=4, used_tokens=12000)
        sampled = entry.sample(build_tag())
        left_count = sum(sampled[left.server_id] for left in engines[6:])
        self.assertLess(left_count, sampled.total() * 0.02)
        # They have no room for deferrable requests either.
        roomy_count = sum(
            outlook.free_tokens >= 0
            for outlook in entry.chooser.predict_all(build_tag())
        )
        self.assertEqual(roomy_count, 6)
        # Without any report all are alike.
        entry.clock.advance(4)
        sampled = entry.sample(build_tag())
        self.assertEqual(len(sampled), 8)

    def test_memory_for_urgent_requests(self) -> None:
        """Guard against fast engines that letters fill to the last token.

        Pattern: letters fill the fast engines, so that all tags go to the slow
        ones and pause the letters that run there.
        """
        engines = build_engines(2)
        entry = SchedulingEntry(engines, routes=(TAG_ROUTE, LETTER_ROUTE))
        fast, slow = engines
        entry.paces.paces[fast.endpoint] = scale_pace(0.5)
        entry.paces.paces[slow.endpoint] = scale_pace(1.2)
        with patch.object(entry.scheduled, 'is_scheduled', return_value=True):
            entry.report(slow, running_count=3)
            used_tokens = MEMORY_TOKENS - 4000
            entry.report(fast, running_count=6, used_tokens=used_tokens)
            before = entry.sample(build_letter())
            self.assertGreater(before[fast.server_id], before[slow.server_id])
            entry.chooser.take(build_tag())
            letters = entry.sample(build_letter())
            tags = entry.sample(build_tag())
        self.assertLess(letters[fast.server_id], before[fast.server_id] / 2)
        self.assertGreater(tags[fast.server_id], tags[slow.server_id])

    def test_burst_at_equal_engines(self) -> None:
        """Guard against entries that all choose the engine of least cost.

        Pattern: 30 entries with reports 100 to 650 ms old send two tags each;
        an engine starts four of them in time.
        """
        scheduled = _place_burst(_choose_scheduled)
        least_cost = _place_burst(_choose_least_cost)
        least_requests = _place_burst(_choose_least_requests)
        self.assertEqual(scheduled.total(), 2 * ENTRY_COUNT)
        self.assertLessEqual(max(scheduled.values()), 9)
        self.assertGreater(_in_time_ratio(scheduled), 0.8)
        for herding in (least_cost, least_requests):
            self.assertGreater(max(herding.values()), 20)
            self.assertLess(_in_time_ratio(herding), 0.3)

    def test_long_streams_at_fast_engines(self) -> None:
        """Guard against letters that prefills on slow engines pause.

        Pattern: one engine in four takes 0.55 of the usual time, the others
        1.2, until the fast ones have a long queue or no memory left.
        """
        self.set_uneven_paces()
        self.assertGreater(self.count_fast(build_letter()), 380)
        for engine in self.entry.engines[:2]:
            self.entry.report(engine, backlog_tokens=40000)
        self.assertLess(self.count_fast(build_letter()), 40)
        for engine in self.entry.engines[:2]:
            self.entry.report(
                engine, used_tokens=MEMORY_TOKENS, growth_tokens=8000
            )
        self.assertLess(self.count_fast(build_letter()), 40)

    def test_short_prompts_avoid_slow_busy_engines(self) -> None:
        """Guard against tags that pause the letters on slow engines.

        Pattern: engines 1, 3 and 4 run six streams each, two of them slowly.
        """
        self.set_uneven_paces()
        for index in (0, 2, 3):
            self.entry.report(self.entry.engines[index], running_count=6)
        counts = self.entry.sample(build_tag())
        self.assertEqual(counts['server-3'] + counts['server-4'], 0)
        self.assertGreater(counts['server-5'], 20)

    def test_slowed_engine(self) -> None:
        """Guard against letters at an engine while it is slowed down.

        Pattern: steps take 3.5 times as long for six seconds.
        """
        self.entry.paces.paces[self.engine.endpoint] = scale_pace(3.5)
        self.assertEqual(self.entry.sample(build_letter())['server-1'], 0)
        self.entry.paces.paces[self.engine.endpoint] = USUAL_PACE
        self.assertGreater(self.entry.sample(build_letter())['server-1'], 20)

    def test_noisy_engine(self) -> None:
        """Guard against avoiding engines for the noise of their pace.

        Pattern: one engine has more of the short intervals with 2.5 times the
        usual time, so that its mean is 1.2 times that of the others.
        """
        self.entry.paces.paces[self.engine.endpoint] = scale_pace(1.2)
        self.assertGreater(self.entry.sample(build_tag())['server-1'], 20)
        letters = self.entry.sample(build_letter())['server-1']
        self.assertTrue(0 < letters < 50, letters)

    def test_cold_engine(self) -> None:
        """Guard against an urgent prompt that a cold engine starts late.

        Pattern: the caller has waited 0.8 s at another engine before.
        """
        cold = dataclasses.replace(self.engine, cold_remaining_seconds=60)
        entry = SchedulingEntry([cold, *self.entry.engines[1:]])
        self.assertLess(entry.sample(build_letter(0.8))['server-1'], 5)
        self.assertGreater(entry.sample(build_letter())['server-1'], 20)

    def test_memory_that_does_not_fit(self) -> None:
        """Guard against preemption by prompts that are on their way.

        Pattern: the memory in use fits, that of announced prompts does not.
        """
        self.entry.report(
            self.engine,
            used_tokens=MEMORY_TOKENS // 2,
            reserved_tokens=MEMORY_TOKENS // 2,
        )
        self.assertLess(self.entry.sample(build_letter())['server-1'], 5)
        outlooks = self.entry.chooser.predict_all(build_letter())
        self.assertEqual(outlooks[0].free_tokens, -3187)

    def test_failing_engine(self) -> None:
        """Guard against an engine that looks idle as it resets requests."""
        for _ in range(2):
            self.entry.failure_rates.record(self.engine.endpoint, failed=True)
        self.assertLess(self.entry.sample(build_tag())['server-1'], 5)

    def test_remote_and_sole_engines(self) -> None:
        """Guard against filling another data centre's only engine."""
        sole = build_server(9, service=ENGINE_SERVICE, data_centre='dc-b')
        entry = SchedulingEntry(
            [*self.entry.engines, sole],
            remote_losses=FakeRemoteLosses({'dc-b': 0.1}),
        )
        outlook = entry.chooser.predict_all(build_tag())[-1]
        self.assertEqual(outlook.remote_loss, 0.1)
        entry.report(sole, running_count=5)
        busier = entry.chooser.predict_all(build_tag())[-1]
        added_loss = busier.loss - outlook.loss - busier.disturbed_count
        self.assertAlmostEqual(added_loss, 0.1, 3)
        taken = entry.chooser.predict_taken(build_tag(), sole)
        self.assertAlmostEqual(taken.loss if taken else 0, busier.loss, 3)

    def test_limits_of_engines(self) -> None:
        """Guard against counting a dispatch at an engine that refuses it."""
        entry = SchedulingEntry(build_engines(2))
        outlooks = entry.chooser.predict_all(build_tag())
        entry.advisories.record_answer(entry.engines[0], ServerAdvisory(1), 0)
        taken = [
            entry.chooser.take_from(build_tag(), outlooks) for _ in range(9)
        ]
        chosen = [outlook.server.server_id for outlook in taken if outlook]
        self.assertEqual(chosen.count('server-1'), 1)
        self.assertEqual(entry.remote_losses.dispatched, chosen)
        self.assertIsNone(entry.chooser.take_from(build_tag(), outlooks[:1]))

    def test_no_start_in_time(self) -> None:
        """Guard against waiting at engines until half of the deadline.

        Pattern: all engines have more prompts than they prefill in 20 s.
        """
        refuser = Refuser(
            self.entry.holder,
            self.entry.advisories,
            self.entry.chooser.start_wait_seconds,
        )
        for engine in self.entry.engines:
            self.entry.report(engine, backlog_tokens=207000)
        self.assertIsNone(self.entry.chooser.take(build_letter()))
        with self.assertLogs('wasabistream.forwarding.refusals') as logs:
            reply = refuser.refuse(build_letter())
            self.assertIn('no engine can start it in time', logs.output[0])
        self.assertEqual(reply.headers, (('retry-after', '30.03'),))
        self.entry.report(self.engine)
        self.assertEqual(self.entry.sample(build_letter())['server-1'], 400)
        self.assertEqual(
            self.entry.chooser.start_wait_seconds(build_letter()), 0
        )

    def test_log_of_the_prediction(self) -> None:
        """Guard against predictions that nobody can compare with the result."""
        parts = build_parts(
            FakeClient(stream(events(1, 3))), *self.entry.engines
        )
        forwarder = StreamForwarder(
            parts.holder,
            self.entry.chooser,
            parts.sender,
            parts.failure_rates,
            MoveTracker(),
            parts.poison_guard,
            build_answer_buffers(),
            parts.refuser,
        )
        for engine in self.entry.engines:
            self.entry.report(engine, backlog_tokens=4000)
        count_before = _count_errors()
        watch = RequestWatch(build_letter(), FakeCaller())
        with self.assertLogs('wasabistream.forwarding', 'INFO') as logs:
            forwarder.forward(watch, AttemptHistory(), StreamProgress())
            fields = logs.records[0].__dict__
        self.assertEqual(fields['predicted_first_event_seconds'], 1.03)
        self.assertEqual(fields['server_backlog_tokens'], 4000)
        self.assertEqual(_count_errors(), count_before + 1)

    def test_engine_of_the_previous_version(self) -> None:
        """Guard against an engine without notices that seems to be idle."""
        self.entry.load.add_sent_request(self.engine.endpoint, 'a', 3187)
        self.entry.report(self.engine, backlog_tokens=900)
        estimate = self.entry.load.estimate(self.engine.endpoint)
        self.assertEqual(
            count_backlog_tokens(estimate, UNKNOWN_PACE, 3000), 3000
        )
        self.assertEqual(count_backlog_tokens(estimate, USUAL_PACE, 3000), 900)

    def test_negative_tokens(self) -> None:
        """Guard against stated tokens for which no prediction is possible.

        Pattern: each prefill pauses a stream, and the output is negative.
        """
        for engine in self.entry.engines:
            self.entry.paces.paces[engine.endpoint] = dataclasses.replace(
                USUAL_PACE, prompt_event_seconds=0.18
            )
        request = build_generation(DIGEST_ROUTE, 3000, -1)
        self.assertIsNotNone(self.entry.chooser.take(request))

    def test_unscheduled_service_is_unchanged(self) -> None:
        """Guard against a different choice for services that need none.

        Pattern: random loads of engines that are alike.
        """
        generator = random.Random(5)
        for _ in range(50):
            entry = SchedulingEntry(build_engines(8), routes=(LETTER_ROUTE,))
            for engine in entry.engines:
                entry.report(
                    engine,
                    running_count=generator.randrange(9),
                    used_tokens=generator.randrange(MEMORY_TOKENS),
                )
            expected = _choose_least_cost(entry, build_letter())
            self.assertEqual(entry.chooser.choose(build_letter()), expected)
            self.assertEqual(entry.chooser.take(build_letter()), expected)
            self.assertIsNone(
                entry.chooser.predict_taken(build_letter(), entry.engines[0])
            )
            self.assertEqual(entry.remote_losses.dispatched, [])
