"""Tests of the soak's stand-ins and link proxies under disturbances.

Failure pattern: a fault that disturbs nothing, or other entries too, lets a
soak pass in vain or fail for what it did itself.
"""

import json
import socket
import threading
import time
import unittest
import urllib.error
import urllib.request
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPResponse, RemoteDisconnected
from typing import Any
from unittest.mock import patch

from tests.builders import wait_until
from tests.ending_fleets import UnframedEngine
from wasabistream_tools.soak import sites
from wasabistream_tools.soak.linked_entries import proxy_address
from wasabistream_tools.soak.links import LinkNetwork, LinkState
from wasabistream_tools.soak.records import Facts, Recorder, RunEnding
from wasabistream_tools.soak.servers import (
    LOST_ANSWER,
    ODD_STATUSES,
    PLAIN_BYTES,
    STATUS_OK,
    MovedMemory,
    PlainServer,
)
from wasabistream_tools.soak.stores import (
    PLATFORM_PAGE,
    PageLimit,
    StandInStore,
)

WAIT_SECONDS = 0.3
# Longer than a busy machine keeps this process from what is to happen within.
DISTURBED_SECONDS = 1.0
TIMEOUT_SECONDS = 5.0
VALUE_BYTES = 10_000
# With so many, each odd answer is drawn.
RUN_COUNT = 24


class StoreCallersTest(unittest.TestCase):
    """Guard against disturbances of the store that reach the wrong callers."""

    def setUp(self) -> None:
        """Start a store with two callers."""
        self.store = StandInStore(PLATFORM_PAGE)
        self.addCleanup(self.store.stop)
        for number in range(4):
            self.store.put(
                sites.build_row(f'k{number}', number, 'x' * VALUE_BYTES)
            )
        self.disturbed_port = self.store.open_port('entry-1')
        self.calm_port = self.store.open_port('entry-2')

    def test_silent_for_one(self) -> None:
        """Guard against a store that is silent for all or for none."""
        self.store.silent_callers.add('entry-1')
        with self.assertRaises(TimeoutError):
            _read(self.disturbed_port)
        self.assertGreater(len(_read(self.calm_port)), VALUE_BYTES)

    def test_slow_for_one(self) -> None:
        """Guard against a rate that is not held, or held for all."""
        size = len(_read(self.calm_port))
        self.store.bytes_per_second['entry-1'] = size / WAIT_SECONDS
        begun = time.monotonic()
        self.assertEqual(len(_read(self.disturbed_port, TIMEOUT_SECONDS)), size)
        self.assertGreater(time.monotonic() - begun, WAIT_SECONDS * 0.8)
        _read(self.calm_port)

    def test_page_of_bytes(self) -> None:
        """Guard against pages larger than the platform's."""
        store = StandInStore(PageLimit(3, VALUE_BYTES * 3))
        self.addCleanup(store.stop)
        store.items = self.store.items
        _, page = store.answer('/-/kv-range', {})
        self.assertEqual([row['key'] for row in page['items']], ['k0', 'k1'])
        self.assertTrue(page['has_more'])


class LinkNetworkTest(unittest.TestCase):
    """Guard against link faults that do nothing, or do not end."""

    def setUp(self) -> None:
        """Link two entries through a proxy."""
        site = sites.Network()
        self.addCleanup(site.release)
        self.dialler = site.address(sites.ENTRY_SUBNET, 1)
        listening = site.address(sites.ENTRY_SUBNET, 2)
        self.proxy = (proxy_address(listening), sites.CONTROL_PORT)
        listener = socket.create_server((listening, sites.CONTROL_PORT))
        self.addCleanup(listener.close)
        self.network = LinkNetwork()
        self.addCleanup(self.network.stop)
        self.network.add_entry(self.proxy, (listening, sites.CONTROL_PORT))
        self.near = self.dial()
        self.far = listener.accept()[0]
        self.addCleanup(self.far.close)

    def dial(self) -> socket.socket:
        """Return a link that the entry has dialled."""
        sock = socket.create_connection(
            self.proxy, TIMEOUT_SECONDS, (self.dialler, 0)
        )
        self.addCleanup(sock.close)
        return sock

    def test_silent(self) -> None:
        """Guard against bytes that pass, or are lost after the silence."""
        self.disturb(LinkState.silent)
        self.far.sendall(b'late')
        self.near.settimeout(WAIT_SECONDS / 2)
        with self.assertRaises(TimeoutError):
            self.near.recv(4)
        self.near.settimeout(TIMEOUT_SECONDS)
        self.assertEqual(self.near.recv(4), b'late')

    def test_cut(self) -> None:
        """Guard against a link that outlives a cut, or opens during it."""
        self.disturb(LinkState.cut)
        self.assertEqual(self.near.recv(1), b'')
        self.assertEqual(self.dial().recv(1), b'')

    def test_link_that_is_made_during_a_cut(self) -> None:
        """Guard against a link that a cut misses as it is not listed yet."""
        connect = socket.create_connection

        def connect_and_cut(*arguments: Any) -> socket.socket:
            sock = connect(*arguments)
            self.disturb(LinkState.cut)
            return sock

        with patch.object(socket, 'create_connection', connect_and_cut):
            near = socket.socket()
            self.addCleanup(near.close)
            near.bind((self.dialler, 0))
            near.settimeout(TIMEOUT_SECONDS)
            near.connect(self.proxy)
            self.assertEqual(near.recv(1), b'')

    def disturb(self, state: LinkState) -> None:
        """Begin to disturb the links of the dialling entry for a time."""
        thread = threading.Thread(
            target=self.network.disturb,
            args=(self.dialler, state, DISTURBED_SECONDS),
        )
        thread.start()
        self.addCleanup(thread.join)
        wait_until(lambda: self.network._states.get(self.dialler) is state)


