"""Tests of the rate limit that a backend server states, on real connections.

Failure pattern: a server in need states how many requests per second it takes
from all entries together, and each entry goes on sending by load alone.
"""

import threading
import time
import unittest

from tests.builders import wait_until
from tests.platform_builders import CONFIGURATION, SERVER, build_row
from tests.platform_paths import (
    HEAD,
    BackendHandler,
    StandInBackend,
    answer,
    build_entry,
    exchange,
)
from wasabistream.platform.entry_applications import PlatformEntry
from wasabistream_tools.fleet import free_port
from wasabistream_tools.soak.stores import StandInStore

LIMIT_PER_SECOND = 2
WINDOW_SECONDS = 4.0
# One and a half times what the limit allows in the window, and five more.
MAX_WINDOW_COUNT = 1.5 * LIMIT_PER_SECOND * WINDOW_SECONDS + 5
# Half of what the limit allows.
MIN_WINDOW_COUNT = 0.5 * LIMIT_PER_SECOND * WINDOW_SECONDS
REQUEST_INTERVAL_SECONDS = 0.05
# Time in which all entries know of a limit.
SETTLING_SECONDS = 0.5


def is_ready(entry: PlatformEntry) -> bool:
    """Return whether an entry lists the server and knows the other entry."""
    return bool(entry.fleet.current.servers) and entry.live_entry_count == 2


def collect(answers: list[bytes], port: int, raw: bytes) -> None:
    """Send a request and keep its answer."""
    answers.append(exchange(port, raw))


class RateLimitPathTest(unittest.TestCase):
    """Guard against requests above the limit that a server states."""

    def setUp(self) -> None:
        """Start a store, a server with a limit and two linked entries."""
        self.is_limited = True
        self.received_at_seconds: list[float] = []
        self.store = StandInStore()
        self.backend = StandInBackend()
        self.backend.respond = self.respond
        port = self.backend.server_address[1]
        server = {**SERVER, 'service': 'desk', 'address': f'127.0.0.1:{port}'}
        server['cold_remaining_ms'] = 0
        self.store.put(build_row('op/config', 2, CONFIGURATION))
        self.store.put(build_row('servers/s1', 3, server))
        ports = (free_port(), free_port())
        self.entries = [
            build_entry(self.store.port, ports[0], ports[1]),
            build_entry(self.store.port, ports[1], ports[0]),
        ]
        for entry in self.entries:
            entry.on_start()
            self.addCleanup(entry.on_stop)
        self.addCleanup(self.store.stop)
        self.addCleanup(self.backend.server_close)
        self.addCleanup(self.backend.shutdown)
        wait_until(lambda: all(map(is_ready, self.entries)))

    def respond(self, handler: BackendHandler) -> None:
        """Answer a request and state the limit."""
        self.received_at_seconds.append(time.monotonic())
        limit = {'Server-Limit': str(float(LIMIT_PER_SECOND))}
        answer(handler, extra_headers=limit if self.is_limited else None)

    def send_for(self, seconds: float) -> list[bytes]:
        """Send requests to both entries at a steady rate; return answers."""
        answers: list[bytes] = []
        threads = []
        end = time.monotonic() + seconds
        number = 0
        while time.monotonic() < end:
            entry = self.entries[number % 2]
            raw = HEAD % f'r{number}'.encode() + b'Connection: close\r\n\r\n'
            thread = threading.Thread(
                target=collect, args=(answers, entry.front_port, raw)
            )
            thread.start()
            threads.append(thread)
            number += 1
            time.sleep(REQUEST_INTERVAL_SECONDS)
        for thread in threads:
            thread.join()
        return answers

    def test_entries_together_keep_a_stated_limit(self) -> None:
        """Guard against twenty requests a second at a server that takes two.

        What the limit leaves is refused at once and says when to come back,
        and the limit ends with the first answer that does not state it.
        """
        self.send_for(SETTLING_SECONDS)
        self.received_at_seconds.clear()
        answers = self.send_for(WINDOW_SECONDS)
        received_count = len(self.received_at_seconds)
        self.assertLessEqual(received_count, MAX_WINDOW_COUNT)
        self.assertGreaterEqual(received_count, MIN_WINDOW_COUNT)
        refused = [raw for raw in answers if b' 503 ' in raw]
        self.assertTrue(refused)
        self.assertTrue(all(b'retry-after' in raw.lower() for raw in refused))
        self.is_limited = False
        self.send_for(1 / LIMIT_PER_SECOND + SETTLING_SECONDS)
        answers = self.send_for(SETTLING_SECONDS)
        self.assertTrue(all(b' 200 ' in raw for raw in answers))
