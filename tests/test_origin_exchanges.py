"""Tests of the exchange of streams' origins with the agents.

Failure patterns: all entries are new, the agent beside the engine is lost,
links are still being made, agents are silent or contradict each other.
"""

import threading
import time
import unittest
from dataclasses import replace
from functools import partial

from tests.forwarding_builders import Clock
from tests.resume_builders import (
    KEY,
    ORIGIN,
    OTHER_ORIGIN,
    RESUMABLE_ROUTE,
    FakeAgent,
    build_agents,
    build_engines,
)
from tests.waits import wait_for
from wasabistream.continuations.origin_exchanges import (
    MAX_ASKED_COUNT,
    MAX_REPEATED_COUNT,
    OriginExchange,
)
from wasabistream.continuations.origin_messages import (
    ORIGINS_VERSION,
    StreamOriginQuery,
    StreamOriginRecord,
    StreamOriginReply,
)
from wasabistream.continuations.origin_rings import RING_COPY_COUNT
from wasabistream.continuations.resume_decisions import (
    LINK_WAIT_SECONDS,
    ResumeDecision,
    ResumeRefusal,
    decide_resume,
)

KEEP_SECONDS = 10
REMAINING_SECONDS = 60.0
ENGINE_COUNT = 12


def find(exchange: OriginExchange) -> ResumeDecision:
    """Return the decision on the stream."""
    return exchange.find(
        KEY,
        lambda: REMAINING_SECONDS,
        partial(decide_resume, route=RESUMABLE_ROUTE),
    )


