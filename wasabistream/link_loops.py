"""Loop that runs the tasks of all connections between processes."""

import heapq
import itertools
import logging
import os
import selectors
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Protocol

from wasabistream.link_waits import Connected, Pause, Task, Wait

logger = logging.getLogger(__name__)

# Interval at which time-outs of sockets are checked and heartbeats are sent.
TICK_SECONDS = 0.5
WAKE_BYTES = 4096
STOP_WAIT_SECONDS = 2.0


class LoopLink(Protocol):
    """A link whose frames the loop sends."""

    sock: socket.socket

    def flush(self) -> bool:
        """Send queued frames without blocking; return whether any is left."""

    def send_heartbeat_if_due(self, now: float) -> None:
        """Queue a heartbeat after an interval without other frames."""


class _Registration:
    """Hold what the loop does when a socket is ready."""

    def __init__(self) -> None:
        self.task: Task | None = None
        self.task_events = 0
        self.deadline_seconds: float | None = None
        # Set while the link has frames that the socket did not take.
        self.blocked_link: LoopLink | None = None

    @property
    def events(self) -> int:
        """Return the events to wait for."""
        if self.blocked_link is None:
            return self.task_events
        return self.task_events | selectors.EVENT_WRITE


class LinkLoop:
    """Run tasks on one thread, which starts with the first task.

    Handlers of messages run on this thread and must not block.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._calls: deque[Callable[[], None]] = deque()
        self._links_to_flush: set[LoopLink] = set()
        self._thread: threading.Thread | None = None
        self._is_woken = False
        reader, writer = os.pipe()
        os.set_blocking(reader, False)
        os.set_blocking(writer, False)
        self._wake_reader = reader
        self._wake_writer = writer
        # Used on the loop's thread only.
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._wake_reader, selectors.EVENT_READ)
        self._registrations: dict[socket.socket, _Registration] = {}
        self._pauses: list[tuple[float, int, Task]] = []
        self._pause_numbers = itertools.count()
        self._links: set[LoopLink] = set()
        self._next_tick_seconds = 0.0

    def spawn(self, task: Task) -> None:
        """Start a task."""
        self.call_soon(partial(self._resume, task))

    def call_soon(self, function: Callable[[], None]) -> None:
        """Call a function on the loop's thread."""
        with self._lock:
            self._calls.append(function)
        self._wake()

    def call_and_wait(self, function: Callable[[], None]) -> None:
        """Call a function on the loop's thread and wait until it has ended."""
        if threading.current_thread() is self._thread:
            function()
            return
        done = threading.Event()

        def call() -> None:
            try:
                function()
            finally:
                done.set()

        self.call_soon(call)
        done.wait(STOP_WAIT_SECONDS)

    def flush_soon(self, link: LoopLink) -> None:
        """Send the queued frames of a link."""
        with self._lock:
            self._links_to_flush.add(link)
        self._wake()

    def add_link(self, link: LoopLink) -> None:
        """Send the heartbeats of a link; call on the loop's thread."""
        self._links.add(link)

    def remove_link(self, link: LoopLink) -> None:
        """Stop sending for a link; call on the loop's thread."""
        self._links.discard(link)

    def forget(self, sock: socket.socket) -> None:
        """Stop waiting for a socket before it is closed."""
        if self._registrations.pop(sock, None) is not None:
            self._selector.unregister(sock)

    def _wake(self) -> None:
        with self._lock:
            if self._thread is None:
                self._thread = threading.Thread(
                    target=self._run, name='links', daemon=True
                )
                self._thread.start()
            if self._is_woken:
                return
            self._is_woken = True
        os.write(self._wake_writer, b'w')

    def _run(self) -> None:
        while True:
            for key, events in self._selector.select(self._timeout_seconds()):
                if key.fd == self._wake_reader:
                    os.read(self._wake_reader, WAKE_BYTES)
                else:
                    self._handle_event(key.data, events)
            self._run_calls()
            self._run_due()

    def _timeout_seconds(self) -> float:
        due_seconds = self._next_tick_seconds
        if self._pauses:
            due_seconds = min(due_seconds, self._pauses[0][0])
        return max(due_seconds - time.monotonic(), 0)

    def _run_calls(self) -> None:
        with self._lock:
            self._is_woken = False
            calls = list(self._calls)
            self._calls.clear()
            links = list(self._links_to_flush)
            self._links_to_flush.clear()
        for function in calls:
            self._call(function)
        for link in links:
            self._call(partial(self._flush, link))

    def _call(self, function: Callable[[], None]) -> None:
        try:
            function()
        except Exception:
            # One connection must not end the loop of all.
            logger.exception('link: call on the loop failed')

    def _run_due(self) -> None:
        now = time.monotonic()
        while self._pauses and self._pauses[0][0] <= now:
            self._resume(heapq.heappop(self._pauses)[2])
        if now < self._next_tick_seconds:
            return
        self._next_tick_seconds = now + TICK_SECONDS
        for sock, registration in tuple(self._registrations.items()):
            deadline_seconds = registration.deadline_seconds
            if deadline_seconds is not None and deadline_seconds <= now:
                self._resume_waiting(sock, registration, timed_out=True)
        for link in tuple(self._links):
            self._call(partial(link.send_heartbeat_if_due, now))

    def _handle_event(self, sock: socket.socket, events: int) -> None:
        registration = self._registrations.get(sock)
        if registration is None:
            # An earlier event of the same round has ended the connection.
            return
        link = registration.blocked_link
        if link is not None and events & selectors.EVENT_WRITE:
            self._call(partial(self._flush, link))
        if events & registration.task_events:
            self._resume_waiting(sock, registration)

    def _resume_waiting(
        self,
        sock: socket.socket,
        registration: _Registration,
        *,
        timed_out: bool = False,
    ) -> None:
        task = registration.task
        if task is None:
            return
        registration.task = None
        registration.task_events = 0
        registration.deadline_seconds = None
        self._resume(task, timed_out=timed_out)
        # Most tasks wait for the same socket again.
        if self._registrations.get(sock) is registration:
            self._apply(sock, registration)

    def _resume(self, task: Task, *, timed_out: bool = False) -> None:
        try:
            wait = task.throw(TimeoutError()) if timed_out else next(task)
            self._wait(task, wait)
        except StopIteration:
            return
        except Exception:
            # A task ends its connection in any case.
            logger.exception('link: task failed')
            task.close()

    def _wait(self, task: Task, wait: Wait) -> None:
        now = time.monotonic()
        if isinstance(wait, Pause):
            heapq.heappush(
                self._pauses,
                (now + wait.seconds, next(self._pause_numbers), task),
            )
            return
        registration = self._registrations.get(wait.sock)
        is_new = registration is None
        if registration is None:
            registration = _Registration()
            self._registrations[wait.sock] = registration
        registration.task = task
        registration.task_events = (
            selectors.EVENT_WRITE
            if isinstance(wait, Connected)
            else selectors.EVENT_READ
        )
        if wait.timeout_seconds is not None:
            registration.deadline_seconds = now + wait.timeout_seconds
        if is_new:
            self._selector.register(wait.sock, registration.events, wait.sock)
        else:
            self._apply(wait.sock, registration)

    def _apply(self, sock: socket.socket, registration: _Registration) -> None:
        if not registration.events:
            # A ready socket that nothing waits for would keep the loop busy.
            self.forget(sock)
        elif self._selector.get_key(sock).events != registration.events:
            self._selector.modify(sock, registration.events, sock)

    def _flush(self, link: LoopLink) -> None:
        is_blocked = link.flush()
        registration = self._registrations.get(link.sock)
        if registration is not None:
            registration.blocked_link = link if is_blocked else None
            self._apply(link.sock, registration)


link_loop = LinkLoop()
