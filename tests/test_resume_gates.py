"""Tests of when the stream forwarder asks about the origins of streams.

Failure patterns: a caller holds an event that no record covers, or a refused
request reaches an engine.
"""

import unittest
from unittest.mock import Mock, patch

from tests.forwarding_fakes import events, stream
from tests.resume_builders import CLAIM, build_resume_request
from tests.test_stream_forwarders import RESUMABLE_ROUTE, StreamForwarderCase
from wasabistream.continuations.first_events import FirstEvent
from wasabistream.continuations.interfaces import NoResumes
from wasabistream.forwarding.replies import build_refusal
from wasabistream.forwarding.requests import Reply
from wasabistream.forwarding.supervisors import RequestWatch


class ResumeGateTest(StreamForwarderCase):
    """Guard against events before their record and runs after a refusal."""

    def setUp(self) -> None:
        """Replace the gate."""
        super().setUp()
        self.gate = Mock()
        self.gate.prepare.return_value = None
        self.bodies_at_record: list[bytes] = []
        self.gate.record_first_event.side_effect = self.note_record
        path = 'wasabistream.forwarding.stream_forwarders.NoResumes'
        patcher = patch(path, return_value=self.gate)
        patcher.start()
        self.addCleanup(patcher.stop)

    def note_record(
        self, watch: RequestWatch, first: FirstEvent | None
    ) -> None:
        """Note what the caller had received."""
        self.bodies_at_record.append(self.caller.body)

    def test_record_precedes_the_first_event(self) -> None:
        """Guard against an entry that is killed between event and record."""
        self.forward(
            RESUMABLE_ROUTE,
            stream(b': comment\n\n', events(1, 2), cut=True),
            stream(events(3, 4)),
        )
        self.assertEqual(self.bodies_at_record, [b': comment\n\n'])
        self.assertTrue(self.caller.body.endswith(events(1, 4)))

    def test_refused_request_is_not_sent(self) -> None:
        """Guard against a run of what the caller is told has not run."""
        refusal = build_refusal(1)
        self.gate.prepare.return_value = refusal
        self.assertIs(self.forward(RESUMABLE_ROUTE), refusal)
        self.assertEqual(self.client.sent, [])


class NoResumesTest(unittest.TestCase):
    """Guard against a forwarder that lets any stream be resumed."""

    def test_requests(self) -> None:
        """Guard against refusing what begins a stream as well."""
        statuses = []
        for claim in (None, CLAIM):
            watch = RequestWatch(build_resume_request(claim), Mock())
            reply = NoResumes().prepare(watch) or Reply(0)
            statuses.append(reply.status)
        self.assertEqual(statuses, [0, 503])


if __name__ == '__main__':
    unittest.main()