class OriginExchangeTest(unittest.TestCase):
    """Guard against origins that are lost, guessed or waited for too long."""

    def setUp(self) -> None:
        """Link an entry to agents in three data centres."""
        self.engines = build_engines(ENGINE_COUNT)
        self.exchange = OriginExchange()
        self.agents = build_agents(self.exchange, self.engines)

    def keep(self) -> list[FakeAgent]:
        """Record a stream of the first engine; return the keepers."""
        self.exchange.keep(KEY, ORIGIN, self.engines[0].endpoint, KEEP_SECONDS)
        return [agent for agent in self.agents if agent.received]

    def build_new_entry(self, agents: list[FakeAgent]) -> OriginExchange:
        """Return an entry that knows only what these agents tell it."""
        exchange = OriginExchange()
        exchange.on_fleet_changed(self.engines)
        for agent in self.agents:
            agent.received.clear()
        for agent in agents:
            agent.link_to(exchange)
        return exchange

    def test_copies(self) -> None:
        """Guard against copies that one data centre takes along."""
        keepers = self.keep()
        self.assertEqual(len(keepers), 1 + RING_COPY_COUNT)
        self.assertIn(self.agents[0], keepers)
        data_centres = {
            server.data_centre
            for server, agent in zip(self.engines, self.agents)
            if agent in keepers
        }
        self.assertEqual(len(data_centres), 3)

    def test_leaving_and_older_agents_get_no_copy(self) -> None:
        """Guard against copies that are gone, or were never understood."""
        engines = build_engines(4, ('dc-a',))
        exchange = OriginExchange()
        leaving = replace(engines[1], draining=True)
        agents = build_agents(exchange, [engines[0], leaving, *engines[2:]])
        agents[2].peer.version_max = ORIGINS_VERSION - 1
        exchange.keep(KEY, ORIGIN, engines[0].endpoint, KEEP_SECONDS)
        keepers = [bool(agent.received) for agent in agents]
        self.assertEqual(keepers, [True, False, False, True])

    def test_record_before_links_are_made(self) -> None:
        """Guard against single copies of what a new entry begins."""
        entry = self.build_new_entry(self.agents[:1])
        entry.keep(KEY, ORIGIN, self.engines[0].endpoint, KEEP_SECONDS)
        for agent in self.agents[1:]:
            self.assertFalse(agent.received)
            agent.link_to(entry)
        keeper_count = sum(bool(keeper.received) for keeper in self.agents)
        self.assertEqual(keeper_count, 1 + RING_COPY_COUNT)

    def test_agents_restart_in_turn(self) -> None:
        """Guard against a rolling restart after which nobody knows a stream."""
        for keeper in self.keep():
            keeper.restart()
        entry = self.build_new_entry(self.agents)
        self.assertEqual(find(entry).origin, ORIGIN)

    def test_repeated_record_ends_in_time(self) -> None:
        """Guard against a record that each restart of an agent renews."""
        clock = Clock()
        self.exchange = OriginExchange(clock)
        self.agents = build_agents(self.exchange, self.engines)
        keepers = self.keep()
        clock.advance(KEEP_SECONDS - 1)
        keepers[0].restart()
        repeated = keepers[0].received[0]
        assert isinstance(repeated, StreamOriginRecord)
        self.assertEqual(repeated.keep_ms, 1000)
        clock.advance(1)
        keepers[0].restart()
        self.assertEqual(keepers[0].received, [])

    def test_withdrawn_record_is_repeated_as_such(self) -> None:
        """Guard against a version that was in doubt and comes back."""
        keepers = self.keep()
        self.exchange.keep(
            KEY,
            replace(ORIGIN, software_version=''),
            self.engines[0].endpoint,
            KEEP_SECONDS,
        )
        for keeper in keepers:
            keeper.restart()
        entry = self.build_new_entry(self.agents)
        self.assertIs(find(entry).refusal, ResumeRefusal.conflicting)

    def test_number_of_repeated_records(self) -> None:
        """Guard against a table of repeats that grows with each stream."""
        endpoint = self.engines[0].endpoint
        for number in range(MAX_REPEATED_COUNT + 1):
            key = number.to_bytes(len(KEY), 'big')
            self.exchange.keep(key, ORIGIN, endpoint, KEEP_SECONDS)
        self.agents[0].restart()
        self.assertEqual(len(self.agents[0].received), MAX_REPEATED_COUNT)

    def test_any_copy_is_enough(self) -> None:
        """Guard against a new entry that needs the agent of the engine."""
        for keeper in self.keep():
            others = [agent for agent in self.agents if agent is not keeper]
            entry = self.build_new_entry(others)
            self.assertEqual(find(entry).origin, ORIGIN)
            entry = self.build_new_entry([keeper, *others[:2]])
            self.assertEqual(find(entry).origin, ORIGIN)

    def test_agents_that_do_not_know(self) -> None:
        """Guard against a wait though all agents have answered."""
        entry = self.build_new_entry(self.agents)
        started = time.monotonic()
        self.assertEqual(find(entry).refusal, ResumeRefusal.unknown)
        self.assertLess(time.monotonic() - started, LINK_WAIT_SECONDS / 2)

    def test_answers_that_contradict(self) -> None:
        """Guard against the version of the agent that answers first."""
        self.keep()
        notice = StreamOriginRecord(KEY, *_names(), 1000)
        holders = [agent for agent in self.agents if not agent.received]
        holders[0].keeper.record(notice)
        entry = self.build_new_entry(self.agents)
        self.assertEqual(find(entry).refusal, ResumeRefusal.conflicting)

    def test_silent_agents(self) -> None:
        """Guard against long waits, and against a refusal for good."""
        keepers = self.keep()
        others = [agent for agent in self.agents if agent not in keepers]
        others[0].is_answering = False
        entry = self.build_new_entry(self.agents)
        started = time.monotonic()
        self.assertEqual(find(entry).origin, ORIGIN)
        for keeper in keepers:
            keeper.is_answering = False
        self.assertEqual(find(entry).refusal, ResumeRefusal.incomplete)
        self.assertLess(time.monotonic() - started, LINK_WAIT_SECONDS / 2)

    def test_link_that_ends_during_a_search(self) -> None:
        """Guard against waiting for the answer of an agent that has gone."""
        entry = self.build_new_entry(self.agents)
        self.agents[0].is_answering = False
        decisions: list[ResumeDecision] = []
        thread = threading.Thread(target=lambda: decisions.append(find(entry)))
        thread.start()
        self.assertTrue(wait_for(lambda: self.agents[0].received))
        self.agents[0].close()
        self.agents[0].link_to(entry)
        thread.join()
        self.assertIsNotNone(decisions[0].refusal)

    def test_link_that_is_made_during_a_search(self) -> None:
        """Guard against refusing while a new entry opens its links."""
        keepers = self.keep()
        others = [agent for agent in self.agents if agent not in keepers]
        entry = self.build_new_entry(others)
        decisions: list[ResumeDecision] = []
        thread = threading.Thread(target=lambda: decisions.append(find(entry)))
        thread.start()
        self.assertTrue(
            wait_for(lambda: all(agent.received for agent in others))
        )
        keepers[1].link_to(entry)
        thread.join()
        self.assertEqual(decisions[0].origin, ORIGIN)

    def test_late_reply(self) -> None:
        """Guard against replies to a search that has ended, or to none."""
        self.assertEqual(find(self.exchange).refusal, ResumeRefusal.unknown)
        self.agents[0].reply(StreamOriginReply(1, True, 'writer', 'v1'))
        self.agents[0].reply(StreamOriginReply(99, True, 'writer', 'v1'))
        self.assertEqual(find(self.exchange).refusal, ResumeRefusal.unknown)

    def test_number_of_questions(self) -> None:
        """Guard against a question to each of thousands of agents."""
        self.engines = build_engines(200)
        self.exchange = OriginExchange()
        self.agents = build_agents(self.exchange, self.engines)
        self.keep()
        entry = self.build_new_entry(self.agents)
        self.assertEqual(find(entry).origin, ORIGIN)
        asked = [
            notice
            for agent in self.agents
            for notice in agent.received
            if isinstance(notice, StreamOriginQuery)
        ]
        self.assertEqual(len(asked), MAX_ASKED_COUNT)

    def test_engines_that_come_and_go(self) -> None:
        """Guard against copies that are not asked once the fleet changes."""
        engines = build_engines(200)
        self.engines = engines[:150]
        self.exchange = OriginExchange()
        self.agents = build_agents(self.exchange, self.engines)
        self.keep()
        kept = self.agents[10:]
        self.engines = engines[10:]
        entry = self.build_new_entry(kept)
        for server in self.engines[140:]:
            FakeAgent(entry, server).link_to(entry)
        self.assertEqual(find(entry).origin, ORIGIN)


def _names() -> tuple[str, str]:
    return OTHER_ORIGIN.service, OTHER_ORIGIN.software_version


if __name__ == '__main__':
    unittest.main()
