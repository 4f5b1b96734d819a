"""Tests of starts that an entry knows from elsewhere than its list.

Failure pattern: an entry that is cut from the store and its peers goes by the
version of a start that is over.
"""

import time
import unittest
from dataclasses import replace
from unittest.mock import Mock

from tests.ending_builders import STARTED_UNIX_MS, build_engine_server
from tests.forwarding_builders import ENGINE_SERVICE, Clock, build_fleet
from wasabistream.engine_starts.start_confirmers import (
    EngineStartConfirmer,
    StartCheck,
)
from wasabistream.engine_starts.start_messages import EngineStartReport
from wasabistream.engine_starts.start_tables import (
    MAX_REPORT_AGE_SECONDS,
    EngineStartTable,
)
from wasabistream.exceptions import BackendError, BackendTimeoutError
from wasabistream.forwarding.backend_servers import (
    BackendServer,
    build_unlisted_server,
)
from wasabistream.forwarding.endpoints import parse_endpoint
from wasabistream.forwarding.fleets import Fleet, FleetHolder
from wasabistream.platform.engine_clients import REPORT_TIMEOUT_SECONDS

LATER_UNIX_MS = STARTED_UNIX_MS + 60_000
LISTED = replace(build_engine_server(), software_version='v1')
ENDPOINT = LISTED.endpoint


def build_report(
    started_unix_ms: int = LATER_UNIX_MS, software_version: str = 'v2'
) -> EngineStartReport:
    """Return the report of the agent of the listed engine."""
    return EngineStartReport(
        ENDPOINT, ENGINE_SERVICE, started_unix_ms, software_version
    )


class StartTableCase(unittest.TestCase):
    """Hold a table of an entry that lists one engine."""

    def setUp(self) -> None:
        """Create an empty table."""
        self.clock = Clock()
        self.table = EngineStartTable(self.clock)

    def find(self, *listed: BackendServer) -> tuple[int, str]:
        """Return the start and version that count for the engine."""
        fleet = self.table.apply(build_fleet(*(listed or (LISTED,))))
        server = fleet.newest_servers()[ENDPOINT]
        return server.started_unix_ms, server.software_version


