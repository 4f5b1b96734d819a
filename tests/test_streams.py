"""Tests of the token path to callers' sockets."""

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
    """Abort a stream while two threads write and return what arrived."""
    near, far = build_socket_pair()
    near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    stream = CallerStream(near, LIMIT_BYTES)
    stream.watch(watcher)
    closer = threading.Thread(target=stream.abort, args=('test',))
    stream.write(name * 300_000)
    closer.start()
    stream.write(name * 1000)
    seen = read_all(far)
    closer.join(20)
    far.close()
    return seen


class CallerStreamTest(unittest.TestCase):
    """Guard callers' sockets against slow callers and races."""

    def setUp(self) -> None:
        """Connect a caller whose socket holds little."""
        near, far = build_socket_pair()
        self.near = near
        self.far = far
        self.addCleanup(self.far.close)
        self.near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
        self.gone: list[str] = []
        self.stream = CallerStream(self.near, LIMIT_BYTES, 'one')
        self.stream.on_caller_gone = lambda: self.gone.append('gone')

    def test_stalled_caller_is_cut(self) -> None:
        """Guard against a stalled caller that holds memory or the writer."""
        started = time.monotonic()
        while not self.stream.closed and time.monotonic() < started + 20:
            self.stream.write(b'x' * 65536)
        self.assertTrue(self.stream.closed)
        self.assertEqual(self.gone, ['gone'])

    def test_slow_caller_gets_everything(self) -> None:
        """Guard against bytes lost between queue, writer and end."""
        payload = bytes(range(256)) * 4096
        self.stream.write(payload)
        self.stream.finish()
        self.assertFalse(self.stream.closed)
        self.assertEqual(read_all(self.far), payload)
        wait_until(lambda: self.stream.closed)

    def test_descriptor_stays_while_writer_runs(self) -> None:
        """Guard against bytes of one caller sent to a reused descriptor."""
        self.stream.write(b'x' * 1_000_000)
        self.stream.abort('test')
        wait_until(lambda: self.near.fileno() == -1)
        near, far = build_socket_pair()
        self.addCleanup(far.close)
        other = CallerStream(near, LIMIT_BYTES, 'two')
        other.write(b'two')
        other.finish()
        self.assertEqual(read_all(far), b'two')

    def test_crossed_streams_never_mix(self) -> None:
        """Guard against bytes of one stream in another under churn."""
        received: dict[bytes, set[int]] = {}

        def run(name: bytes) -> None:
            for _ in range(60):
                seen = run_cut_stream(name, watcher)
                received.setdefault(name, set()).update(seen)

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
        # The writer thread that was cut closes its descriptor by itself.
        wait_until(lambda: not watcher.open_names())


class HangupWatcherTest(unittest.TestCase):
    """Guard the notice of callers that hang up."""

    def setUp(self) -> None:
        """Start a watcher."""
        self.watcher = HangupWatcher()
        self.watcher.start()
        self.addCleanup(self.watcher.stop)

    def test_silent_caller_that_hangs_up(self) -> None:
        """Guard against a queued chat that outlives its caller."""
        near, far = build_socket_pair()
        stream = CallerStream(near, LIMIT_BYTES)
        gone = threading.Event()
        stream.on_caller_gone = gone.set
        stream.watch(self.watcher)
        far.close()
        self.assertTrue(gone.wait(20))
        self.assertTrue(stream.closed)

    def test_descriptor_reused_at_once(self) -> None:
        """Guard against a new stream refused as registered already."""
        for number in range(50):
            near, far = build_socket_pair()
            # A second descriptor of the connection stays open, as the one
            # of the HTTP server does for a while.
            copy = near.dup()
            stream = CallerStream(near, LIMIT_BYTES, str(number))
            stream.watch(self.watcher)
            self.assertEqual(self.watcher.open_names(), [str(number)])
            stream.finish()
            copy.close()
            far.close()
