"""Connections that wait for the head of a request without a thread each."""

import logging
import re
import select
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from cheroot.server import HTTPConnection

from wasabistream.stopping.open_requests import describe_caller

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.5
# Longer heads are read on a thread of the server.
MAX_PEEK_BYTES = 4096
HEAD_END = b'\r\n\r\n'
# The parser refuses it at once, before the head ends.
BARE_LINE_FEED = re.compile(rb'(?:^|[^\r])\n')
# Edge-triggered, so that a part of a head is reported once.
EVENTS = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLET


@dataclass
class WaitingConnection:
    """Hold a connection and the time until which its head must arrive."""

    connection: HTTPConnection
    deadline_seconds: float
    has_begun: bool = False


class HeadWaiter:
    """Hand connections over once the head of their next request is there.

    A thread for each caller that sends its head slowly would leave none for
    the others.
    """

    def __init__(
        self,
        hand_over: Callable[[HTTPConnection], None],
        idle_seconds: Callable[[], float],
        head_seconds: Callable[[], float],
    ) -> None:
        self._hand_over = hand_over
        self._idle_seconds = idle_seconds
        self._head_seconds = head_seconds
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._waiting: dict[int, WaitingConnection] = {}
        self._is_running = False
        self._is_stopped = False

    def add(self, connection: HTTPConnection) -> None:
        """Hand a connection over, now or once its head has arrived."""
        received = _peek(connection)
        if received is None or _is_complete(received):
            self._hand_over(connection)
            return
        waiting = WaitingConnection(
            connection, time.monotonic() + self._idle_seconds()
        )
        self._limit_head(waiting, received)
        if self._wait_for_head(waiting):
            return
        if received:
            self._hand_over(connection)
        else:
            connection.close()

    def begun_requests(self) -> list[str]:
        """Return the callers whose heads have arrived in part."""
        with self._lock:
            return [
                describe_caller(waiting.connection)
                for waiting in self._waiting.values()
                if waiting.has_begun
            ]

    def stop(self) -> None:
        """Hand over what has begun to arrive and close the others."""
        with self._lock:
            self._is_stopped = True
        for descriptor in tuple(self._waiting):
            self._end_wait(descriptor)

    def _wait_for_head(self, waiting: WaitingConnection) -> bool:
        """Watch a connection; return False if the server has stopped."""
        descriptor = waiting.connection.socket.fileno()
        with self._lock:
            # A connection that is added after the stop would wait for ever.
            if self._is_stopped:
                return False
            self._waiting[descriptor] = waiting
            # Reports at once what has arrived since.
            self._epoll.register(descriptor, EVENTS)
            if not self._is_running:
                self._is_running = True
                threading.Thread(
                    target=self._run, name='heads', daemon=True
                ).start()
        return True

    def _run(self) -> None:
        while not self._is_stopped:
            for descriptor, _ in self._epoll.poll(TICK_SECONDS):
                waiting = self._waiting.get(descriptor)
                if waiting is not None:
                    self._check(descriptor, waiting)
            now = time.monotonic()
            for descriptor, waiting in tuple(self._waiting.items()):
                if waiting.deadline_seconds <= now:
                    self._expire(descriptor, waiting)

    def _check(self, descriptor: int, waiting: WaitingConnection) -> None:
        received = _peek(waiting.connection)
        if received is None or _is_complete(received):
            self._end_wait(descriptor)
        else:
            self._limit_head(waiting, received)

    def _limit_head(self, waiting: WaitingConnection, received: bytes) -> None:
        if received and not waiting.has_begun:
            waiting.has_begun = True
            waiting.deadline_seconds = time.monotonic() + self._head_seconds()

    def _expire(self, descriptor: int, waiting: WaitingConnection) -> None:
        if waiting.has_begun:
            logger.info('http: a caller sends its request too slowly')
            try:
                # The parser then sees the end of the head and refuses it.
                waiting.connection.socket.shutdown(socket.SHUT_RD)
            except OSError as error:
                logger.debug('http: caller has closed: %s', error)
        self._end_wait(descriptor)

    def _end_wait(self, descriptor: int) -> None:
        # Under the lock, so that a stop does not overlook a connection that is
        # on its way to the threads.
        with self._lock:
            waiting = self._waiting.pop(descriptor, None)
            if waiting is None:
                return
            self._epoll.unregister(descriptor)
            if _peek(waiting.connection) == b'':
                waiting.connection.close()
            else:
                self._hand_over(waiting.connection)


def _peek(connection: HTTPConnection) -> bytes | None:
    """Return what has arrived, or None if it must be read to tell."""
    if connection.rfile.has_data():
        return None
    poll = select.poll()
    try:
        poll.register(connection.socket, select.POLLIN)
        if not poll.poll(0):
            return b''
        received = connection.socket.recv(MAX_PEEK_BYTES, socket.MSG_PEEK)
    except OSError as error:
        logger.debug('http: connection cannot be read: %s', error)
        return None
    return received or None


def _is_complete(received: bytes) -> bool:
    return (
        HEAD_END in received
        or len(received) >= MAX_PEEK_BYTES
        or BARE_LINE_FEED.search(received) is not None
    )
