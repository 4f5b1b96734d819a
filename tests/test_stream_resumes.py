"""Tests of requests that resume a stream at an entry.

Failure patterns: streams joined from two software versions, begun anew behind
the id of an event, or taken up by another organisation.
"""

import logging
import unittest
from dataclasses import replace
from typing import Any

from tests.forwarding_builders import build_fleet, build_holder, build_route
from tests.forwarding_fakes import FakeCaller
from tests.resume_builders import (
    CLAIM,
    ORIGIN,
    OTHER_ORIGIN,
    RESUMABLE_ROUTE,
    build_agents,
    build_engines,
    build_resume_request,
)
from wasabistream.continuations.origin_exchanges import OriginExchange
from wasabistream.continuations.resume_decisions import (
    ResumeClaim,
    ResumeRefusal,
)
from wasabistream.continuations.stream_origins import StreamOrigin
from wasabistream.continuations.stream_resumes import StreamResumer
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.replies import RETRY_AFTER_MAX_SECONDS
from wasabistream.forwarding.requests import ForwardRequest, Reply
from wasabistream.forwarding.routes import Destination, RouteKind
from wasabistream.forwarding.supervisors import CutReason, RequestWatch
from wasabistream.retries import Deadline

# Outlasts the other tests, as the requests are built when they are loaded.
DEADLINE = Deadline(3600)
FIRST = replace(
    build_resume_request(None, CLAIM.first_request_id), deadline=DEADLINE
)
RESUME = replace(build_resume_request(), deadline=DEADLINE)
LOGGER_NAME = StreamResumer.__module__
SERVICE_VERSION = ORIGIN.software_version


def build_versioned(*versions: str) -> list[BackendServer]:
    """Return engines with these software versions."""
    return [
        replace(engine, software_version=version)
        for engine, version in zip(build_engines(len(versions)), versions)
    ]


