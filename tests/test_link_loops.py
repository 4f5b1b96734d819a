"""Tests of the loop that runs all links of a process.

Failure patterns: peers that stall, fall silent or reset their links, and a
handler that fails, beside links that go on.
"""

import socket
import threading
import time
import unittest
from collections.abc import Sequence
from unittest.mock import patch

from tests.waits import wait_for
from wasabistream.crash_notices import ClearNotice
from wasabistream.dialers import PeerDialer
from wasabistream.frames import encode_frame
from wasabistream.link_loops import LinkLoop
from wasabistream.link_waits import Pause, Readable, Task
from wasabistream.links import Link
from wasabistream.listeners import LinkListener, close_links_gracefully
from wasabistream.messages import (
    PROTOCOL_VERSION_MAX,
    PROTOCOL_VERSION_MIN,
    Message,
)
from wasabistream.notices import Hello
from wasabistream.send_queues import Expiry

ADDRESS = '127.0.0.1'
LINK_COUNT = 60
# The loop and the threads of the test runner itself.
MAX_ADDED_THREAD_COUNT = 1
LARGE_FINGERPRINT = 7
MAX_ROUND_COUNT = 20


def build_hello(name: str) -> Hello:
    """Return the first message of a process."""
    return Hello(
        PROTOCOL_VERSION_MIN, PROTOCOL_VERSION_MAX, 'entry', name, 'i', 'dc'
    )


class Recorder:
    """Record the links and messages of one process."""

    def __init__(self) -> None:
        self.opened: list[Link] = []
        self.received: list[Message] = []
        self.close_reasons: list[str] = []
        self.fails = False

    def on_opened(self, link: Link) -> None:
        """Record a link."""
        self.opened.append(link)

    def on_messages(self, link: Link, received: Sequence[Message]) -> None:
        """Record messages, or fail if the test asks for it."""
        if self.fails:
            raise RuntimeError('handler failed')
        self.received.extend(received)

    def on_closed(self, link: Link, reason: str) -> None:
        """Record why a link ended."""
        self.close_reasons.append(reason)


