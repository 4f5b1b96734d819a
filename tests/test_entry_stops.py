"""Tests of requests in progress or still arriving when an entry stops.

Failure pattern: a drain that ends does not know a request, or drops one that
it knows without a final answer.
"""

import json
import signal
import socket
import time
import unittest
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPResponse
from typing import Any

from urllib3.exceptions import ProtocolError

from tests.builders import wait_until
from tests.caller_fleets import (
    CHAT_PATH,
    HEADERS,
    caller_document,
    open_chat,
    read_events,
)
from wasabistream.applications import EXIT_CUT
from wasabistream.idempotency_keys import make_key
from wasabistream_tools.fleet import ADDRESS, Fleet

# Shorter than the time that HTTP servers give to what they still read.
DRAIN_LIMIT_SECONDS = 1.5
# Longer than an entry may take for the answers of what it cuts.
CALL_SECONDS = 6.0
EXIT_SECONDS = 5.0
# In which requests reach the backend servers.
ARRIVAL_SECONDS = 1.0
WAIT_SECONDS = 20
CREDENTIAL_LINE = f'Authorization: {HEADERS["Authorization"]}\r\n'
PROMPT = 'hello [[length=900]]'
CALL_PATH = '/services/booking/bookings'
PART_OF_BODY = (
    f'POST {CHAT_PATH} HTTP/1.1\r\nHost: a\r\n{CREDENTIAL_LINE}'
    + 'Content-Length: 99\r\n\r\n{"model": '
).encode()
PART_OF_HEAD = f'POST {CHAT_PATH} HTTP/1.1\r\nHost'.encode()
PART_OF_KEYED_CALL = (
    f'POST {CALL_PATH} HTTP/1.1\r\nHost: a\r\n'
    + f'{CREDENTIAL_LINE}Idempotency-Key: k1\r\nContent-Length: 9\r\n\r\nb'
).encode()


def read_error(sock: socket.socket) -> tuple[int, str, str]:
    """Return the status, code and outcome of an answer."""
    sock.settimeout(WAIT_SECONDS)
    response = HTTPResponse(sock)
    response.begin()
    error = json.loads(response.read())['error']
    return response.status, error['code'], error['outcome']


class EntryStopTest(unittest.TestCase):
    """Guard against requests that end without a true final answer."""

    # Each test stops an entry of its own.
    names: Iterator[str]
    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start a fleet with an entry for each test."""
        cls.fleet = Fleet()
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.add_engine('engine-1', 'dc-a', token_seconds=0.05)
        cls.fleet.add_service(
            'booking-1', 'dc-a', 'booking', delay_seconds=CALL_SECONDS
        )
        names = [f'entry-{number}' for number in range(3)]
        cls.names = iter(names)
        for name in names:
            cls.fleet.add_entry(
                name, 'dc-a', drain_limit_seconds=DRAIN_LIMIT_SECONDS
            )
        cls.fleet.publish_document(caller_document())
        cls.fleet.publish_vms()
        cls.fleet.wait_until_ready(backend_count=2)

    def setUp(self) -> None:
        """Choose an entry."""
        self.name = next(self.names)
        self.entry = self.fleet.processes[self.name]

    def connect(self, sent: bytes) -> socket.socket:
        """Send a part of a request to the entry."""
        sock = socket.create_connection((ADDRESS, self.entry.http_port))
        self.addCleanup(sock.close)
        sock.sendall(sent)
        return sock

    def stop_entry(self) -> None:
        """Send SIGTERM to the entry and wait until it drains."""
        self.entry.process.send_signal(signal.SIGTERM)
        wait_until(lambda: self.readiness()['draining'])

    def readiness(self) -> dict[str, Any]:
        """Return the readiness report of the entry."""
        url = f'{self.entry.url}/readyz'
        try:
            return dict(self.fleet.http.request('GET', url).json())
        except OSError:
            return {'draining': True}

    def test_requests_that_do_not_arrive(self) -> None:
        """Guard against requests that are cut off as malformed or unseen."""
        body = self.connect(PART_OF_BODY)
        keyed_call = self.connect(PART_OF_KEYED_CALL)
        head = self.connect(PART_OF_HEAD)
        self.stop_entry()
        self.assertEqual(read_error(body), (503, 'draining', 'not_run'))
        self.assertEqual(read_error(keyed_call), (503, 'draining', 'unknown'))
        self.assertEqual(read_error(head), (503, 'draining', 'not_run'))
        self.assertEqual(self.entry.process.wait(EXIT_SECONDS), EXIT_CUT)

    def test_whole_answers(self) -> None:
        """Guard against generations and calls that are cut, or hold up a stop."""
        keyed = {**HEADERS, 'Idempotency-Key': make_key(time.time())}
        with ThreadPoolExecutor() as pool:
            answers = [
                pool.submit(self.fleet.http.request, *request)
                for request in (
                    ('GET', self.entry.url + CALL_PATH, None, None, HEADERS),
                    ('POST', self.entry.url + CALL_PATH, b'b', None, keyed),
                )
            ]
            answers.append(
                pool.submit(
                    open_chat, self.fleet, self.name, PROMPT, stream=False
                )
            )
            time.sleep(ARRIVAL_SECONDS)
            self.stop_entry()
            self.entry.process.send_signal(signal.SIGTERM)
            self.assertEqual(self.entry.process.wait(EXIT_SECONDS), EXIT_CUT)
            for answer in answers:
                error = answer.result().json()['error']
                self.assertEqual(error['code'], 'draining')
                self.assertEqual(error['outcome'], 'unknown')

    def test_stream(self) -> None:
        """Guard against a stream that is cut without an error event."""
        response = open_chat(self.fleet, self.name, PROMPT)
        lines = iter(response)
        read_events(lines, 1)
        self.stop_entry()
        events = []
        # Callers can tell the end from that of a complete answer.
        with self.assertRaises(ProtocolError):
            while True:
                events.extend(read_events(lines, 1))
        last_event = events[-1][1]
        self.assertEqual(last_event['error']['code'], 'draining')
        self.assertEqual(self.entry.process.wait(EXIT_SECONDS), EXIT_CUT)


if __name__ == '__main__':
    unittest.main()