class StreamResumerTest(unittest.TestCase):
    """Guard against streams that go on where they must not, or do not."""

    def setUp(self) -> None:
        """Start an entry that lists two engines of each of two versions."""
        self.engines = build_versioned('v1', 'v1', 'v2', 'v2')
        self.holder = build_holder(*self.engines)
        self.is_list_current = True
        self.exchange = OriginExchange()
        self.agents = build_agents(self.exchange, self.engines)
        self.resumer = StreamResumer(
            self.holder, self.exchange, lambda: self.is_list_current
        )

    def list_only(self, *engines: BackendServer) -> None:
        """Remove all other engines from the list."""
        self.holder.current = build_fleet(*engines)

    def begin(self, request: ForwardRequest = FIRST) -> RequestWatch:
        """Pass on the first event of a stream of the first engine."""
        engine = self.engines[0]
        origin = request.origin or StreamOrigin(
            engine.service, engine.software_version
        )
        watch = RequestWatch(replace(request, origin=origin), FakeCaller())
        watch.endpoint = engine.endpoint
        self.resumer.record_first_event(watch, None)
        return watch

    def start_new_entry(self) -> None:
        """Replace the entry by one that knows only the agents."""
        self.exchange = OriginExchange()
        self.exchange.on_fleet_changed(self.engines)
        for agent in self.agents:
            agent.link_to(self.exchange)
        self.resumer = StreamResumer(
            self.holder, self.exchange, lambda: self.is_list_current
        )

    def prepare(
        self, request: ForwardRequest = RESUME
    ) -> tuple[Reply | None, ForwardRequest]:
        """Resume a stream; return the refusal, if any, and the request."""
        watch = RequestWatch(request, FakeCaller())
        return self.resumer.prepare(watch), watch.request

    def read_line(self, request: ForwardRequest) -> dict[str, Any]:
        """Return the fields of the first log line about a resume.

        Threads of earlier tests may log meanwhile.
        """
        with self.assertLogs(LOGGER_NAME, logging.INFO) as logs:
            self.prepare(request)
            return logs.records[0].__dict__

    def assert_refused(
        self, refusal: ResumeRefusal, request: ForwardRequest = RESUME
    ) -> float:
        """Check that a request is refused; return its Retry-After."""
        fields = self.read_line(request)
        self.assertEqual(fields['refusal'], refusal)
        reply, prepared = self.prepare(request)
        self.assertIsNone(prepared.origin)
        assert reply is not None
        self.assertEqual(reply.status, 503)
        return float(dict(reply.headers)['retry-after'])

    def assert_goes_on(self, request: ForwardRequest = RESUME) -> None:
        """Check that a request is bound to the stream's origin."""
        reply, prepared = self.prepare(request)
        self.assertIsNone(reply)
        self.assertEqual(prepared.origin, ORIGIN)

    def test_old_list(self) -> None:
        """Guard against refusing for good by a list that is out of date."""
        self.begin()
        self.list_only(*self.engines[2:])
        final_seconds = self.assert_refused(ResumeRefusal.version_gone)
        self.assertGreater(final_seconds, RETRY_AFTER_MAX_SECONDS)
        self.is_list_current = False
        wait_seconds = self.assert_refused(ResumeRefusal.version_gone)
        self.assertLessEqual(wait_seconds, RETRY_AFTER_MAX_SECONDS)

    def test_old_list_and_a_malformed_request(self) -> None:
        """Guard against an early return that is refused in any case."""
        self.is_list_current = False
        request = replace(
            RESUME, resume_claim=ResumeClaim('', has_event_id=True)
        )
        final_seconds = self.assert_refused(ResumeRefusal.malformed, request)
        self.assertGreater(final_seconds, RETRY_AFTER_MAX_SECONDS)

    def test_other_requests(self) -> None:
        """Guard against refusing or binding a request that begins a stream."""
        self.assertEqual(self.prepare(FIRST), (None, FIRST))

    def test_same_entry_asks_nobody(self) -> None:
        """Guard against a message for each stream resumed where it began."""
        self.begin()
        sent_counts = [len(agent.received) for agent in self.agents]
        self.assert_goes_on()
        self.assertEqual(
            [len(agent.received) for agent in self.agents], sent_counts
        )

    def test_new_entry(self) -> None:
        """Guard against refusing streams whose version still serves."""
        self.begin()
        self.start_new_entry()
        fields = self.read_line(RESUME)
        self.assertEqual(fields['msg'], 'stream: taken up')
        self.assertEqual(
            [
                fields[name]
                for name in ('source', 'resumes', 'software_version')
            ],
            ['agent', CLAIM.first_request_id, SERVICE_VERSION],
        )

    def test_version_that_is_gone(self) -> None:
        """Guard against the only version listed, and a vain early return."""
        self.begin()
        self.list_only(*self.engines[2:])
        wait_seconds = self.assert_refused(ResumeRefusal.version_gone)
        self.assertGreater(wait_seconds, RETRY_AFTER_MAX_SECONDS)

    def test_unknown_stream(self) -> None:
        """Guard against a guess while only one version is listed."""
        self.list_only(*self.engines[:2])
        self.assert_refused(ResumeRefusal.unknown)

    def test_links_that_are_not_made(self) -> None:
        """Guard against sending a caller away for good from a new entry."""
        self.begin()
        self.exchange = OriginExchange()
        self.exchange.on_fleet_changed(self.engines)
        self.resumer = StreamResumer(
            self.holder, self.exchange, lambda: self.is_list_current
        )
        wait_seconds = self.assert_refused(ResumeRefusal.incomplete)
        self.assertLessEqual(wait_seconds, RETRY_AFTER_MAX_SECONDS)

    def test_other_organisation(self) -> None:
        """Guard against resuming a stream of another organisation."""
        first = self.begin()
        self.assert_refused(
            ResumeRefusal.unknown, replace(RESUME, organisation='org-2')
        )
        self.assertIsNone(first.reason)

    def test_chain(self) -> None:
        """Guard against a record that the second resume does not renew."""
        self.begin()
        for request_id in ('request-2', 'request-3'):
            request = replace(RESUME, request_id=request_id)
            _, prepared = self.prepare(request)
            # A server of another version has the address now.
            self.list_only(
                replace(self.engines[0], software_version='v2'),
                *self.engines[1:],
            )
            self.begin(prepared)
            self.start_new_entry()
        self.assert_goes_on(replace(RESUME, request_id='request-4'))
        self.assert_refused(
            ResumeRefusal.unknown,
            build_resume_request(ResumeClaim('request-2', True)),
        )

    def test_stream_that_two_versions_began(self) -> None:
        """Guard against an id that a caller gave to two requests."""
        self.begin()
        self.begin(replace(FIRST, origin=OTHER_ORIGIN))
        self.assert_refused(ResumeRefusal.conflicting)
        self.start_new_entry()
        self.assert_refused(ResumeRefusal.conflicting)

    def test_stream_without_a_known_version(self) -> None:
        """Guard against a record of a server that is not listed."""
        unknown = StreamOrigin(ORIGIN.service, '')
        with self.assertLogs(LOGGER_NAME, logging.INFO):
            self.begin(replace(FIRST, origin=unknown))
        self.assert_refused(ResumeRefusal.unknown)

    def test_route_that_is_not_resumable(self) -> None:
        """Guard against records that nobody may use, and against their use."""
        route = build_route(RouteKind.streaming, service='writer')
        self.begin(replace(FIRST, route=route))
        self.assertFalse(any(agent.received for agent in self.agents))
        self.assert_refused(
            ResumeRefusal.not_resumable, replace(RESUME, route=route)
        )

    def test_malformed_claim(self) -> None:
        """Guard against beginning anew behind the id of an event."""
        self.begin()
        for claim in (
            ResumeClaim('', True),
            replace(CLAIM, has_event_id=False),
        ):
            self.assert_refused(
                ResumeRefusal.malformed, build_resume_request(claim)
            )

    def test_route_to_several_services(self) -> None:
        """Guard against the service that was drawn for the new request."""
        self.begin()
        goals = (Destination('desk', 9), Destination(ORIGIN.service, 1))
        route = replace(RESUMABLE_ROUTE, destinations=goals)
        _, prepared = self.prepare(replace(RESUME, route=route, service='desk'))
        self.assertEqual(prepared.service, ORIGIN.service)
        route = replace(RESUMABLE_ROUTE, destinations=goals[:1])
        self.assert_refused(
            ResumeRefusal.not_on_route,
            replace(RESUME, route=route, service='desk'),
        )

    def test_first_request_still_runs(self) -> None:
        """Guard against two runs of one stream after its caller has left.

        The end of the caller's connection may not have been seen yet.
        """
        first = self.begin()
        second = RequestWatch(RESUME, FakeCaller())
        self.assertIsNone(self.resumer.prepare(second))
        self.assertEqual(first.reason, CutReason.resumed)
        self.assertTrue(first.is_ended)
        second.endpoint = self.engines[1].endpoint
        self.resumer.record_first_event(second, None)
        first.resources.close()
        self.assert_goes_on(replace(RESUME, request_id='request-3'))
        self.assertEqual(second.reason, CutReason.resumed)
        second.resources.close()
        self.assertFalse(self.resumer._running)


if __name__ == '__main__':
    unittest.main()
