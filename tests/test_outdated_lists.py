"""Tests of streams at an entry that is cut from the store, on real connections.

Failure pattern: during a release an entry is out of step for some seconds while
engines start again under their ids with other software. Streams that are taken
up there, or that begin there, are joined from two software versions.
"""

import dataclasses
import re
import unittest

from tests.builders import wait_until
from tests.resume_fleets import (
    REMAINING_MS,
    ResumeFleetCase,
    VersionedEngine,
    build_resume,
)
from wasabistream.platform.entry_applications import PlatformEntry

STREAM_COUNT = 8
RETRY_AFTER = re.compile(r'retry-after: ([0-9.]+)', re.IGNORECASE)


class OutdatedListCase(ResumeFleetCase):
    """Run two engines, an entry in step and one that is cut off."""

    def setUp(self) -> None:
        """Start all at the first version."""
        super().setUp()
        self.pair = [self.add_engine('v1') for _ in range(2)]
        self.in_step = self.start_entry()
        self.behind = self.start_entry_to_cut_off()
        for entry in (self.in_step, self.behind):
            self.wait_for_links(entry)

    def release(self, *engines: VersionedEngine) -> None:
        """Start engines again with other software and list them."""
        for engine in engines:
            engine.restart('v2')
            self.list_start(engine)
        servers = self.in_step.fleet
        wait_until(
            lambda: (
                sum(
                    server.software_version == 'v2'
                    for server in servers.current.servers.values()
                )
                == len(engines)
            )
        )

    def begin_streams(self, entry: PlatformEntry) -> dict[str, str]:
        """Begin streams and lose them; return the version of each one."""
        versions = {}
        for number in range(STREAM_COUNT):
            request_id = f'first-{number}'
            stream = self.begin(entry, request_id)
            found = re.search(rb'data: (v\d) 1\n', stream.received)
            assert found is not None
            versions[request_id] = found.group(1).decode()
            stream.close()
        return versions

    def resume(self, entry: PlatformEntry, first_id: str) -> str:
        """Take a stream up at an entry and return the answer."""
        return self.send(entry, build_resume(f'resume-{first_id}', first_id))

    def find_versions(self, received: str) -> set[str]:
        """Return the versions of the events in an answer."""
        return set(re.findall(r'data: (v\d) ', received))


class TakeUpTest(OutdatedListCase):
    """Guard against streams that are taken up at an entry out of step."""

    def test_all_engines_are_released(self) -> None:
        """Guard against going on at another version, and any wait for it."""
        versions = self.begin_streams(self.in_step)
        self.cut_off(self.behind)
        self.release(*self.pair)
        for first_id in versions:
            received = self.resume(self.behind, first_id)
            self.assertEqual(self.find_versions(received), set(), received)

    def test_as_soon_as_the_engine_restarts(self) -> None:
        """Guard against a take-up before any agent reports the start."""
        versions = self.begin_streams(self.in_step)
        self.cut_off(self.behind)
        for engine in self.pair:
            engine.restart('v2')
        for first_id in versions:
            received = self.resume(self.behind, first_id)
            self.assertEqual(self.find_versions(received), set(), received)

    def test_agents_are_lost(self) -> None:
        """Guard against a list that neither agents nor peers correct."""
        versions = self.begin_streams(self.behind)
        self.cut_off(self.behind)
        for engine in self.pair:
            self.stop_agent(engine)
            engine.restart('v2')
        for first_id in versions:
            received = self.resume(self.behind, first_id)
            self.assertEqual(self.find_versions(received), set(), received)

    def test_one_engine_is_released(self) -> None:
        """Guard against refusing streams whose version still serves."""
        versions = self.begin_streams(self.in_step)
        self.cut_off(self.behind)
        self.release(self.pair[0])
        for first_id in versions:
            received = self.resume(self.behind, first_id)
            self.assertEqual(self.find_versions(received), {'v1'}, received)

    def test_streams_of_the_newer_version(self) -> None:
        """Guard against losing streams that began at what is not listed."""
        self.cut_off(self.behind)
        self.release(*self.pair)
        versions = self.begin_streams(self.in_step)
        for first_id in versions:
            received = self.resume(self.behind, first_id)
            self.assertEqual(self.find_versions(received), {'v2'}, received)

    def test_version_that_is_not_listed(self) -> None:
        """Guard against refusing for good what the list may show later."""
        self.cut_off(self.behind)
        engine = self.add_engine('v2')
        for other in self.pair:
            self.remove(other)
        wait_until(lambda: len(self.in_step.fleet.current.servers) == 1)
        versions = self.begin_streams(self.in_step)
        self.assertEqual(set(versions.values()), {'v2'})
        self.assertIsNone(
            self.behind.fleet.current.servers.get(engine.server_id)
        )
        received = self.resume(self.behind, 'first-0')
        self.assertTrue(received.startswith('HTTP/1.1 503'), received)
        found = RETRY_AFTER.search(received)
        assert found is not None
        self.assertLess(float(found.group(1)), REMAINING_MS / 1000 / 2)


class BeginningTest(OutdatedListCase):
    """Guard against streams that begin at an entry out of step."""

    def take_up_in_step(self, versions: dict[str, str]) -> None:
        """Lose the entry and check that each stream goes on as it began."""
        self.stop_entry(self.behind)
        for first_id, version in versions.items():
            received = self.resume(self.in_step, first_id)
            self.assertEqual(self.find_versions(received), {version}, received)

    def test_one_engine_is_released(self) -> None:
        """Guard against streams that are recorded with the listed version."""
        self.cut_off(self.behind)
        self.release(self.pair[0])
        versions = self.begin_streams(self.behind)
        self.assertEqual(set(versions.values()), {'v1', 'v2'})
        self.take_up_in_step(versions)

    def test_version_is_told_after_the_first_event(self) -> None:
        """Guard against losing streams of a start whose version comes later.

        The agent reads the start from its engine, but gets the version from
        entries, once they list it.
        """
        self.cut_off(self.behind)
        released = self.pair[0]
        released.restart('v2')
        self.wait_for_start(released, '')
        versions = self.begin_streams(self.behind)
        self.assertEqual(set(versions.values()), {'v1', 'v2'})
        self.list_start(released)
        self.wait_for_start(released, 'v2')
        self.take_up_in_step(versions)

    def wait_for_start(
        self, engine: VersionedEngine, software_version: str
    ) -> None:
        """Wait until the entry out of step knows a start at a version."""
        fleet = self.behind.fleet
        wait_until(
            lambda: (
                fleet.current.servers[engine.server_id]
                == dataclasses.replace(
                    fleet.current.servers[engine.server_id],
                    started_unix_ms=engine.started_unix_ms,
                    software_version=software_version,
                )
            )
        )

    def test_agents_are_lost(self) -> None:
        """Guard against a version that nobody has confirmed."""
        self.cut_off(self.behind)
        self.stop_agent(self.pair[0])
        self.pair[0].restart('v2')
        self.list_start(self.pair[0])
        versions = self.begin_streams(self.behind)
        self.stop_entry(self.behind)
        for first_id, version in versions.items():
            received = self.resume(self.in_step, first_id)
            self.assertLessEqual(self.find_versions(received), {version})


if __name__ == '__main__':
    unittest.main()