class OddOrdersTest(unittest.TestCase):
    """Guard against last orders in trouble that leave the run going."""

    def setUp(self) -> None:
        """Start an engine."""
        self.engine = UnframedEngine(1, MovedMemory())
        self.addCleanup(self.engine.stop)

    def test_odd_answers(self) -> None:
        """Guard against a trouble without one of its answers."""
        self.engine.has_odd_orders = True
        self.assertEqual(
            self.order_all(), {STATUS_OK, LOST_ANSWER, *ODD_STATUSES}
        )

    def test_usual_answers(self) -> None:
        """Guard against odd answers without the fault."""
        self.assertEqual(self.order_all(), {STATUS_OK})

    def order_all(self) -> set[int]:
        """Have runs stopped at the same time; return the statuses."""
        names = [f'run-{number}' for number in range(RUN_COUNT)]
        with ThreadPoolExecutor(RUN_COUNT) as pool:
            return set(pool.map(self.order_last, names))

    def order_last(self, run_id: str) -> int:
        """Have a run stopped; return the status, or LOST_ANSWER."""
        with _open_run(self.engine, run_id) as stream:
            stream.readline()
            status = _order_last(self.engine, run_id)
            stream.read()
        self.assertTrue(self.engine.has_order.is_set())
        self.assertNotIn(run_id, self.engine.active)
        return status


class PlainServerTest(unittest.TestCase):
    """Guard against a soak without the ends of answers that it is to play."""

    def build_server(self, *, is_framed: bool) -> PlainServer:
        """Return a server that runs until the test ends."""
        server = PlainServer(
            'desk-1',
            'desk',
            'dc-a',
            '127.0.0.1',
            self.recorder,
            seed=1,
            is_framed=is_framed,
        )
        self.addCleanup(server.stop)
        return server

    def setUp(self) -> None:
        """Create a recorder."""
        self.recorder = Recorder()

    def read(self, server: PlainServer, number: int, remaining_ms: int) -> int:
        """Send a request; return how many bytes of its answer arrive."""
        headers = {
            'Wasabistream-Request-Attempt-Id': f'a{number}',
            'Wasabistream-Deadline-Remaining': str(remaining_ms),
        }
        request = urllib.request.Request(
            f'http://{server.endpoint}/look/x', headers=headers
        )
        with urllib.request.urlopen(
            request, timeout=TIMEOUT_SECONDS
        ) as response:
            has_length = response.headers['Content-Length'] is not None
            self.assertEqual(has_length, server.is_framed)
            return len(response.read())

    def wait_for_endings(self, *endings: RunEnding) -> None:
        """Wait until the runs are recorded as ended so.

        A caller may have read the last byte before.
        """
        wait_until(
            lambda: (
                tuple(
                    run.ending for run in Facts(self.recorder.snapshot()).runs
                )
                == endings
            )
        )

    def test_whole_answers(self) -> None:
        """Guard against answers that lack a part without a fault."""
        for is_framed in (True, False):
            with self.subTest(is_framed=is_framed):
                server = self.build_server(is_framed=is_framed)
                self.assertEqual(self.read(server, 1, 5000), PLAIN_BYTES)
        self.wait_for_endings(RunEnding.done, RunEnding.done)

    def test_deadline(self) -> None:
        """Guard against servers that never reach their deadline."""
        server = self.build_server(is_framed=False)
        with patch('wasabistream_tools.soak.servers.SLOW_PLAIN_RATIO', 1.0):
            self.assertEqual(self.read(server, 1, 200), PLAIN_BYTES // 2)
        self.wait_for_endings(RunEnding.timed_out)

    def test_crash(self) -> None:
        """Guard against a crash that cuts no answer."""
        server = self.build_server(is_framed=False)
        server.crashes = True
        self.assertEqual(self.read(server, 1, 5000), PLAIN_BYTES // 2)
        with self.assertRaises(urllib.error.URLError):
            self.read(server, 2, 5000)
        self.wait_for_endings(RunEnding.broken_off)


def _open_run(engine: UnframedEngine, run_id: str) -> HTTPResponse:
    headers = {
        'Wasabistream-Request-Attempt-Id': run_id,
        'Wasabistream-Token-Usage': '100,4000',
    }
    url = f'http://{engine.endpoint}/draft/x'
    response: HTTPResponse = urllib.request.urlopen(
        urllib.request.Request(url, headers=headers), timeout=TIMEOUT_SECONDS
    )
    return response


def _order_last(engine: UnframedEngine, run_id: str) -> int:
    order = {'id': run_id, 'to': engine.endpoint, 'last': True}
    url = f'http://{engine.endpoint}/-/kv-move'
    try:
        with urllib.request.urlopen(
            url, json.dumps(order).encode(), TIMEOUT_SECONDS
        ) as response:
            return int(response.status)
    except urllib.error.HTTPError as error:
        return error.code
    except RemoteDisconnected:
        return LOST_ANSWER


def _read(port: int, timeout_seconds: float = WAIT_SECONDS) -> bytes:
    with urllib.request.urlopen(
        f'http://127.0.0.1:{port}/-/kv-range', timeout=timeout_seconds
    ) as response:
        body: bytes = response.read()
    return body
