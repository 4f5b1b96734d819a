"""Tests of streams whose engine restarts while its agent stands still.

Failure pattern: the entry records the version of the start before, by the word of
an agent that is older than the restart. The entry is lost, and the caller takes
the stream up elsewhere, at an engine of that version.
"""

import unittest

from tests.builders import wait_until
from tests.resume_fleets import (
    ResumeFleetCase,
    VersionedEngine,
    build_resume,
)
from wasabistream.platform.entry_applications import PlatformEntry

FIRST_ID = 'r1'


class FrozenAgentTest(ResumeFleetCase):
    """Guard against streams of two software versions."""

    def test_engine_restarts_at_another_version(self) -> None:
        """Guard against a record that rests on an earlier start."""
        engine = self.add_engine('v1')
        entry = self.start_entry()
        self.freeze_agent(entry, engine)
        engine.restart('v2')
        stream = self.begin(entry, FIRST_ID)
        self.assertIn(b'data: v2 1', stream.received)
        self.add_engine('v1')
        second_entry = self.start_entry()
        self.wait_for_links(second_entry)
        answer = self.send(second_entry, build_resume('r2', FIRST_ID))
        self.assertNotIn('data: v1', answer)

    def test_engine_serves_on(self) -> None:
        """Guard against refusing streams for the lack of a report alone."""
        engine = self.add_engine('v1')
        entry = self.start_entry()
        self.freeze_agent(entry, engine)
        self.begin(entry, FIRST_ID)
        second_entry = self.start_entry()
        self.wait_for_links(second_entry)
        answer = self.send(second_entry, build_resume('r2', FIRST_ID))
        self.assertIn('data: v1 4', answer)

    def freeze_agent(
        self, entry: PlatformEntry, engine: VersionedEngine
    ) -> None:
        """Stop the reports of an agent that an entry has just heard.

        Its link stays open.
        """
        listed = entry.fleet.current.servers[engine.server_id]
        starts = entry._agent_links.starts
        wait_until(lambda: starts.is_confirmed(listed))
        self.agents[engine.server_id]._watcher.stop()


if __name__ == '__main__':
    unittest.main()
