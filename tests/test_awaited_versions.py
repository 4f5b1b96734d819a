"""Tests of streams that wait for the version of their engine's start.

Failure pattern: an engine restarts, its agent states the start at once, and the
list names the version some time later.
"""

import dataclasses
import unittest

from tests.forwarding_builders import Clock
from tests.version_builders import FORMER, NEWER, build_engine
from wasabistream.engine_starts.awaited_versions import (
    MAX_AWAITED_COUNT,
    AwaitedVersions,
)
from wasabistream.forwarding.backend_servers import BackendServer

KEEP_SECONDS = 10.0
SERVER = build_engine(1, '')
LISTED = build_engine(1, NEWER)


class AwaitedVersionsTest(unittest.TestCase):
    """Guard against streams that are lost, or kept without end."""

    def setUp(self) -> None:
        """Let one stream wait."""
        self.clock = Clock()
        self.awaited = AwaitedVersions(self.clock)
        self.awaited.add(b'key', SERVER, KEEP_SECONDS)

    def take(self, *servers: BackendServer) -> list[tuple[bytes, str]]:
        """Return the streams whose versions become known."""
        known = self.awaited.take(
            {server.endpoint: server for server in servers}
        )
        return [(awaited.key, version) for awaited, version in known]

    def test_version_of_the_start(self) -> None:
        """Guard against records that are made late, twice or not at all."""
        self.assertEqual(self.take(), [])
        self.assertEqual(self.take(SERVER), [])
        self.assertEqual(self.take(LISTED), [(b'key', NEWER)])
        self.assertEqual(self.take(LISTED), [])

    def test_later_start(self) -> None:
        """Guard against the version of another start of the engine."""
        later = build_engine(1, FORMER, started_unix_ms=2000)
        self.assertEqual(self.take(later), [])
        # A list that lags behind may name the former start again.
        self.assertEqual(self.take(LISTED), [(b'key', NEWER)])

    def test_other_service(self) -> None:
        """Guard against another service at the same address."""
        other = dataclasses.replace(LISTED, service='other')
        self.assertEqual(self.take(other), [])

    def test_withdrawn_stream(self) -> None:
        """Guard against a record that comes back after its withdrawal."""
        self.awaited.discard(b'key')
        self.assertEqual(self.take(LISTED), [])

    def test_expired_stream(self) -> None:
        """Guard against records that outlive their time."""
        self.clock.advance(KEEP_SECONDS)
        self.assertEqual(self.take(LISTED), [])

    def test_many_streams(self) -> None:
        """Guard against memory that grows while no version is known."""
        for number in range(MAX_AWAITED_COUNT):
            self.awaited.add(str(number).encode(), SERVER, KEEP_SECONDS)
        self.assertEqual(len(self.take(LISTED)), MAX_AWAITED_COUNT)
