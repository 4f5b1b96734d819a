"""Tests of the streams to callers' sockets."""

import socket
import threading
import time
import unittest

from tests.builders import build_socket_pair, wait_until
from wasabistream.hangups import HangupWatcher
from wasabistream.streams import CallerStream

LIMIT_BYTES = 64 * 1024


def read_all(sock: socket.socket) -> bytes:
    """Read until the peer closes the connection."""
    sock.settimeout(20)
    received = bytearray()
    while part := sock.recv(65536):
        received += part
    return bytes(received)


def run_cut_stream(name: bytes, watcher: HangupWatcher) -> bytes:
    """Cut a stream during a write; return the bytes that arrived."""
    server_side, caller_side = build_socket_pair()
    server_side.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    stream = CallerStream(server_side, LIMIT_BYTES)
    stream.watch(watcher)
    cutter = threading.Thread(target=stream.abort, args=('test',))
    stream.write(name * 300_000)
    cutter.start()
    stream.write(name * 1000)
    arrived = read_all(caller_side)
    cutter.join(20)
    caller_side.close()
    return arrived


class CallerStreamTest(unittest.TestCase):
    """Guard against blocked writers, lost bytes and reused descriptors."""

    def setUp(self) -> None:
        """Connect a caller with a small send buffer."""
        server_side, caller_side = build_socket_pair()
        self.server_side = server_side
        self.caller_side = caller_side
        self.addCleanup(self.caller_side.close)
        self.server_side.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
        self.gone: list[str] = []
        self.stream = CallerStream(self.server_side, LIMIT_BYTES, 'one')
        self.stream.on_caller_lost = lambda: self.gone.append('gone')

    def test_stalled_caller_is_cut(self) -> None:
        """Guard against a stalled caller that blocks writes or fills memory."""
        started = time.monotonic()
        while not self.stream.closed and time.monotonic() < started + 20:
            self.stream.write(b'x' * 65536)
        self.assertTrue(self.stream.closed)
        self.assertEqual(self.gone, ['gone'])

    def test_slow_caller_gets_everything(self) -> None:
        """Guard against bytes lost when the stream ends with bytes queued."""
        payload = bytes(range(256)) * 4096
        self.stream.write(payload)
        self.stream.finish()
        self.assertFalse(self.stream.closed)
        self.assertEqual(read_all(self.caller_side), payload)
        wait_until(lambda: self.stream.closed)

    def test_descriptor_stays_while_writer_runs(self) -> None:
        """Guard against bytes sent to another caller by a reused descriptor.

        The writer thread of the first stream may be about to send when the
        descriptor is closed.
        """
        self.stream.write(b'x' * 1_000_000)
        self.stream.abort('test')
        wait_until(lambda: self.server_side.fileno() == -1)
        server_side, caller_side = build_socket_pair()
        self.addCleanup(caller_side.close)
        second = CallerStream(server_side, LIMIT_BYTES, 'two')
        second.write(b'two')
        second.finish()
        self.assertEqual(read_all(caller_side), b'two')

    def test_concurrent_streams_never_mix(self) -> None:
        """Guard against bytes of one stream in another with its descriptor."""
        received: dict[bytes, set[int]] = {}

        def run(name: bytes) -> None:
            for _ in range(60):
                arrived = run_cut_stream(name, watcher)
                received.setdefault(name, set()).update(arrived)

        watcher = HangupWatcher()
        watcher.start()
        self.addCleanup(watcher.stop)
        names = [b'a', b'b', b'c', b'd']
        threads = [threading.Thread(target=run, args=(name,)) for name in names]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(60)
        self.assertEqual(received, {name: set(name) for name in names})
        # The writer thread of a cut stream closes its descriptor later.
        wait_until(lambda: not watcher.open_stream_names())


class HangupWatcherTest(unittest.TestCase):
    """Guard against callers whose hangup is not detected."""

    def setUp(self) -> None:
        """Start a watcher."""
        self.watcher = HangupWatcher()
        self.watcher.start()
        self.addCleanup(self.watcher.stop)

    def test_silent_caller_that_hangs_up(self) -> None:
        """Guard against a queued request that outlives its caller."""
        server_side, caller_side = build_socket_pair()
        stream = CallerStream(server_side, LIMIT_BYTES)
        gone = threading.Event()
        stream.on_caller_lost = gone.set
        stream.watch(self.watcher)
        caller_side.close()
        self.assertTrue(gone.wait(20))
        self.assertTrue(stream.closed)

    def test_descriptor_is_reused_at_once(self) -> None:
        """Guard against a new stream whose descriptor is still registered."""
        for number in range(50):
            server_side, caller_side = build_socket_pair()
            # A second descriptor of the connection stays open for a while, as
            # that of the HTTP server does.
            duplicate = server_side.dup()
            stream = CallerStream(server_side, LIMIT_BYTES, str(number))
            stream.watch(self.watcher)
            self.assertEqual(self.watcher.open_stream_names(), [str(number)])
            stream.finish()
            duplicate.close()
            caller_side.close()
