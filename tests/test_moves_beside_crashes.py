"""Tests of streams whose engine crashes while their run is moved.

Failure pattern: the agent has copied the run and stops it; the engine crashes and
starts again, so that the list names a start which may have sent the first event.
The stream is cut though its copy waits at another engine.
"""

import time
import unittest
from dataclasses import replace
from unittest.mock import Mock

from tests.forwarding_builders import (
    ENGINE_SERVICE,
    SOFTWARE_VERSION,
    build_fleet,
    build_holder,
    build_request,
    build_route,
    build_server,
)
from tests.forwarding_fakes import FakeCaller
from wasabistream.continuations.stream_continuations import StreamContinuations
from wasabistream.engine_starts.start_confirmers import StartCheck
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.move_messages import RunMoved
from wasabistream.forwarding.routes import RouteKind
from wasabistream.forwarding.stream_progress import StreamProgress
from wasabistream.forwarding.supervisors import RequestWatch
from wasabistream.units import MILLISECONDS_PER_SECOND

OTHER_VERSION = 'v1.2'
RUN_ID = 'request-1'
# Less than the difference that two clocks may have.
RESTART_SECONDS = 4
STARTED_BEFORE_MS = 60_000


def build_engine(number: int, started_unix_ms: int) -> BackendServer:
    """Return a listed engine."""
    return replace(
        build_server(number, service=ENGINE_SERVICE),
        started_unix_ms=started_unix_ms,
        software_version=SOFTWARE_VERSION,
    )


class MoveBesideCrashTest(unittest.TestCase):
    """Guard against streams that are cut in spite of their copy."""

    def setUp(self) -> None:
        """Begin a stream at an engine, beside one of its version."""
        now_ms = round(time.time() * MILLISECONDS_PER_SECOND)
        self.source = build_engine(1, now_ms - STARTED_BEFORE_MS)
        self.target = build_engine(2, now_ms - STARTED_BEFORE_MS)
        self.holder = build_holder(self.source, self.target)
        self.continuations = StreamContinuations(self.holder)
        self.starts = Mock()
        self.continuations.starts = self.starts
        self.check(StartCheck.confirmed)
        self.progress = StreamProgress()
        route = build_route(RouteKind.streaming, service=ENGINE_SERVICE)
        self.watch = RequestWatch(build_request(route, RUN_ID), FakeCaller())
        self.watch.attach(self.source.endpoint, Mock())
        self.restarted = replace(
            self.source,
            started_unix_ms=now_ms + RESTART_SECONDS * MILLISECONDS_PER_SECOND,
            software_version='',
        )

    def check(self, outcome: StartCheck) -> None:
        """Set what is known of the start of an engine."""
        self.starts.confirm.return_value = outcome

    def find_target(
        self, version: str = SOFTWARE_VERSION
    ) -> BackendServer | None:
        """Return where the stream goes on once its engine has restarted."""
        self.continuations.bind(self.source, self.watch, self.progress)
        self.holder.current = build_fleet(self.restarted, self.target)
        moved = RunMoved(
            RUN_ID,
            self.target.endpoint,
            self.source.endpoint,
            'handle-1',
            version,
            self.target.started_unix_ms,
        )
        return self.continuations.find_target(
            moved, self.source, self.watch, self.progress
        )

    def test_source_has_restarted(self) -> None:
        """Guard against refusing a copy because of a later start."""
        self.assertEqual(self.find_target(), self.target)
        origin = self.watch.request.origin
        assert origin is not None
        self.assertEqual(origin.software_version, SOFTWARE_VERSION)

    def test_start_was_not_confirmed(self) -> None:
        """Guard against refusing a copy whose version the agent states."""
        self.check(StartCheck.unknown)
        self.assertEqual(self.find_target(), self.target)

    def test_start_was_refuted(self) -> None:
        """Guard against joining versions when the list was wrong."""
        self.check(StartCheck.replaced)
        self.assertIsNone(self.find_target())

    def test_agent_states_no_version(self) -> None:
        """Guard against trusting the list where the agent cannot tell."""
        self.assertIsNone(self.find_target(''))

    def test_agent_states_another_version(self) -> None:
        """Guard against a list and an agent that contradict each other."""
        self.assertIsNone(self.find_target(OTHER_VERSION))


if __name__ == '__main__':
    unittest.main()
