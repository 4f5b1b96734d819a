"""Tests of the software version of an engine, as its agent knows it.

Failure pattern: an engine restarts at another version, and its agent moves
generations by the version before.
"""

import unittest
from unittest.mock import Mock

from tests.ending_builders import build_state
from tests.forwarding_builders import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    SOFTWARE_VERSION,
    Clock,
    build_fleet,
    build_server,
)
from tests.move_builders import SOURCE, FakeEngine, build_runs
from tests.platform_builders import NODE
from wasabistream.continuations.engine_versions import (
    RELIST_SECONDS,
    RESTART_POLL_COUNT,
    EngineVersion,
    VersionedEngine,
)
from wasabistream.continuations.listed_engines import (
    UNLISTED_SECONDS,
    ListedEngines,
)
from wasabistream.continuations.version_messages import EngineVersionNotice
from wasabistream.exceptions import BackendError
from wasabistream.platform.agent_applications import PlatformAgent
from wasabistream.platform.node_applications import ProcessOptions
from wasabistream.platform.node_files import decode_node

OTHER_VERSION = 'v1.2'


class EngineVersionTest(unittest.TestCase):
    """Guard against a version that is not that of the running engine."""

    def setUp(self) -> None:
        """Create an agent that was told a version."""
        self.clock = Clock()
        self.version = EngineVersion(ENGINE_SERVICE, self.clock)
        self.tell(SOFTWARE_VERSION, 1000)

    def tell(
        self, version: str, started_unix_ms: int, service: str = ENGINE_SERVICE
    ) -> None:
        """Tell the agent what an entry lists."""
        self.version.record_notice(
            EngineVersionNotice(service, version, started_unix_ms)
        )

    def check_version(self, version: str) -> None:
        """Check the version that moves are made by."""
        self.assertEqual(self.version.origin.software_version, version)

    def miss_polls(self, engine: VersionedEngine, count: int) -> None:
        """Poll an engine that does not answer."""
        for _ in range(count):
            with self.assertRaises(BackendError):
                engine.state()

    def test_entries_that_list_different_starts(self) -> None:
        """Guard against an entry whose list is out of date."""
        self.tell(OTHER_VERSION, 2000)
        self.tell(SOFTWARE_VERSION, 1000)
        self.check_version(OTHER_VERSION)

    def test_other_service(self) -> None:
        """Guard against the item of a server that had the address before."""
        self.tell(OTHER_VERSION, 2000, PLAIN_SERVICE)
        self.check_version(SOFTWARE_VERSION)

    def test_gap_in_the_answers(self) -> None:
        """Guard against the version before a restart that is not listed yet.

        An engine that was only silent must be moved from again.
        """
        fake = FakeEngine(max_state_count=0)
        engine = VersionedEngine(fake, self.version)
        self.miss_polls(engine, RESTART_POLL_COUNT - 1)
        self.check_version(SOFTWARE_VERSION)
        self.miss_polls(engine, 1)
        self.check_version('')
        fake.answer(*build_runs(1))
        engine.state()
        self.check_version('')
        self.clock.advance(RELIST_SECONDS)
        self.check_version(SOFTWARE_VERSION)

    def test_notice_after_a_gap(self) -> None:
        """Guard against an engine that waits though it was listed again."""
        fake = FakeEngine(max_state_count=0)
        engine = VersionedEngine(fake, self.version)
        self.miss_polls(engine, RESTART_POLL_COUNT)
        fake.answer(*build_runs(1))
        engine.state()
        self.tell(SOFTWARE_VERSION, 1000)
        self.check_version('')
        self.tell(OTHER_VERSION, 2000)
        self.check_version(OTHER_VERSION)

    def test_engine_that_starts_after_its_agent(self) -> None:
        """Guard against streams that a new engine cannot move for seconds.

        Its agent polled it before it answered, and took that for a restart.
        22 moves of a quiet day found no target.
        """
        for is_told_first in (True, False):
            version = EngineVersion(ENGINE_SERVICE, self.clock, lambda: 2.0)
            fake = FakeEngine(max_state_count=0)
            engine = VersionedEngine(fake, version)
            self.miss_polls(engine, RESTART_POLL_COUNT)
            fake.answer(*build_runs(1))
            notice = EngineVersionNotice(ENGINE_SERVICE, OTHER_VERSION, 2001)
            if is_told_first:
                version.record_notice(notice)
            engine.state()
            version.record_notice(notice)
            self.assertEqual(version.origin.software_version, OTHER_VERSION)


