"""Proxy whose open connections can go silent for good."""

import socket
import threading

RECEIVE_BYTES = 65536


class SilencingProxy:
    """Forward connections; silent ones lose all bytes and their end."""

    def __init__(self, address: str, port: int, target_port: int) -> None:
        self._target = (address, target_port)
        self._listener = socket.create_server((address, port), backlog=512)
        self._lock = threading.Lock()
        # Open connections with the first bytes of their callers.
        self._open: dict[int, bytes] = {}
        self._silent: set[int] = set()
        self._count = 0
        self._sockets: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self, start: bytes) -> int:
        """Silence open connections whose first bytes begin like this."""
        with self._lock:
            silenced = {
                number
                for number, received in self._open.items()
                if received.startswith(start)
            }
            self._silent |= silenced
        return len(silenced)

    def close(self) -> None:
        """Close all connections."""
        for sock in (self._listener, *self._sockets):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            sock.close()

    def _accept(self) -> None:
        while True:
            try:
                caller, _ = self._listener.accept()
                target = socket.create_connection(self._target, 2)
            except OSError:
                return
            target.settimeout(None)
            for sock in (caller, target):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._count += 1
            self._sockets += [caller, target]
            for source, sink, is_caller in (
                (caller, target, True),
                (target, caller, False),
            ):
                threading.Thread(
                    target=self._pump,
                    args=(self._count, source, sink, is_caller),
                    daemon=True,
                ).start()

    def _pump(
        self,
        number: int,
        source: socket.socket,
        sink: socket.socket,
        is_caller: bool,
    ) -> None:
        try:
            while received := source.recv(RECEIVE_BYTES):
                with self._lock:
                    if is_caller:
                        self._open.setdefault(number, received)
                    is_silent = number in self._silent
                if not is_silent:
                    sink.sendall(received)
        except OSError:
            pass
        with self._lock:
            self._open.pop(number, None)
            if number in self._silent:
                return
        try:
            sink.shutdown(socket.SHUT_WR if is_caller else socket.SHUT_RDWR)
        except OSError:
            pass
