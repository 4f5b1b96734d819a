"""Tests of the software version that a first event is of, without a network.

Failure pattern: servers that start again under their id while the list of an
entry is late, malformed or gone.
"""

import dataclasses
import unittest

from tests.version_builders import FORMER, NEWER, build_engine
from wasabistream.continuations.first_events import (
    MAX_CLOCK_DIFFERENCE_MS,
    bind_origin,
    confirm_origin,
    learn_version,
    note_missing_version,
)
from wasabistream.forwarding.backend_servers import BackendServer

EVENT_UNIX_MS = 100_000
CHOSEN = build_engine(1, FORMER)
OTHER_ADDRESS = dataclasses.replace(CHOSEN, address='10.0.0.9')
OTHER_SERVICE = dataclasses.replace(CHOSEN, service='other')


def restart(
    started_unix_ms: int, software_version: str = NEWER
) -> BackendServer:
    """Return the chosen server after a start with this version."""
    return build_engine(1, software_version, started_unix_ms=started_unix_ms)


class FirstEventTest(unittest.TestCase):
    """Guard against a version that is taken for certain and is not."""

    def test_binding(self) -> None:
        """Guard against the version of another start, address or service."""
        cases = (
            (CHOSEN, FORMER),
            (dataclasses.replace(CHOSEN, draining=True), FORMER),
            (None, FORMER),
            (restart(2000), ''),
            (restart(2000, FORMER), ''),
            (restart(500, FORMER), ''),
            (restart(CHOSEN.started_unix_ms), ''),
            (OTHER_ADDRESS, ''),
            (OTHER_SERVICE, ''),
        )
        for listed, software_version in cases:
            with self.subTest(listed=listed):
                first = bind_origin(CHOSEN, listed, EVENT_UNIX_MS)
                self.assertEqual(
                    first.origin.software_version, software_version
                )
                self.assertEqual(first.origin.service, CHOSEN.service)

    def test_confirmation(self) -> None:
        """Guard against a start before the event that the list shows late."""
        first = bind_origin(CHOSEN, CHOSEN, EVENT_UNIX_MS)
        latest_unix_ms = EVENT_UNIX_MS + MAX_CLOCK_DIFFERENCE_MS
        cases = (
            (CHOSEN, FORMER),
            (None, FORMER),
            (restart(latest_unix_ms + 1), FORMER),
            (restart(latest_unix_ms), ''),
            (restart(EVENT_UNIX_MS), ''),
            (restart(2000), ''),
            # The list may go back to an older state.
            (restart(500, FORMER), ''),
            (OTHER_ADDRESS, ''),
        )
        for listed, software_version in cases:
            with self.subTest(listed=listed):
                origin = confirm_origin(first, listed)
                self.assertEqual(origin.software_version, software_version)

    def test_unknown_version_stays_unknown(self) -> None:
        """Guard against a later item that gives a stream its version."""
        first = bind_origin(build_engine(1, ''), CHOSEN, EVENT_UNIX_MS)
        self.assertEqual(first.origin.software_version, '')
        self.assertEqual(confirm_origin(first, CHOSEN).software_version, '')


class AwaitedVersionTest(unittest.TestCase):
    """Guard against versions that are learned too late or of another start."""

    def setUp(self) -> None:
        """Bind a stream at a server whose version is not known."""
        first = bind_origin(build_engine(1, ''), None, EVENT_UNIX_MS)
        self.first = note_missing_version(first)

    def test_version_of_the_start(self) -> None:
        """Guard against a stream that stays without its version."""
        first = learn_version(self.first, CHOSEN)
        self.assertEqual(first.known_origin.software_version, FORMER)
        origin = confirm_origin(first, CHOSEN)
        self.assertEqual(origin.software_version, FORMER)
        self.assertFalse(first.awaits_version)

    def test_other_start_address_or_service(self) -> None:
        """Guard against a version that its engine did not have."""
        cases = (
            None,
            build_engine(1, ''),
            restart(500, FORMER),
            OTHER_ADDRESS,
            OTHER_SERVICE,
        )
        for listed in cases:
            with self.subTest(listed=listed):
                self.assertEqual(learn_version(self.first, listed), self.first)

    def test_later_start(self) -> None:
        """Guard against a doubt that an older list takes away."""
        first = learn_version(self.first, restart(2000))
        self.assertEqual(first.known_origin.software_version, '')
        self.assertFalse(first.awaits_version)
        self.assertEqual(learn_version(first, CHOSEN), first)

    def test_start_without_confirmation(self) -> None:
        """Guard against the word of the list about the start that served."""
        first = bind_origin(build_engine(1, ''), None, EVENT_UNIX_MS)
        self.assertEqual(learn_version(first, CHOSEN), first)

    def test_servers_without_a_start(self) -> None:
        """Guard against versions of servers that do not state their start."""
        unknown = build_engine(1, '', started_unix_ms=0)
        first = note_missing_version(bind_origin(unknown, None, EVENT_UNIX_MS))
        listed = build_engine(1, NEWER, started_unix_ms=0)
        self.assertEqual(learn_version(first, listed), first)

    def test_known_version_is_kept(self) -> None:
        """Guard against a list that gives a start another version later."""
        first = note_missing_version(bind_origin(CHOSEN, CHOSEN, EVENT_UNIX_MS))
        listed = restart(CHOSEN.started_unix_ms)
        self.assertEqual(learn_version(first, listed), first)
