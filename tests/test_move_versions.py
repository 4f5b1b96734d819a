"""Tests of moves while engines of several software versions serve.

Failure pattern: engines of one version leave during a roll-out, and their
generations go on at engines of another version.
"""

import unittest
from dataclasses import replace
from unittest.mock import ANY, Mock, patch

from tests.forwarding_builders import (
    ENGINE_SERVICE,
    MEMORY_TOKENS,
    OWN_DATA_CENTRE,
    SOFTWARE_VERSION,
    build_fleet,
    build_server,
)
from tests.forwarding_fakes import events, stream
from tests.move_builders import (
    LOCAL,
    REMOTE,
    SOURCE,
    EarlierEntry,
    FakeEngine,
    MoveEntry,
    MovingAgent,
    SharedTargetEngine,
    TargetRoom,
    build_runs,
)
from tests.test_stream_forwarders import (
    STREAM_ROUTE,
    StreamForwarderCase,
    build_move,
)
from wasabistream.continuations.version_messages import EngineVersionNotice
from wasabistream.engine_starts.start_messages import EngineStartReport
from wasabistream.exceptions import FrameError
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.engine_states import EngineRun
from wasabistream.forwarding.move_messages import MoveTargetReport
from wasabistream.forwarding.move_target_finders import MoveShortage
from wasabistream.messages import decode_message, encode_message
from wasabistream.metrics import MOVES_WITHOUT_TARGET
from wasabistream.queueing.starts import Start, StartReason

OTHER_VERSION = 'v1.2'
RUN = EngineRun('run', 3000, 5, 1)
# Rows of a report without versions.
EARLIER_ROWS = ([LOCAL, 'dc-a', 20000, 5], [REMOTE, 'dc-a', 20000, 0])


def build_engine(number: int, version: str = SOFTWARE_VERSION) -> BackendServer:
    """Return a listed engine of a software version."""
    return build_server(
        number, service=ENGINE_SERVICE, software_version=version
    )