class LinkLoopTest(unittest.TestCase):
    """Guard all links of a process against one that misbehaves."""

    def setUp(self) -> None:
        """Listen for links."""
        self.server = Recorder()
        self.listener = LinkListener(
            ADDRESS, 0, build_hello('server'), self.server
        )
        self.listener.start()
        self.addCleanup(self.listener.stop)

    def dial(self, recorder: Recorder) -> PeerDialer:
        """Open a link and keep it open."""
        dialer = PeerDialer(
            ADDRESS, self.listener.port, build_hello('client'), recorder
        )
        dialer.start()
        self.addCleanup(dialer.stop)
        return dialer

    def dial_and_wait(self) -> tuple[Recorder, Link]:
        """Open a link and return its recorder and the link."""
        recorder = Recorder()
        self.dial(recorder)
        self.assertTrue(wait_for(lambda: recorder.opened))
        return recorder, recorder.opened[0]

    def test_threads(self) -> None:
        """Guard against threads that grow with the number of links."""
        self.dial_and_wait()
        before = threading.active_count()
        recorder = Recorder()
        for _ in range(LINK_COUNT):
            self.dial(recorder)
        self.assertTrue(wait_for(lambda: len(recorder.opened) == LINK_COUNT))
        self.assertLessEqual(
            threading.active_count(), before + MAX_ADDED_THREAD_COUNT
        )

    def test_order(self) -> None:
        """Guard against messages that are lost or overtake each other."""
        _, link = self.dial_and_wait()
        for number in range(5000):
            link.send(ClearNotice(number))
        self.assertTrue(wait_for(lambda: len(self.server.received) == 5000))
        self.assertEqual(
            self.server.received,
            [ClearNotice(sent) for sent in range(5000)],
        )

    def test_peer_that_does_not_read(self) -> None:
        """Guard against a stalled peer that delays all others."""
        stalled = socket.create_connection((ADDRESS, self.listener.port))
        self.addCleanup(stalled.close)
        stalled.sendall(encode_frame(build_hello('stalled')))
        self.assertTrue(wait_for(lambda: self.server.opened))
        blocked = self.server.opened[0]
        for _ in range(15000):
            blocked.send(build_hello('x' * 1000))
        recorder, _ = self.dial_and_wait()
        self.assertTrue(wait_for(lambda: len(self.server.opened) == 2))
        self.server.opened[1].send(ClearNotice(LARGE_FINGERPRINT))
        self.assertTrue(wait_for(lambda: recorder.received, 2))

    def test_handler_that_fails(self) -> None:
        """Guard against an error in a handler that ends all links."""
        recorder, link = self.dial_and_wait()
        self.server.fails = True
        with self.assertLogs('wasabistream.link_loops', 'ERROR'):
            link.send(ClearNotice(1))
            self.assertTrue(wait_for(lambda: recorder.close_reasons))
        self.server.fails = False
        _, other = self.dial_and_wait()
        other.send(ClearNotice(2))
        self.assertTrue(wait_for(lambda: self.server.received))

    def test_silent_peer(self) -> None:
        """Guard against a link to a peer that no longer exists."""
        with patch('wasabistream.links.SILENCE_LIMIT_SECONDS', 0.2):
            silent = socket.create_connection((ADDRESS, self.listener.port))
            self.addCleanup(silent.close)
            silent.sendall(encode_frame(build_hello('silent')))
            self.assertTrue(wait_for(lambda: self.server.close_reasons))
        self.assertIn('peer is silent', self.server.close_reasons[0])

    def test_reset_and_return(self) -> None:
        """Guard against a dialer that gives up after a reset."""
        recorder, link = self.dial_and_wait()
        self.server.opened[0].close()
        self.assertTrue(wait_for(lambda: len(recorder.opened) == 2))
        self.assertTrue(link.closed)
        self.assertEqual(len(recorder.close_reasons), 1)

    def test_graceful_close(self) -> None:
        """Guard against frames that are lost when a link closes."""
        _, link = self.dial_and_wait()
        for number in range(2000):
            link.send(ClearNotice(number))
        close_links_gracefully([link])
        self.assertTrue(wait_for(lambda: len(self.server.received) == 2000))

    def test_expired_frame_is_not_sent(self) -> None:
        """Guard against a request that is sent after its deadline."""
        _, link = self.dial_and_wait()
        expired = threading.Event()
        link.send(ClearNotice(1), Expiry(time.monotonic() - 1, expired.set))
        link.send(ClearNotice(2))
        self.assertTrue(wait_for(lambda: self.server.received))
        self.assertTrue(expired.is_set())
        self.assertEqual(self.server.received, [ClearNotice(2)])

    def test_pause_while_a_socket_is_ready(self) -> None:
        """Guard against a loop that is busy while a task pauses.

        A listener that has no descriptors left pauses beside connections that
        wait to be accepted.
        """
        loop = LinkLoop()
        ready, other = socket.socketpair()
        self.addCleanup(ready.close)
        self.addCleanup(other.close)
        other.sendall(b'x')
        done = threading.Event()

        def wait_and_pause() -> Task:
            yield Readable(ready, 1)
            yield Pause(0.3)
            yield Readable(ready, 1)
            done.set()

        with patch.object(
            loop, '_timeout_seconds', wraps=loop._timeout_seconds
        ) as rounds:
            loop.spawn(wait_and_pause())
            self.assertTrue(done.wait(5))
            self.assertLess(rounds.call_count, MAX_ROUND_COUNT)

    def test_stopped_listener(self) -> None:
        """Guard against a port that stays in use after the stop."""
        port = self.listener.port
        self.listener.stop()
        with self.assertRaises(OSError):
            socket.create_connection((ADDRESS, port), timeout=1)
        again = LinkListener(ADDRESS, port, build_hello('again'), self.server)
        again.start()
        again.stop()

    def test_peer_that_refuses(self) -> None:
        """Guard against descriptors that leak while a peer is away."""
        port = self.listener.port
        self.listener.stop()
        recorder = Recorder()
        dialer = PeerDialer(ADDRESS, port, build_hello('client'), recorder)
        dialer.start()
        self.addCleanup(dialer.stop)
        time.sleep(0.5)
        listener = LinkListener(ADDRESS, port, build_hello('s'), self.server)
        listener.start()
        self.addCleanup(listener.stop)
        self.assertTrue(wait_for(lambda: recorder.opened))
