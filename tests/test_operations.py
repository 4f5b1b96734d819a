"""Tests of the pages and commands for operators and of shutdowns."""

import io
import json
import signal
import subprocess
import unittest
from contextlib import redirect_stdout
from typing import Any

from tests.builders import wait_until
from tests.caller_fleets import (
    AGENT_ID,
    CREDENTIAL,
    caller_document,
    open_chat,
    read_events,
    start_caller_fleet,
)
from wasabistream import daemon_commands
from wasabistream.applications import EXIT_CUT, EXIT_DONE
from wasabistream_tools.fleet import Fleet


class OperationsTest(unittest.TestCase):
    """Guard the pages for operators, the drain and the exit codes."""

    # The tests stop different processes of one fleet, in the order of their
    # names.
    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start a fleet."""
        cls.fleet = start_caller_fleet()
        cls.addClassCleanup(cls.fleet.stop)

    def page(self, path: str, name: str) -> str:
        """Return a page of an entry."""
        url = self.fleet.processes[name].url
        return self.fleet.http.request('GET', url + path).data.decode()

    def drain(self, name: str) -> subprocess.Popen[bytes]:
        """Send SIGTERM and wait until the process reports not to be ready."""
        process = self.fleet.processes[name].process
        process.send_signal(signal.SIGTERM)
        wait_until(lambda: not json.loads(self.page('/readyz', name))['ready'])
        return process

    def run_for_entries(self, command: Any) -> list[dict[str, Any]]:
        """Return the rows that a command prints for both entries."""
        urls = [self.fleet.processes[f'entry-{name}'].url for name in 'ab']
        printed = io.StringIO()
        with redirect_stdout(printed):
            self.assertEqual(command(','.join(urls), as_json=True), 0)
        return [json.loads(line) for line in printed.getvalue().splitlines()]

    def test_audit_and_status(self) -> None:
        """Guard against reports without the document in force or its change."""
        rows = self.run_for_entries(daemon_commands.status)
        self.assertEqual([row['revision'] for row in rows], [1, 1])
        self.fleet.publish_document({**caller_document(), 'revision': 2})
        wait_until(
            lambda: (
                {
                    row['revision']
                    for row in self.run_for_entries(daemon_commands.status)
                }
                == {2}
            )
        )
        digest = self.run_for_entries(daemon_commands.status)[0]['digest']
        entries = [
            (row['change'], row['subject'], row['digest'])
            for row in self.run_for_entries(daemon_commands.audit)
        ]
        self.assertEqual(entries.count(('document_changed', '2', digest)), 2)
        for path in ('/audit', '/metrics', '/readyz'):
            self.assertNotIn(CREDENTIAL, self.page(path, 'entry-a'))

    def test_chosen_server(self) -> None:
        """Guard against an entry that does not tell where a request goes."""
        # Entry a opens links to the engines, which are elsewhere, on demand.
        for query, name, server in (
            ('service=booking', 'entry-a', 'booking-1'),
            ('model=assistant', 'entry-b', AGENT_ID),
        ):
            answer = json.loads(self.page(f'/route?{query}', name))
            self.assertEqual(
                (answer['process_id'], answer['decision'], answer['server']),
                (name, 'send', server),
            )

    def test_cut_by_second_signal(self) -> None:
        """Guard the exit code after a second signal, which cuts requests."""
        response = open_chat(self.fleet, 'entry-a', 'hello [[length=9000]]')
        lines = iter(response)
        read_events(lines, 1)
        process = self.drain('entry-a')
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(20), EXIT_CUT)
        response.close()

    def test_drain_of_agent(self) -> None:
        """Guard against an agent that stops before its stream has ended."""
        lines = iter(
            open_chat(
                self.fleet,
                'entry-b',
                'hello [[length=60]]',
                model='short-buffer',
            )
        )
        read_events(lines, 1)
        agent = self.fleet.processes['short-buffer-1'].process
        agent.send_signal(signal.SIGTERM)
        self.assertEqual(read_events(lines)[-1][0], 'done')
        self.assertEqual(agent.wait(20), EXIT_DONE)

    def test_drain_of_entry(self) -> None:
        """Guard against a shutdown that interrupts a request in progress."""
        lines = iter(open_chat(self.fleet, 'entry-b', 'hello [[length=60]]'))
        read_events(lines, 1)
        process = self.drain('entry-b')
        self.assertEqual(read_events(lines)[-1][0], 'done')
        self.assertEqual(process.wait(20), EXIT_DONE)
