"""Tests of cut streams at an entry, a store and servers of two versions.

Failure pattern: a roll-out during which each stream loses its server inside an
event.
"""

from collections import defaultdict

from tests.builders import wait_until
from tests.platform_builders import SERVER, build_row
from tests.platform_paths import (
    BackendHandler,
    PlatformPathCase,
    StandInBackend,
    answer_report,
)
from tests.test_odd_entries import CLOSING_GENERATION

REQUEST_ID = 'Wasabistream-Request-Attempt-Id'
BEGINNING = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda'
REST = b'id: 3\ndata: c\n\n'
LAST_CHUNK = b'0\r\n\r\n'
STREAM_COUNT = 12


class StreamVersionPathTest(PlatformPathCase):
    """Guard against answers joined from two software versions."""

    def setUp(self) -> None:
        """List one server of each version; each cuts what it begins."""
        super().setUp()
        # Versions of the servers that ran each request.
        self.versions: defaultdict[str, list[str]] = defaultdict(list)
        self.add_server('w1', 4, 'v1')
        self.add_server('w2', 5, 'v1.2')

    def add_server(self, server_id: str, revision: int, version: str) -> None:
        """Start a server of a version and wait until it is listed."""
        backend = StandInBackend()
        self.addCleanup(backend.server_close)
        self.addCleanup(backend.shutdown)
        backend.respond = lambda handler: self.respond(handler, version)
        row = {
            **SERVER,
            'address': f'127.0.0.1:{backend.server_address[1]}',
            'version': version,
            'cold_remaining_ms': 0,
        }
        self.store.put(build_row(f'servers/{server_id}', revision, row))
        wait_until(lambda: server_id in self.entry.fleet.current.servers)

    def respond(self, handler: BackendHandler, version: str) -> None:
        """Answer the beginning of a stream, or its rest."""
        if handler.path == '/-/report':
            # The entry asks whether a stream without a length is whole.
            answer_report(handler)
            return
        self.versions[handler.headers[REQUEST_ID]].append(version)
        handler.send_response(200)
        handler.send_header(REQUEST_ID, handler.headers[REQUEST_ID])
        handler.send_header('Wasabistream-Response-Seal', 's')
        handler.send_header('Content-Type', 'text/event-stream')
        handler.end_headers()
        is_rest = 'Last-Event-Id' in handler.headers
        handler.wfile.write(REST if is_rest else BEGINNING)
        handler.close_connection = True

    def run_streams(self, prefix: str) -> dict[str, bytes]:
        """Return the answers to some streams by request id."""
        request_ids = [f'{prefix}{number}' for number in range(STREAM_COUNT)]
        return {
            request_id: self.exchange(CLOSING_GENERATION % request_id.encode())
            for request_id in request_ids
        }

    def test_cut_streams(self) -> None:
        """Guard against a rest of another version, or none of the same."""
        for request_id, answer in self.run_streams('a').items():
            self.assertEqual(len(self.versions[request_id]), 1)
            self.assertIn(b'data: b', answer)
            self.assertNotIn(b'id: 3', answer)
            self.assertFalse(answer.endswith(LAST_CHUNK))
        self.add_server('w3', 6, 'v1')
        begun: set[str] = set()
        for request_id, answer in self.run_streams('b').items():
            first = self.versions[request_id][0]
            begun.add(first)
            is_former = first == 'v1'
            self.assertEqual(
                self.versions[request_id],
                ['v1', 'v1'] if is_former else [first],
            )
            self.assertEqual(answer.endswith(LAST_CHUNK), is_former)
            self.assertEqual(b'data: c' in answer, is_former)
        self.assertIn('v1', begun)
