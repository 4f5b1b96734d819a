"""Tests of doubts about a stream's version, and of searches in a burst.

Failure patterns: a stream is joined from two versions as a doubt is forgotten,
or is refused though its version serves.
"""

import time
import unittest
from dataclasses import replace
from unittest.mock import Mock

from tests.forwarding_builders import build_fleet, build_holder
from tests.forwarding_fakes import FakeCaller
from tests.resume_builders import (
    FIRST_ID,
    build_agents,
    build_engines,
    build_resume_request,
)
from wasabistream.continuations.origin_exchanges import OriginExchange
from wasabistream.continuations.stream_continuations import StreamContinuations
from wasabistream.continuations.stream_resumes import StreamResumer
from wasabistream.engine_starts.start_confirmers import StartCheck
from wasabistream.forwarding.stream_progress import StreamProgress
from wasabistream.forwarding.supervisors import RequestWatch
from wasabistream.units import MILLISECONDS_PER_SECOND

START_GAP_SECONDS = 6.0


def now_ms() -> int:
    """Return the time as lists state it."""
    return round(time.time() * MILLISECONDS_PER_SECOND)


class DoubtTest(unittest.TestCase):
    """Guard against events of two versions after a start that is listed late."""

    def setUp(self) -> None:
        """Begin a stream at a server of v1, which the list shows as that."""
        engines = build_engines(4)
        self.engines = [
            replace(engine, software_version=version, started_unix_ms=1)
            for engine, version in zip(engines, ('v1', 'v1', 'v2', 'v2'))
        ]
        self.holder = build_holder(*self.engines)
        self.exchange = OriginExchange()
        build_agents(self.exchange, self.engines)
        self.resumer = StreamResumer(self.holder, self.exchange, lambda: True)
        self.continuations = StreamContinuations(self.holder)
        self.progress = StreamProgress()
        self.watch = RequestWatch(
            build_resume_request(None, FIRST_ID), FakeCaller()
        )
        self.watch.endpoint = self.engines[0].endpoint
        self.continuations.bind(self.engines[0], self.watch, self.progress)
        self.resumer.record_first_event(self.watch, self.progress.first_event)
        # The server had restarted before the event; the list shows it late.
        self.restarted = replace(
            self.engines[0],
            software_version='v2',
            started_unix_ms=now_ms() - 500,
        )
        self.holder.current = build_fleet(self.restarted, *self.engines[1:])

    def confirm(self) -> str:
        """Return the version that the list confirms now."""
        origin = self.continuations.confirm(
            self.watch.request, self.progress, asks_engine=True
        ).origin
        assert origin is not None
        return origin.software_version

    def test_resume_by_caller(self) -> None:
        """Guard against a take-up at the version that the list has refuted."""
        self.assertEqual(self.confirm(), '')
        self.resumer.withdraw(self.watch)
        self.watch.resources.close()
        resumed = RequestWatch(build_resume_request(), FakeCaller())
        self.assertIsNotNone(self.resumer.prepare(resumed))

    def test_server_that_leaves_after_its_restart(self) -> None:
        """Guard against a doubt that ends as the restarted server leaves."""
        self.assertEqual(self.confirm(), '')
        self.holder.current = build_fleet(*self.engines[1:])
        self.assertEqual(self.confirm(), '')

    def test_second_restart(self) -> None:
        """Guard against a doubt that ends as the server starts once more."""
        self.assertEqual(self.confirm(), '')
        again = replace(
            self.restarted,
            started_unix_ms=now_ms()
            + round(START_GAP_SECONDS * MILLISECONDS_PER_SECOND),
        )
        self.holder.current = build_fleet(again, *self.engines[1:])
        self.assertEqual(self.confirm(), '')


class AwaitedVersionTest(unittest.TestCase):
    """Guard against streams that lose a version which is listed late."""

    def setUp(self) -> None:
        """List a server that has started again, without its version."""
        self.listed = [
            replace(engine, software_version='v1', started_unix_ms=1)
            for engine in build_engines(4)
        ]
        self.restarted = replace(self.listed[0], software_version='')
        self.holder = build_holder(self.restarted, *self.listed[1:])
        self.exchange = OriginExchange()
        build_agents(self.exchange, [self.restarted, *self.listed[1:]])
        self.resumer = StreamResumer(self.holder, self.exchange, lambda: True)
        self.continuations = StreamContinuations(self.holder)
        self.starts = Mock()
        self.continuations.starts = self.starts
        self.progress = StreamProgress()
        self.watch = RequestWatch(
            build_resume_request(None, FIRST_ID), FakeCaller()
        )
        self.watch.endpoint = self.restarted.endpoint

    def begin(self, check: StartCheck) -> None:
        """Pass on the first event of the server with this check of its start."""
        self.starts.confirm.return_value = check
        self.continuations.bind(self.restarted, self.watch, self.progress)
        self.resumer.record_first_event(self.watch, self.progress.first_event)

    def list_version(self) -> None:
        """List the start with its version."""
        self.holder.current = build_fleet(*self.listed)
        self.exchange.on_fleet_changed(self.listed)

    def confirm(self) -> str:
        """Return the version that the list confirms now."""
        origin = self.continuations.confirm(
            self.watch.request, self.progress, asks_engine=False
        ).origin
        assert origin is not None
        return origin.software_version

    def is_taken_up(self) -> bool:
        """Return whether the caller can take the stream up."""
        resumed = RequestWatch(build_resume_request(), FakeCaller())
        return self.resumer.prepare(resumed) is None

    def test_confirmed_start(self) -> None:
        """Guard against a stream that cannot go on though its version serves."""
        self.begin(StartCheck.confirmed)
        self.assertEqual(self.confirm(), '')
        self.assertFalse(self.is_taken_up())
        self.list_version()
        self.assertEqual(self.confirm(), 'v1')
        self.assertTrue(self.is_taken_up())

    def test_start_that_did_not_serve(self) -> None:
        """Guard against the version of a start that is over, or may be."""
        for check in (StartCheck.replaced, StartCheck.unknown):
            with self.subTest(check=check):
                self.setUp()
                self.begin(check)
                self.list_version()
                self.assertEqual(self.confirm(), '')
                self.assertFalse(self.is_taken_up())

    def test_withdrawn_stream(self) -> None:
        """Guard against a doubt that a late version takes away."""
        self.begin(StartCheck.confirmed)
        self.resumer.withdraw(self.watch)
        self.list_version()
        self.assertFalse(self.is_taken_up())

    def test_later_start(self) -> None:
        """Guard against a version that is learned beside a later start."""
        self.begin(StartCheck.confirmed)
        later = replace(
            self.listed[0], software_version='v2', started_unix_ms=now_ms()
        )
        self.holder.current = build_fleet(later, *self.listed[1:])
        self.assertEqual(self.confirm(), '')
        self.assertFalse(self.progress.awaits_version)
        self.resumer.withdraw(self.watch)
        self.list_version()
        self.assertEqual(self.confirm(), '')
        self.assertFalse(self.is_taken_up())
