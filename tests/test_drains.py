"""Tests with processes: drains, and a data centre taken out of service."""

import signal
import threading
import time
import unittest

import urllib3

from wasabistream_tools import measure_datacentre
from wasabistream_tools.demo import CREDENTIAL
from wasabistream_tools.fleet import Fleet
from wasabistream_tools.steady_loads import SteadyLoad, check_stream

EXIT_LIMIT_SECONDS = 30
WAIT_LIMIT_SECONDS = 30
STREAM_COUNT = 4
LENGTH_TOKENS = 60


class DrainTest(unittest.TestCase):
    """Guard against errors at callers while parts of the fleet leave."""

    def setUp(self) -> None:
        """Start two data centres with one entry each."""
        self.fleet = measure_datacentre.start_fleet('balanced')
        self.addCleanup(self.fleet.stop)
        self.urls = [entry.url for entry in self.fleet.entries()]
        self.http = urllib3.PoolManager(maxsize=16, retries=False)
        self.errors: list[str] = []

    def test_draining_agent_ends_streams(self) -> None:
        """Guard against streams cut by an agent that drains on SIGTERM."""
        first = self._start_streams(self.urls[0])
        self._wait_for_started('dc-a', STREAM_COUNT)
        self.fleet.send_signal('dc-a-0', signal.SIGTERM)
        second = self._start_streams(self.urls[0])
        self._join(first + second)
        self.assertEqual(self._exit_code('dc-a-0'), 0)

    def test_draining_entry_ends_streams(self) -> None:
        """Guard against streams cut by an entry that drains on SIGTERM."""
        streams = self._start_streams(self.urls[0])
        self._wait_for_started('dc-a', STREAM_COUNT)
        self.fleet.send_signal('entry-dc-a', signal.SIGTERM)
        self._join(streams)
        self.assertEqual(self._exit_code('entry-dc-a'), 0)

    def test_data_centre_taken_out_and_returned(self) -> None:
        """Guard against new work in a data centre that was taken out."""
        load = SteadyLoad(self.urls, CREDENTIAL, 10, seed=1)
        load.start()
        self._wait_for_started('dc-a', 1)
        measure_datacentre.publish_revision(
            self.fleet, revision=2, in_service=False
        )
        time.sleep(measure_datacentre.REMOVAL_LIMIT_SECONDS)
        count = measure_datacentre.started_count(self.fleet, 'dc-a')
        time.sleep(1)
        self.assertEqual(
            measure_datacentre.started_count(self.fleet, 'dc-a'), count
        )
        measure_datacentre.publish_revision(
            self.fleet, revision=3, in_service=True
        )
        self._wait_for_started('dc-a', count + 1)
        self.assertEqual([item.error for item in load.stop() if item.error], [])

    def _start_streams(self, url: str) -> list[threading.Thread]:
        threads = [
            threading.Thread(target=self._run_stream, args=(url,))
            for _ in range(STREAM_COUNT)
        ]
        for thread in threads:
            thread.start()
        return threads

    def _run_stream(self, url: str) -> None:
        error = check_stream(self.http, url, CREDENTIAL, LENGTH_TOKENS)
        if error:
            self.errors.append(error)

    def _join(self, threads: list[threading.Thread]) -> None:
        for thread in threads:
            thread.join(WAIT_LIMIT_SECONDS)
            self.assertFalse(thread.is_alive())
        self.assertEqual(self.errors, [])

    def _wait_for_started(self, data_centre: str, count: int) -> None:
        wait_end_seconds = time.monotonic() + WAIT_LIMIT_SECONDS
        while self._started_count(self.fleet, data_centre) < count:
            self.assertLess(time.monotonic(), wait_end_seconds)
            time.sleep(0.02)

    def _started_count(self, fleet: Fleet, data_centre: str) -> int:
        return measure_datacentre.started_count(fleet, data_centre)

    def _exit_code(self, name: str) -> int:
        return self.fleet.processes[name].process.wait(EXIT_LIMIT_SECONDS)
