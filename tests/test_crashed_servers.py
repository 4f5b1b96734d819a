"""Tests of answers without a length whose plain server crashes.

Failure pattern: the kernel ends the connections of a killed process regularly,
and what has arrived by then passes for the whole answer.
"""

import copy
import socket
import threading
import time
import unittest
from typing import Any

from tests.builders import wait_until
from tests.ending_builders import EndCase
from tests.forwarding_builders import PLAIN_SERVICE
from tests.platform_builders import CONFIGURATION, SERVER, build_row
from tests.platform_paths import PlatformPathCase
from wasabistream.exceptions import NotRunError
from wasabistream.forwarding.supervisors import CutReason
from wasabistream.run_endings.server_probes import PROBE_COUNT

REQUEST_ID_FIELD = b'wasabistream-request-attempt-id:'
FIRST_PART = b'first part '
SECOND_PART = b'second part'
# With two servers, each one gets some of so many.
MAX_LOOKUP_COUNT = 20
BOOKING_ROUTE = {
    **CONFIGURATION['routes'][1],
    'name': 'book',
    'prefix': '/chat/book/',
    'kind': 'non_idempotent',
    'max_attempts': 1,
}


def build_get(request_id: str, path: str) -> bytes:
    """Return a request that closes its connection."""
    lines = (
        f'GET {path} HTTP/1.1',
        'Host: host.example',
        f'Wasabistream-Request-Attempt-Id: {request_id}',
        'Connection: close',
    )
    return '\r\n'.join((*lines, '', '')).encode()


class CrashingServer:
    """Answer without a length; end as a killed process when told to.

    The kernel may close the connections of a killed process before its port.
    """

    port_delay_seconds = 0.01

    def __init__(self) -> None:
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.port: int = self._listener.getsockname()[1]
        self.crashes = False
        self.has_crashed = threading.Event()
        threading.Thread(target=self._serve, daemon=True).start()

    def stop(self) -> None:
        """Refuse connections."""
        if not self.has_crashed.is_set():
            self.has_crashed.set()
            # Wakes the thread that accepts.
            self._listener.shutdown(socket.SHUT_RDWR)
            self._listener.close()

    def _serve(self) -> None:
        while not self.has_crashed.is_set():
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            with sock:
                self._answer(sock)

    def _answer(self, sock: socket.socket) -> None:
        raw = b''
        while b'\r\n\r\n' not in raw:
            piece = sock.recv(65536)
            if not piece:
                # A probe.
                return
            raw += piece
        request_id = next(
            line.partition(b':')[2].strip()
            for line in raw.split(b'\r\n')
            if line.lower().startswith(REQUEST_ID_FIELD)
        )
        sock.sendall(
            b'HTTP/1.1 200 OK\r\nWasabistream-Response-Seal: s\r\n'
            b'Wasabistream-Request-Attempt-Id: %s\r\n\r\n'
            % request_id
            + FIRST_PART
        )
        if self.crashes:
            sock.shutdown(socket.SHUT_WR)
            time.sleep(self.port_delay_seconds)
            self.stop()
            return
        sock.sendall(SECOND_PART)


class CrashedServerTest(PlatformPathCase):
    """Guard against a part of an answer as a success."""

    def setUp(self) -> None:
        """List one server that crashes."""
        super().setUp()
        self.server = CrashingServer()
        self.addCleanup(self.server.stop)
        document = copy.deepcopy(CONFIGURATION)
        document['version'] += 1
        document['routes'].append(BOOKING_ROUTE)
        self.put('op/config', document)
        self.ports: set[int] = set()
        self.list_server('s1', self.server)
        wait_until(self.is_current)

    def list_server(self, server_id: str, server: CrashingServer) -> None:
        """Write a server to the store."""
        row = {
            **SERVER,
            'service': PLAIN_SERVICE,
            'address': f'127.0.0.1:{server.port}',
        }
        key = f'servers/{server_id}'
        self.put(key, row)
        # Tests share the store.
        self.addCleanup(self.store.remove, key)
        self.ports.add(server.port)

    def put(self, key: str, fields: dict[str, Any]) -> None:
        """Write an item to the store."""
        self.store.put(build_row(key, self.store.revision + 1, fields))

    def is_current(self) -> bool:
        """Return whether the entry knows the route and the servers."""
        fleet = self.entry.fleet.current
        ports = {server.port for server in fleet.servers.values()}
        return (
            ports == self.ports
            and fleet.configuration is not None
            and fleet.configuration.version > CONFIGURATION['version']
        )

    def test_server_crashes(self) -> None:
        """Guard against a booking that ends as complete."""
        self.server.crashes = True
        raw = self.exchange(build_get('b1', '/chat/book/x'))
        self.assertIn(b' 502 ', raw[:20])
        self.assertNotIn(FIRST_PART, raw)

    def test_lookup_goes_elsewhere(self) -> None:
        """Guard against failing a lookup that another server can answer."""
        other = CrashingServer()
        self.addCleanup(other.stop)
        self.list_server('s2', other)
        wait_until(self.is_current)
        self.server.crashes = True
        for number in range(MAX_LOOKUP_COUNT):
            raw = self.exchange(build_get(f'l{number}', '/chat/desk/x'))
            self.assertIn(b' 200 ', raw[:20])
            self.assertTrue(raw.endswith(FIRST_PART + SECOND_PART))
            if self.server.has_crashed.is_set():
                return
        self.fail('no lookup was sent to the server that crashes')

    def test_server_serves_on(self) -> None:
        """Guard against failing whole answers."""
        raw = self.exchange(build_get('b1', '/chat/book/x'))
        self.assertIn(b' 200 ', raw[:20])
        self.assertTrue(raw.endswith(FIRST_PART + SECOND_PART))


class ServerProbeTest(unittest.TestCase):
    """Guard against the verdict on a server that cannot be reached."""

    def setUp(self) -> None:
        """Create an answer of a plain service that has ended."""
        self.end = EndCase(PLAIN_SERVICE)

    def test_lost_packet(self) -> None:
        """Guard against failing a whole answer for one lost packet."""
        lost = NotRunError('timed out', 'connect')
        self.end.probe.probe.side_effect = (lost, None)
        self.assertTrue(self.end.is_accepted())

    def test_no_answer(self) -> None:
        """Guard against accepting the answer of a server that is gone."""
        self.end.probe.probe.side_effect = NotRunError('refused', 'connect')
        self.assertFalse(self.end.is_accepted())
        self.assertEqual(self.end.probe.probe.call_count, PROBE_COUNT)

    def test_cut_by_the_deadline(self) -> None:
        """Guard against probes for a request that has ended."""

        def cut(server: object) -> None:
            self.end.watch.cut(CutReason.timeout)
            raise NotRunError('timed out', 'connect')

        self.end.probe.probe.side_effect = cut
        self.assertFalse(self.end.is_accepted())
        self.end.probe.probe.assert_called_once()

    def test_engines_are_not_probed(self) -> None:
        """Guard against connections to engines, which are asked otherwise."""
        end = EndCase()
        end.open_link()
        end.answer = 'complete'
        self.assertTrue(end.is_accepted())
        end.probe.probe.assert_not_called()


if __name__ == '__main__':
    unittest.main()
