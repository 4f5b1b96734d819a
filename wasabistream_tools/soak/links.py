"""Proxies of the links between entries, which can be disturbed by entry."""

import contextlib
import enum
import socket
import threading
import time
from functools import partial

RECEIVE_BYTES = 65536
POLL_SECONDS = 0.05
CONNECT_TIMEOUT_SECONDS = 2.0
BACKLOG_COUNT = 512
# Rate of each direction of a link while it is slow.
SLOW_BYTES_PER_SECOND = 20_000


class LinkState(enum.StrEnum):
    """Name what happens to the bytes of a link."""

    whole = 'whole'
    # Links end, and new ones are refused.
    cut = 'cut'
    # Bytes are held back until the end of the disturbance.
    silent = 'silent'
    slow = 'slow'


class LinkNetwork:
    """Forward the links between entries.

    An entry dials the proxy of another one from its own address, by which its
    links are told from those of the others.
    """

    def __init__(self) -> None:
        # By the address of the entry at either end.
        self._states: dict[str, LinkState] = {}
        self._lock = threading.Lock()
        self._listeners: list[socket.socket] = []
        self._links: dict[tuple[socket.socket, socket.socket], set[str]] = {}
        self._is_stopped = False

    def add_entry(self, proxy: tuple[str, int], entry: tuple[str, int]) -> None:
        """Listen at a proxy address for links to an entry."""
        listener = socket.create_server(proxy, backlog=BACKLOG_COUNT)
        self._listeners.append(listener)
        threading.Thread(
            target=self._accept, args=(listener, entry), daemon=True
        ).start()

    def disturb(self, address: str, state: LinkState, seconds: float) -> None:
        """Disturb all links of an entry until it returns."""
        self._states[address] = state
        if state is LinkState.cut:
            self._cut(address)
        time.sleep(seconds)
        self._states[address] = LinkState.whole

    def stop(self) -> None:
        """End all links."""
        self._is_stopped = True
        for listener in self._listeners:
            close(listener)
        with self._lock:
            pairs = list(self._links)
        for pair in pairs:
            self._end(pair)

    def _state(self, ends: set[str]) -> LinkState:
        for address in ends:
            state = self._states.get(address, LinkState.whole)
            if state is not LinkState.whole:
                return state
        return LinkState.whole

    def _cut(self, address: str) -> None:
        with self._lock:
            cut = [
                pair for pair, ends in self._links.items() if address in ends
            ]
        for pair in cut:
            self._end(pair)

    def _accept(self, listener: socket.socket, entry: tuple[str, int]) -> None:
        while True:
            try:
                dialled, (dialler, _) = listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._forward,
                args=(dialled, entry, {dialler, entry[0]}),
                daemon=True,
            ).start()

    def _forward(
        self, dialled: socket.socket, entry: tuple[str, int], ends: set[str]
    ) -> None:
        try:
            self._wait_while_silent(ends)
            target = socket.create_connection(entry, CONNECT_TIMEOUT_SECONDS)
        except OSError:
            close(dialled)
            return
        target.settimeout(None)
        pair = (dialled, target)
        with self._lock:
            self._links[pair] = ends
        if self._state(ends) is LinkState.cut:
            # The cut began before the link was listed.
            self._end(pair)
        back = threading.Thread(
            target=self._copy, args=(target, dialled, ends), daemon=True
        )
        back.start()
        self._copy(dialled, target, ends)
        self._end(pair)
        back.join()
        with self._lock:
            self._links.pop(pair)

    def _copy(
        self, source: socket.socket, sink: socket.socket, ends: set[str]
    ) -> None:
        with contextlib.suppress(OSError):
            for received in iter(partial(source.recv, RECEIVE_BYTES), b''):
                self._send(sink, received, ends)
        # The other direction ends with this one.
        shut_down_both(source, sink)

    def _send(
        self, sink: socket.socket, received: bytes, ends: set[str]
    ) -> None:
        while received:
            self._wait_while_silent(ends)
            size = len(received)
            if self._state(ends) is LinkState.slow:
                size = int(SLOW_BYTES_PER_SECOND * POLL_SECONDS)
                time.sleep(POLL_SECONDS)
            sink.sendall(received[:size])
            received = received[size:]

    def _wait_while_silent(self, ends: set[str]) -> None:
        while self._state(ends) is LinkState.silent:
            time.sleep(POLL_SECONDS)
        if self._is_stopped or self._state(ends) is LinkState.cut:
            raise ConnectionAbortedError

    def _end(self, pair: tuple[socket.socket, socket.socket]) -> None:
        for sock in pair:
            close(sock)


def shut_down_both(*socks: socket.socket) -> None:
    """End both directions of sockets, which wakes their threads."""
    for sock in socks:
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)


def close(sock: socket.socket) -> None:
    """Close a socket that another thread may wait for."""
    shut_down_both(sock)
    sock.close()