class StartTableTest(StartTableCase):
    """Guard against a list that counts although it is out of date."""

    def test_agent_reports_another_start(self) -> None:
        """Guard against the version of a start that is over."""
        self.table.record_report(build_report())
        self.assertEqual(self.find(), (LATER_UNIX_MS, 'v2'))
        self.table.record_report(build_report(software_version=''))
        self.assertEqual(self.find(), (LATER_UNIX_MS, ''))

    def test_clock_of_the_engine_went_back(self) -> None:
        """Guard against taking the highest start for the present one."""
        self.table.record_report(build_report(STARTED_UNIX_MS - 1))
        self.assertEqual(self.find(), (STARTED_UNIX_MS - 1, 'v2'))

    def test_agent_confirms_the_list(self) -> None:
        """Guard against losing a listed version that no agent was told."""
        self.table.record_report(build_report(STARTED_UNIX_MS, ''))
        self.assertEqual(self.find(), (STARTED_UNIX_MS, 'v1'))

    def test_engine_of_another_service(self) -> None:
        """Guard against a server that has the address of another one."""
        self.table.record_report(
            replace(build_report(), service='other-service')
        )
        self.assertEqual(self.find(), (STARTED_UNIX_MS, 'v1'))

    def test_list_without_starts(self) -> None:
        """Guard against distrust of all servers of a list without starts."""
        self.table.record_report(build_report())
        listed = replace(LISTED, started_unix_ms=0)
        self.assertEqual(self.find(listed), (0, 'v1'))

    def test_earlier_server_at_the_address(self) -> None:
        """Guard against two servers that count as one start."""
        earlier = replace(LISTED, server_id='earlier', started_unix_ms=5)
        self.table.record_report(build_report())
        fleet = self.table.apply(build_fleet(LISTED, earlier))
        self.assertEqual(fleet.servers['earlier'].started_unix_ms, 5)

    def test_link_ends(self) -> None:
        """Guard against a return to a start that is known to be over."""
        self.table.record_report(build_report())
        self.find()
        self.table.forget_link(ENDPOINT)
        self.assertEqual(self.find(), (LATER_UNIX_MS, 'v2'))
        newer = replace(
            LISTED, started_unix_ms=LATER_UNIX_MS + 1, software_version='v3'
        )
        self.assertEqual(self.find(newer), (LATER_UNIX_MS + 1, 'v3'))
        self.assertEqual(self.find(), (STARTED_UNIX_MS, 'v1'))

    def test_link_of_a_confirmed_start_ends(self) -> None:
        """Guard against a table that grows with each engine."""
        self.table.record_report(build_report(STARTED_UNIX_MS, 'v1'))
        self.find()
        self.table.forget_link(ENDPOINT)
        self.assertEqual(self.table._starts, {})

    def test_engine_itself_states_another_start(self) -> None:
        """Guard against sending further streams to a refuted start."""
        on_change = Mock()
        self.table.on_change = on_change
        self.table.record_answer(LISTED, LATER_UNIX_MS)
        on_change.assert_called_once()
        self.assertEqual(self.find(), (LATER_UNIX_MS, ''))
        newer = replace(LISTED, started_unix_ms=LATER_UNIX_MS + 1)
        self.assertEqual(self.find(newer), (LATER_UNIX_MS + 1, 'v1'))

    def test_announced_engine(self) -> None:
        """Guard against streams of engines that only agents announce."""
        announced = build_unlisted_server(
            parse_endpoint(ENDPOINT), ENGINE_SERVICE, 'dc-a', 24
        )
        fleet = replace(build_fleet(), servers={ENDPOINT: announced})
        self.table.record_report(build_report())
        server = self.table.apply(fleet).servers[ENDPOINT]
        self.assertEqual(server.started_unix_ms, LATER_UNIX_MS)
        self.assertEqual(server.software_version, 'v2')
        self.assertEqual(server.server_id, '')


