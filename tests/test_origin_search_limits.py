"""Tests of the time and the reach of searches for the origin of a stream.

Load patterns: links that open one after the other, more searches than may
wait, a large fleet. Failure patterns: silent agents, lost copies.
"""

import threading
import time
import unittest
from collections.abc import Sequence
from functools import partial

from tests.forwarding_builders import Clock
from tests.resume_builders import (
    KEY,
    ORIGIN,
    RESUMABLE_ROUTE,
    FakeAgent,
    build_agents,
    build_engines,
)
from tests.waits import wait_for
from wasabistream.continuations.origin_exchanges import (
    MAX_ASKED_COUNT,
    OriginExchange,
)
from wasabistream.continuations.origin_messages import (
    StreamOriginQuery,
    StreamOriginRecord,
)
from wasabistream.continuations.origin_tables import build_origin_key
from wasabistream.continuations.question_budgets import MAX_QUESTION_COUNT
from wasabistream.continuations.resume_decisions import (
    ANSWER_SECONDS,
    FIRST_ANSWER_SECONDS,
    MAX_LINK_WAITER_COUNT,
    ResumeDecision,
    ResumeRefusal,
    decide_resume,
)

DECIDE = partial(decide_resume, route=RESUMABLE_ROUTE)
KEEP_SECONDS = 60
REMAINING_SECONDS = 60.0
LARGE_FLEET_COUNT = 200
STREAM_COUNT = 20


def find(exchange: OriginExchange, key: bytes = KEY) -> ResumeDecision:
    """Return the decision on a stream."""
    return exchange.find(key, lambda: REMAINING_SECONDS, DECIDE)


def count_questions(agents: Sequence[FakeAgent]) -> int:
    """Return how many queries the agents have received."""
    return sum(
        isinstance(notice, StreamOriginQuery)
        for agent in agents
        for notice in agent.received
    )


class SearchLimitTest(unittest.TestCase):
    """Guard against searches that last too long or end too early."""

    def test_no_engine_is_listed_yet(self) -> None:
        """Guard against a final refusal before anybody could be asked."""
        decision = find(OriginExchange())
        self.assertIs(decision.refusal, ResumeRefusal.incomplete)

    def test_remaining_time(self) -> None:
        """Guard against a search that outlasts its request."""
        exchange = OriginExchange()
        for agent in build_agents(exchange, build_engines(3)):
            agent.is_answering = False
        end_seconds = time.monotonic() + 0.05
        exchange.find(KEY, lambda: end_seconds - time.monotonic(), DECIDE)
        self.assertLess(time.monotonic(), end_seconds + 0.05)

    def test_known_origin_while_links_open(self) -> None:
        """Guard against a wait that starts again with each new link."""
        engines = build_engines(40)
        exchange = OriginExchange()
        exchange.on_fleet_changed(engines)
        agents = [FakeAgent(exchange, engine) for engine in engines]
        agents[0].is_answering = False
        agents[1].keeper.record(
            StreamOriginRecord(
                KEY, ORIGIN.service, ORIGIN.software_version, 60_000
            )
        )
        for agent in agents[:2]:
            agent.link_to(exchange)

        def open_others() -> None:
            for agent in agents[2:]:
                time.sleep(ANSWER_SECONDS * 0.8)
                agent.link_to(exchange)

        opener = threading.Thread(target=open_others)
        opener.start()
        self.addCleanup(opener.join)
        started = time.monotonic()
        self.assertEqual(find(exchange).origin, ORIGIN)
        self.assertLess(time.monotonic() - started, 4 * ANSWER_SECONDS)

    def test_later_searches_do_not_end_earlier_ones(self) -> None:
        """Guard against requests that lose their wait to later ones."""
        engines = build_engines(6)
        exchange = OriginExchange()
        exchange.on_fleet_changed(engines)
        decisions: dict[int, ResumeDecision] = {}

        def search(number: int) -> None:
            key = build_origin_key('org', str(number))
            decisions[number] = find(exchange, key)

        threads = [
            threading.Thread(target=search, args=(number,))
            for number in range(MAX_LINK_WAITER_COUNT + 30)
        ]
        for thread in threads[:MAX_LINK_WAITER_COUNT]:
            thread.start()
        wait_for(lambda: len(exchange._searches) == MAX_LINK_WAITER_COUNT)
        silent = FakeAgent(exchange, engines[5])
        silent.is_answering = False
        silent.link_to(exchange)
        for thread in threads[MAX_LINK_WAITER_COUNT:]:
            thread.start()
        time.sleep(2 * FIRST_ANSWER_SECONDS)
        ended = [
            number for number in decisions if number < MAX_LINK_WAITER_COUNT
        ]
        for thread in threads:
            thread.join()
        self.assertEqual(ended, [])

    def test_link_to_an_agent_that_is_not_asked(self) -> None:
        """Guard against a wait for a link that is of no use."""
        engines = build_engines(LARGE_FLEET_COUNT)
        exchange = OriginExchange()
        exchange.on_fleet_changed(engines)
        farthest = list(exchange._ring.walk(KEY))[-1]
        for engine in engines:
            if engine is not farthest:
                FakeAgent(exchange, engine).link_to(exchange)
        started = time.monotonic()
        self.assertIs(find(exchange).refusal, ResumeRefusal.unknown)
        self.assertLess(time.monotonic() - started, FIRST_ANSWER_SECONDS)

    def test_agent_beside_the_engine_in_a_large_fleet(self) -> None:
        """Guard against a record that lives where nobody asks."""
        engines = build_engines(LARGE_FLEET_COUNT)
        before = OriginExchange()
        agents = build_agents(before, engines)
        decisions: list[ResumeDecision] = []
        for number in range(STREAM_COUNT):
            key = build_origin_key('org', str(number))
            beside = agents[number * 10]
            for agent in agents:
                agent.received.clear()
            before.keep(key, ORIGIN, beside.endpoint, KEEP_SECONDS)
            exchange = OriginExchange()
            exchange.on_fleet_changed(engines)
            for agent in agents:
                if agent is beside or not agent.received:
                    agent.link_to(exchange)
            decisions.append(exchange.find(key, float, DECIDE))
        self.assertEqual({decision.origin for decision in decisions}, {ORIGIN})

    def test_known_stream_asks_no_others(self) -> None:
        """Guard against asking a whole fleet for each stream."""
        exchange = OriginExchange()
        agents = build_agents(exchange, build_engines(LARGE_FLEET_COUNT))
        exchange.keep(KEY, ORIGIN, agents[0].endpoint, KEEP_SECONDS)
        self.assertEqual(find(exchange).origin, ORIGIN)
        self.assertEqual(count_questions(agents), MAX_ASKED_COUNT)

    def test_many_unknown_streams(self) -> None:
        """Guard against control traffic that grows with unknown streams."""
        exchange = OriginExchange(Clock())
        agents = build_agents(exchange, build_engines(LARGE_FLEET_COUNT))
        search_count = 2 * MAX_QUESTION_COUNT // LARGE_FLEET_COUNT
        for number in range(search_count):
            key = build_origin_key('org', str(number))
            self.assertIs(find(exchange, key).refusal, ResumeRefusal.unknown)
        self.assertLessEqual(
            count_questions(agents),
            search_count * MAX_ASKED_COUNT + MAX_QUESTION_COUNT,
        )


if __name__ == '__main__':
    unittest.main()
