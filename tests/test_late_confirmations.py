"""Tests of streams whose engine's start is confirmed after the first event.

Failure pattern: an engine is too busy to report its start as a stream begins, its
agent states it later, and the entry ends before the stream does.
"""

import unittest
from collections.abc import Callable
from unittest.mock import Mock

from tests.forwarding_builders import ENGINE_SERVICE
from tests.forwarding_fakes import FakeCaller, FakeClient, events, stream
from tests.resume_builders import (
    FIRST_ID,
    build_agents,
    build_resume_request,
)
from tests.version_builders import (
    FORMER,
    NEWER,
    build_engine,
    build_stream_forwarder,
    call_at_read,
)
from wasabistream.continuations.origin_exchanges import OriginExchange
from wasabistream.continuations.stream_resumes import StreamResumer
from wasabistream.engine_starts.start_confirmers import EngineStartConfirmer
from wasabistream.engine_starts.start_messages import EngineStartReport
from wasabistream.engine_starts.start_tables import EngineStartTable
from wasabistream.exceptions import BackendError, BackendTimeoutError
from wasabistream.forwarding.attempts import AttemptHistory
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.move_trackers import MoveTracker
from wasabistream.forwarding.stream_progress import StreamProgress
from wasabistream.forwarding.supervisors import RequestWatch

BEGINNING = events(1, 2)
REST = events(3, 4)
FIRST = build_engine(1, FORMER)
OTHERS = (build_engine(2, FORMER), build_engine(3, NEWER))
LATE = BackendTimeoutError('timed out', 'state')


class LateConfirmationTest(unittest.TestCase):
    """Guard against streams that nobody can take up though their start is known."""

    def setUp(self) -> None:
        """Link an entry to agents that have stated no start yet."""
        self.table = EngineStartTable()
        self.engines = Mock()
        self.engines.read.side_effect = self.read
        # The start that the first engine reports, or why it does not.
        self.reported: int | BackendError = LATE
        self.exchange = OriginExchange()
        build_agents(self.exchange, [FIRST, *OTHERS])
        self.caller = FakeCaller()

    def read(self, server: BackendServer) -> Mock:
        """Return the report of an engine."""
        if server.endpoint != FIRST.endpoint:
            return Mock(started_unix_ms=server.started_unix_ms)
        if isinstance(self.reported, BackendError):
            raise self.reported
        return Mock(started_unix_ms=self.reported)

    def state_start(
        self,
        started_unix_ms: int = FIRST.started_unix_ms,
        version: str = FORMER,
    ) -> None:
        """Have the agent state the start of its engine."""
        self.table.record_report(
            EngineStartReport(
                FIRST.endpoint, ENGINE_SERVICE, started_unix_ms, version
            )
        )

    def forward(
        self, after_two_events: Callable[[], object], *beginning: bytes
    ) -> None:
        """Forward a stream that is cut after its beginning, if that is given."""
        pieces = (BEGINNING, *(beginning or (REST,)))
        begun = call_at_read(
            stream(*pieces, cut=bool(beginning)), after_two_events, index=1
        )
        client = FakeClient(begun, stream(REST))
        built = build_stream_forwarder(client, MoveTracker(), FIRST, *OTHERS)
        self.resumer = StreamResumer(built.holder, self.exchange, lambda: True)
        built.forwarder.resumes = self.resumer
        built.forwarder.continuations.starts = EngineStartConfirmer(
            built.holder, self.table, self.engines
        )
        watch = RequestWatch(build_resume_request(None, FIRST_ID), self.caller)
        built.forwarder.forward(watch, AttemptHistory(), StreamProgress())
        watch.resources.close()

    def is_taken_up(self) -> bool:
        """Return whether the caller can take the stream up."""
        resumed = RequestWatch(build_resume_request(), FakeCaller())
        return self.resumer.prepare(resumed) is None

    def test_agent_confirms_the_start(self) -> None:
        """Guard against a record that is not made up for later."""
        self.forward(self.state_start)
        self.assertEqual(self.caller.body, BEGINNING + REST)
        self.assertTrue(self.is_taken_up())

    def test_engine_ends_after_the_confirmation(self) -> None:
        """Guard against breaking off a stream whose version serves elsewhere."""

        def confirm_and_end() -> None:
            self.state_start()
            self.reported = BackendError('gone', 'state')

        self.forward(confirm_and_end, events(3, 3))
        self.assertEqual(self.caller.body, BEGINNING + REST)
        self.assertTrue(self.is_taken_up())

    def test_engine_confirms_the_start(self) -> None:
        """Guard against a stream that goes on here but is not recorded."""

        def answer() -> None:
            self.reported = FIRST.started_unix_ms

        self.forward(answer, b'id: 3\n')
        self.assertEqual(self.caller.body, BEGINNING + REST)
        self.assertTrue(self.is_taken_up())

    def test_agent_states_another_start(self) -> None:
        """Guard against a version that the first event may not be of."""
        self.forward(lambda: self.state_start(2000, NEWER))
        self.assertFalse(self.is_taken_up())

    def test_agent_was_heard_before(self) -> None:
        """Guard against the word of an agent from before the first event."""
        self.state_start()
        self.forward(lambda: None)
        self.assertFalse(self.is_taken_up())

    def test_nobody_confirms_the_start(self) -> None:
        """Guard against a record of a start that may be over."""
        self.forward(lambda: None)
        self.assertEqual(self.caller.body, BEGINNING + REST)
        self.assertFalse(self.is_taken_up())