class StartConfirmerTest(StartTableCase):
    """Guard against streams at a start that is not the listed one."""

    def setUp(self) -> None:
        """Create an entry whose engine states the listed start."""
        super().setUp()
        self.holder = FleetHolder()
        self.holder.current = build_fleet(LISTED)
        self.engines = Mock()
        self.state(STARTED_UNIX_MS)
        self.confirmer = EngineStartConfirmer(
            self.holder, self.table, self.engines
        )

    def state(self, started_unix_ms: int) -> None:
        """Make the engine state a start."""
        self.engines.read.return_value.started_unix_ms = started_unix_ms

    def confirm(self, *, asks_engine: bool = False) -> StartCheck:
        """Return the outcome for the listed engine."""
        return self.confirmer.confirm(LISTED, asks_engine=asks_engine)

    def test_recent_report(self) -> None:
        """Guard against a question to the engine for each first event."""
        self.table.record_report(build_report(STARTED_UNIX_MS))
        self.assertIs(self.confirm(), StartCheck.confirmed)
        self.engines.read.assert_not_called()

    def test_agent_is_silent(self) -> None:
        """Guard against a report from before this process was paused."""
        self.table.record_report(build_report(STARTED_UNIX_MS))
        self.clock.advance(MAX_REPORT_AGE_SECONDS + 0.1)
        self.state(LATER_UNIX_MS)
        self.assertIs(self.confirm(), StartCheck.replaced)
        self.assertEqual(self.find(), (LATER_UNIX_MS, ''))

    def test_agent_stands_still(self) -> None:
        """Guard against the word of an agent from before a restart.

        Pattern: an agent is frozen while its engine restarts at another version,
        and streams begin there within the next second.
        """
        self.table.record_report(build_report(STARTED_UNIX_MS))
        self.clock.advance(0.2)
        self.state(LATER_UNIX_MS)
        connected_at_seconds = self.clock()
        self.clock.advance(0.1)
        self.assertIs(
            self.confirmer.confirm(
                LISTED, asks_engine=False, since_seconds=connected_at_seconds
            ),
            StartCheck.replaced,
        )

    def test_agent_is_heard_during_the_attempt(self) -> None:
        """Guard against a question to the engine for each stream."""
        self.table.record_report(build_report(STARTED_UNIX_MS))
        self.clock.advance(0.2)
        connected_at_seconds = self.clock()
        self.clock.advance(0.1)
        self.table.record_sign_of_life(ENDPOINT)
        self.assertIs(
            self.confirmer.confirm(
                LISTED, asks_engine=False, since_seconds=connected_at_seconds
            ),
            StartCheck.confirmed,
        )
        self.engines.read.assert_not_called()

    def test_agent_is_heard_again(self) -> None:
        """Guard against questions beside an agent that has no news."""
        self.table.record_report(build_report(STARTED_UNIX_MS))
        self.clock.advance(MAX_REPORT_AGE_SECONDS + 0.1)
        self.table.record_sign_of_life(ENDPOINT)
        self.assertIs(self.confirm(), StartCheck.confirmed)
        self.engines.read.assert_not_called()

    def test_stream_that_goes_on(self) -> None:
        """Guard against relying on the agent where two versions may join."""
        self.table.record_report(build_report(STARTED_UNIX_MS))
        self.state(LATER_UNIX_MS)
        self.assertIs(self.confirm(asks_engine=True), StartCheck.replaced)

    def test_engine_does_not_answer(self) -> None:
        """Guard against taking no answer for a confirmation."""
        self.engines.read.side_effect = BackendError('gone', 'state')
        self.assertIs(self.confirm(), StartCheck.unknown)

    def test_answer_of_the_engine_is_late(self) -> None:
        """Guard against losing a stream by one late answer of a busy engine.

        Pattern: an engine takes over a stream as its processor is busy.
        """
        late = BackendTimeoutError('timed out', 'state')
        answer = self.engines.read.return_value
        self.engines.read.side_effect = (late, answer)
        self.assertIs(self.confirm(asks_engine=True), StartCheck.confirmed)

    def test_engine_stays_silent(self) -> None:
        """Guard against a stream that waits for its engine without end."""

        def read(server: BackendServer) -> None:
            time.sleep(REPORT_TIMEOUT_SECONDS)
            raise BackendTimeoutError('timed out', 'state')

        self.engines.read.side_effect = read
        self.assertIs(self.confirm(asks_engine=True), StartCheck.unknown)
        self.assertLessEqual(self.engines.read.call_count, 2)

    def test_engine_has_ended(self) -> None:
        """Guard against asking an engine again that refuses connections."""
        self.engines.read.side_effect = BackendError('refused', 'state')
        self.assertIs(self.confirm(asks_engine=True), StartCheck.unknown)
        self.engines.read.assert_called_once()

    def test_first_event_is_not_held_up(self) -> None:
        """Guard against a late first event; its start is confirmed later."""
        self.engines.read.side_effect = BackendTimeoutError(
            'timed out', 'state'
        )
        self.assertIs(self.confirm(), StartCheck.unknown)
        self.engines.read.assert_called_once()

    def test_engine_states_no_start(self) -> None:
        """Guard against refusing engines that do not state their start."""
        self.state(0)
        self.assertIs(self.confirm(asks_engine=True), StartCheck.confirmed)

    def test_service_was_removed(self) -> None:
        """Guard against joining two starts once the service is gone."""
        configuration = self.holder.current.configuration
        assert configuration is not None
        self.holder.current = Fleet(replace(configuration, services={}))
        self.state(LATER_UNIX_MS)
        self.assertIs(self.confirm(asks_engine=True), StartCheck.replaced)

    def test_plain_service(self) -> None:
        """Guard against questions to servers that are no engines."""
        server = replace(LISTED, service='desk')
        outcome = self.confirmer.confirm(server, asks_engine=True)
        self.assertIs(outcome, StartCheck.confirmed)
        self.engines.read.assert_not_called()


if __name__ == '__main__':
    unittest.main()
