"""Tests of the servers at which entries go on with moved generations.

Failure pattern: an agent of an earlier build, or one that goes by a list that
is out of date, moves a generation to an engine of another software version.
"""

import unittest
from dataclasses import replace

from tests.forwarding_builders import (
    ENGINE_SERVICE,
    SOFTWARE_VERSION,
    build_fleet,
    build_server,
)
from tests.move_builders import LOCAL, SOURCE
from wasabistream.continuations.move_destinations import (
    find_move_destination,
)
from wasabistream.forwarding.backend_servers import (
    BackendServer,
    build_unlisted_server,
)
from wasabistream.forwarding.endpoints import parse_endpoint
from wasabistream.forwarding.move_messages import RunMoved
from wasabistream.messages import decode_message

OTHER_VERSION = 'v1.2'


def build_engine(number: int, version: str = SOFTWARE_VERSION) -> BackendServer:
    """Return a listed engine of a software version."""
    return build_server(
        number, service=ENGINE_SERVICE, software_version=version
    )


def build_moved(
    stated_version: str = SOFTWARE_VERSION, endpoint: str = LOCAL
) -> RunMoved:
    """Return the notice of a move by an agent that states a version."""
    return RunMoved('run', endpoint, SOURCE, 'handle', stated_version)


class FindMoveDestinationTest(unittest.TestCase):
    """Guard against joined streams and against cutting sound ones."""

    def check(
        self,
        expected: BackendServer | None,
        moved: RunMoved,
        source: BackendServer,
        *servers: BackendServer,
    ) -> None:
        """Check where an entry that lists these servers goes on."""
        fleet = build_fleet(*servers)
        found = find_move_destination(fleet, moved, source)
        self.assertEqual(found, expected)

    def test_listed_engine(self) -> None:
        """Guard against another version, whatever the agent has compared."""
        source, same = build_engine(1), build_engine(2)
        other = build_engine(2, OTHER_VERSION)
        for moved in (build_moved(), build_moved('')):
            self.check(same, moved, source, same)
            self.check(None, moved, source, other)

    def test_source_of_unknown_version(self) -> None:
        """Guard against losing a stream whose source other entries list."""
        source, destination = build_engine(1, ''), build_engine(2)
        self.check(destination, build_moved(), source, destination)
        self.check(None, build_moved(''), source, destination)

    def test_contradiction(self) -> None:
        """Guard against going on though the source may have restarted."""
        for version in (SOFTWARE_VERSION, OTHER_VERSION):
            destination = build_engine(2, version)
            moved = build_moved(OTHER_VERSION)
            self.check(None, moved, build_engine(1), destination)

    def test_unlisted_engine(self) -> None:
        """Guard against cutting a stream that moves to an unlisted engine.

        It may move on from there. Agents of earlier builds compare nothing.
        """
        source = build_engine(1)
        unlisted = replace(
            build_unlisted_server(
                parse_endpoint(LOCAL),
                ENGINE_SERVICE,
                source.data_centre,
                source.slot_count,
            ),
            software_version=SOFTWARE_VERSION,
        )
        self.check(unlisted, build_moved(), source)
        announced = replace(unlisted, software_version='')
        self.check(unlisted, build_moved(), source, announced)
        self.check(None, build_moved(''), source)
        self.check(None, build_moved(''), source, announced)
        self.check(source, build_moved(endpoint=SOURCE), unlisted, source)

    def test_start_of_an_unlisted_engine(self) -> None:
        """Guard against a destination that cannot be compared on arrival."""
        source = build_engine(1)
        moved = replace(build_moved(), started_unix_ms=1000)
        destination = find_move_destination(build_fleet(source), moved, source)
        assert destination is not None
        self.assertEqual(destination.started_unix_ms, 1000)

    def test_two_servers_at_an_address(self) -> None:
        """Guard against the listed item of a server that has crashed."""
        crashed = build_engine(2)
        later = replace(
            build_engine(2, OTHER_VERSION),
            server_id='server-20',
            started_unix_ms=1000,
        )
        self.check(None, build_moved(), build_engine(1), later, crashed)

    def test_last_copy_that_failed(self) -> None:
        """Guard against a stream that does not go on at its own source."""
        source = build_engine(1, '')
        self.check(source, build_moved('', SOURCE), source)

    def test_malformed_endpoint(self) -> None:
        """Guard against an unhandled error by a message."""
        self.check(None, build_moved(endpoint='nowhere'), build_engine(1))

    def test_agent_of_an_earlier_build(self) -> None:
        """Guard against refusing its notices."""
        self.assertEqual(
            decode_message([81, 'run', LOCAL, SOURCE, 'handle'], 'agent'),
            build_moved(''),
        )


if __name__ == '__main__':
    unittest.main()