class MoveVersionTest(unittest.TestCase):
    """Guard against streams that are joined from two versions."""

    def setUp(self) -> None:
        """Create an agent whose engine leaves, and one entry."""
        self.engine = FakeEngine(*build_runs(1), max_state_count=3)
        self.agent = MovingAgent(self.engine)
        self.entry = MoveEntry(self)

    def move_all(self, *servers: BackendServer) -> list[str]:
        """Move the generations; return the engines that got a copy."""
        self.entry.list_servers(*servers)
        self.entry.connect(self.agent)
        self.agent.mover.move_all()
        return [endpoint for _, endpoint, _ in self.engine.moves]

    def test_no_engine_of_the_version(self) -> None:
        """Guard against a copy of memory that only another version can use."""
        copies = self.move_all(
            build_engine(1),
            build_engine(2, OTHER_VERSION),
            build_engine(3, OTHER_VERSION),
        )
        self.assertEqual(copies, [])
        self.assertEqual(self.agent.moved, [])

    def test_one_engine_of_the_version(self) -> None:
        """Guard against a move to an engine with less load, but another version.

        It must not be lost either while one engine can continue it.
        """
        copies = self.move_all(
            build_engine(1),
            build_engine(2),
            build_engine(3, OTHER_VERSION),
            build_engine(4, OTHER_VERSION),
        )
        self.assertEqual(copies, [LOCAL, LOCAL])
        self.assertEqual([move.endpoint for move in self.agent.moved], [LOCAL])

    def test_target_that_restarted_while_it_was_cut_off(self) -> None:
        """Guard against a move to what the list takes for an earlier start.

        The target is cut from the store, but its agent reports the start.
        """
        listed = [
            replace(build_engine(number), started_unix_ms=1000)
            for number in (1, 2, 3)
        ]
        self.entry.list_servers(*listed)
        link = Mock()
        self.entry.links.on_opened(LOCAL, link)
        report = EngineStartReport(LOCAL, ENGINE_SERVICE, 2000, '')
        on_change = Mock()
        self.entry.links.starts.on_change = on_change
        self.entry.links.receive(LOCAL, link, report)
        on_change.assert_called_once()
        corrected = self.entry.links.starts.apply(build_fleet(*listed))
        copies = self.move_all(*corrected.servers.values())
        self.assertEqual(copies, [REMOTE, REMOTE])
        self.assertEqual(self.agent.moved[0].started_unix_ms, 1000)

    def test_source_that_the_entry_does_not_know(self) -> None:
        """Guard against losing generations of an engine that left the list.

        An entry that has started since then knows its version from the agent.
        """
        before = MoveEntry(self)
        before.list_servers(build_engine(1))
        before.connect(self.agent)
        self.agent.entries.clear()
        copies = self.move_all(build_engine(2), build_engine(3, OTHER_VERSION))
        self.assertEqual(copies, [LOCAL, LOCAL])

    def test_source_that_nobody_knows(self) -> None:
        """Guard against taking the only version that is listed for its own."""
        counter = MOVES_WITHOUT_TARGET.labels(
            MoveShortage.version_unknown.value
        )
        with patch.object(counter, 'inc') as count:
            copies = self.move_all(build_engine(2), build_engine(3))
            count.assert_called()
        self.assertEqual(copies, [])

    def test_source_that_has_restarted(self) -> None:
        """Guard against moves by the version before a restart."""
        self.entry.list_servers(build_engine(1))
        self.entry.connect(self.agent)
        restarted = replace(
            build_engine(1, OTHER_VERSION), started_unix_ms=1000
        )
        self.entry.list_servers(restarted, build_engine(2))
        self.agent.mover.move_all()
        self.assertEqual(self.engine.moves, [])

    def test_two_servers_at_an_address(self) -> None:
        """Guard against a copy to the server that a crashed one has left.

        The item of the crashed one, of the right version, is still listed.
        """
        later = replace(
            build_engine(2, OTHER_VERSION),
            server_id='server-20',
            started_unix_ms=1000,
        )
        copies = self.move_all(build_engine(1), later, build_engine(2))
        self.assertEqual(copies, [])

    def test_entries_that_answer_differently(self) -> None:
        """Guard against targets of an entry that does not state versions."""
        earlier = EarlierEntry(self, *EARLIER_ROWS)
        for is_first in (True, False):
            self.setUp()
            if is_first:
                earlier.connect(self.agent)
            self.entry.connect(self.agent)
            if not is_first:
                earlier.connect(self.agent)
            self.entry.list_servers(build_engine(1), build_engine(2))
            self.agent.mover.move_all()
            endpoints = [move.endpoint for move in self.agent.moved]
            self.assertEqual(endpoints, [LOCAL])

    def test_entries_of_an_earlier_build(self) -> None:
        """Guard against rows whose versions nobody states."""
        self.agent.version.record_notice(
            EngineVersionNotice(ENGINE_SERVICE, SOFTWARE_VERSION, 0)
        )
        EarlierEntry(self, *EARLIER_ROWS).connect(self.agent)
        self.agent.mover.move_all()
        self.assertEqual(self.engine.moves, [])

    def test_malformed_versions(self) -> None:
        """Guard against rows that get the versions of others."""
        self.agent.version.record_notice(
            EngineVersionNotice(ENGINE_SERVICE, SOFTWARE_VERSION, 0)
        )
        for versions in (
            [SOFTWARE_VERSION],
            [SOFTWARE_VERSION, SOFTWARE_VERSION, SOFTWARE_VERSION],
            [SOFTWARE_VERSION, 12],
        ):
            with self.assertLogs('wasabistream', 'WARNING'):
                self.agent.receive(
                    MoveTargetReport(list(EARLIER_ROWS), [], versions)
                )
            self.assertIsNone(
                self.agent.finder.find(RUN, 0, remote_affordable=True)
            )
        with self.assertRaises(FrameError):
            decode_message([83, [], [], 'v1'], 'entry')

    def test_agent_of_an_earlier_build(self) -> None:
        """Guard against other versions among the targets of its query."""
        self.entry.list_servers(
            build_engine(1), build_engine(2), build_engine(3, OTHER_VERSION)
        )
        self.entry.connect(self.agent)
        link = self.entry.agent_links[SOURCE]
        self.entry.receive(
            SOURCE, decode_message([82, ENGINE_SERVICE], 'agent')
        )
        # Agents of earlier builds refuse rows of more columns.
        self.assertEqual(
            encode_message(link.send.call_args.args[0]),
            (
                83,
                [[LOCAL, OWN_DATA_CENTRE, MEMORY_TOKENS, 2]],
                ANY,
                [SOFTWARE_VERSION],
                # The start is not listed. They ignore fields that they do not
                # know.
                [0],
            ),
        )

    def leave_together(self, room: TargetRoom) -> list[MovingAgent]:
        """Let three engines with four generations each leave at once."""
        agents = [
            MovingAgent(
                SharedTargetEngine(room, *build_runs(4)),
                f'10.0.0.{number}:8000',
            )
            for number in (1, 3, 4)
        ]
        self.entry.list_servers(
            *(build_engine(number) for number in (1, 3, 4, 2)),
            build_engine(5, OTHER_VERSION),
            used_tokens=20000,
        )
        self.entry.report_leaving(*(agent.endpoint for agent in agents))
        for agent in agents:
            self.entry.connect(agent)
            agent.mover.move_all()
        return agents

    def test_room_for_some(self) -> None:
        """Guard against overfilling the last engine of a version.

        Several leave at once and get the same reports; what does not fit stays.
        """
        for room, moved_count in (
            (TargetRoom(10000, 24), 3),
            (TargetRoom(30000, 2), 2),
        ):
            agents = self.leave_together(room)
            moved = [move for agent in agents for move in agent.moved]
            self.assertEqual({move.endpoint for move in moved}, {LOCAL})
            self.assertEqual(len(moved), moved_count)
            left_count = sum(len(agent.engine.runs) for agent in agents)
            self.assertEqual(left_count, 12 - moved_count)

    def test_reported_room(self) -> None:
        """Guard against copies to an engine that is known to be full."""
        agents = self.leave_together(TargetRoom(100000, 24))
        # Each has 10000 tokens, and generations of 3000 tokens may grow.
        self.assertEqual([len(agent.moved) for agent in agents], [3, 3, 3])


class MoveDestinationTest(StreamForwarderCase):
    """Guard against entries that go on wherever a message names."""

    def test_engine_of_another_version(self) -> None:
        """Guard against one stream that is joined from two versions."""
        self.versions = (SOFTWARE_VERSION, OTHER_VERSION, OTHER_VERSION)
        self.start = Start(StartReason.room, build_engine(1))
        self.moves.record_move(build_move())
        self.forward(
            STREAM_ROUTE, stream(events(1, 3), cut=True), stream(events(4, 6))
        )
        self.assertEqual(self.caller.body, events(1, 3))
        self.assertTrue(self.caller.aborted)


if __name__ == '__main__':
    unittest.main()