class StatedStartTest(unittest.TestCase):
    """Guard against a version that belongs to another start of the engine."""

    def setUp(self) -> None:
        """Create an agent whose engine states its start."""
        self.version = EngineVersion(ENGINE_SERVICE)
        self.on_change = Mock()
        self.version.on_change = self.on_change
        self.answer(1000)

    def answer(self, started_unix_ms: int) -> None:
        """Have the engine answer a poll."""
        self.version.record_answered_poll(
            build_state(started_unix_ms=started_unix_ms)
        )

    def tell(self, version: str, started_unix_ms: int) -> None:
        """Tell the agent what an entry lists."""
        self.version.record_notice(
            EngineVersionNotice(ENGINE_SERVICE, version, started_unix_ms)
        )

    def check_version(self, version: str) -> None:
        """Check the version that moves are made by and entries are told."""
        self.assertEqual(self.version.origin.software_version, version)
        self.assertEqual(self.version.start[1], version)

    def test_entry_that_is_out_of_step(self) -> None:
        """Guard against the first notice to an agent that has just started."""
        self.tell(OTHER_VERSION, 500)
        self.check_version('')
        self.tell(SOFTWARE_VERSION, 1000)
        self.check_version(SOFTWARE_VERSION)

    def test_restart_between_two_polls(self) -> None:
        """Guard against a restart that fails no poll."""
        self.tell(SOFTWARE_VERSION, 1000)
        self.answer(2000)
        self.check_version('')
        self.tell(OTHER_VERSION, 2000)
        self.check_version(OTHER_VERSION)

    def test_notice_before_the_poll(self) -> None:
        """Guard against losing what was told of a start before it answers."""
        self.tell(SOFTWARE_VERSION, 1000)
        self.tell(OTHER_VERSION, 2000)
        self.check_version(SOFTWARE_VERSION)
        self.answer(2000)
        self.check_version(OTHER_VERSION)

    def test_clock_went_back(self) -> None:
        """Guard against a start that counts as an earlier one."""
        self.tell(SOFTWARE_VERSION, 1000)
        self.answer(900)
        self.tell(OTHER_VERSION, 900)
        self.check_version(OTHER_VERSION)

    def test_silent_engine_that_answers_again(self) -> None:
        """Guard against distrust of a start that is known to go on."""
        self.tell(SOFTWARE_VERSION, 1000)
        for _ in range(RESTART_POLL_COUNT):
            self.version.record_failed_poll()
        self.assertEqual(self.version.origin.software_version, '')
        self.answer(1000)
        self.check_version(SOFTWARE_VERSION)

    def test_changes(self) -> None:
        """Guard against entries that are told too late or at each poll."""
        self.on_change.reset_mock()
        self.tell(SOFTWARE_VERSION, 1000)
        self.on_change.assert_called_once()
        self.answer(1000)
        self.tell(SOFTWARE_VERSION, 1000)
        self.on_change.assert_called_once()
        self.answer(2000)
        self.assertEqual(self.on_change.call_count, 2)


class ListedEnginesTest(unittest.TestCase):
    """Guard against telling agents too little or the wrong version."""

    def setUp(self) -> None:
        """List one engine."""
        self.clock = Clock()
        self.engines = ListedEngines(self.clock)
        self.fleet = build_fleet(build_server(1, service=ENGINE_SERVICE))
        self.engines.on_fleet_changed(self.fleet)

    def find_version(self) -> str:
        """Return the version of the engine."""
        origin = self.engines.find_origin(SOURCE, ENGINE_SERVICE)
        return origin.software_version

    def test_engine_that_has_left(self) -> None:
        """Guard against forgetting an engine that is still moved from.

        Another one may have its address later.
        """
        self.engines.on_fleet_changed(build_fleet())
        self.clock.advance(UNLISTED_SECONDS)
        self.engines.on_fleet_changed(build_fleet())
        self.assertEqual(self.find_version(), SOFTWARE_VERSION)
        self.clock.advance(1)
        self.engines.on_fleet_changed(build_fleet())
        self.assertEqual(self.find_version(), '')
        self.assertIsNone(self.engines.build_notice(SOURCE))

    def test_change(self) -> None:
        """Guard against notices to all agents at each change of the list."""
        other = build_server(2, service=ENGINE_SERVICE)
        both = build_fleet(*self.fleet.servers.values(), other)
        changed = self.engines.on_fleet_changed(both)
        self.assertEqual(changed, [other.endpoint])

    def test_address_of_another_service(self) -> None:
        """Guard against judging a stream by a server of another service."""
        self.engines.on_fleet_changed(
            build_fleet(build_server(1, service=PLAIN_SERVICE))
        )
        self.assertEqual(self.find_version(), '')


class AgentVersionTest(unittest.TestCase):
    """Guard against notices that an agent does not read."""

    def test_notice(self) -> None:
        """Guard against an agent that never moves its generations."""
        node = {**NODE, 'app': '127.0.0.1:9', 'service': ENGINE_SERVICE}
        agent = PlatformAgent(decode_node(node), ProcessOptions('', 0))
        notice = EngineVersionNotice(ENGINE_SERVICE, SOFTWARE_VERSION, 1000)
        agent.on_messages(Mock(), [notice])
        self.assertEqual(agent.engine_origin.software_version, SOFTWARE_VERSION)


if __name__ == '__main__':
    unittest.main()
