"""Forwarder that injects link faults between the daemons of a history."""

import socket
import threading
import time

ADDRESS = '127.0.0.1'
RECEIVE_BYTES = 65536
POLL_SECONDS = 0.05


class LinkProxy:
    """Forward TCP connections and stall or cut them on demand."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._server = socket.create_server((ADDRESS, 0))
        self.port: int = self._server.getsockname()[1]
        self._sockets: list[socket.socket] = []
        # Directions in which nothing passes while a stall lasts.
        self.stall_to_target = False
        self.stall_from_target = False
        self.refuse = False
        threading.Thread(target=self._accept, daemon=True).start()

    def stall(self, seconds: float, to_target: bool, from_target: bool) -> None:
        """Hold back bytes in the given directions for a time."""
        self.stall_to_target = to_target
        self.stall_from_target = from_target
        time.sleep(seconds)
        self.stall_to_target = False
        self.stall_from_target = False

    def cut(self, seconds: float) -> None:
        """Close all connections and accept no other for a time."""
        self.refuse = True
        for sock in list(self._sockets):
            _close(sock)
        time.sleep(seconds)
        self.refuse = False

    def close(self) -> None:
        """Close everything."""
        _close(self._server)
        for sock in list(self._sockets):
            _close(sock)

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._server.accept()
            except OSError:
                return
            try:
                far = socket.create_connection((ADDRESS, self._target_port), 2)
            except OSError:
                _close(near)
                continue
            far.settimeout(None)
            if self.refuse:
                _close(near)
                _close(far)
                continue
            self._sockets.extend((near, far))
            self._pump(near, far, to_target=True)
            self._pump(far, near, to_target=False)

    def _pump(
        self, source: socket.socket, sink: socket.socket, to_target: bool
    ) -> None:
        threading.Thread(
            target=self._copy, args=(source, sink, to_target), daemon=True
        ).start()

    def _copy(
        self, source: socket.socket, sink: socket.socket, to_target: bool
    ) -> None:
        try:
            received = source.recv(RECEIVE_BYTES)
            while received:
                while self._stalled(to_target):
                    time.sleep(POLL_SECONDS)
                sink.sendall(received)
                received = source.recv(RECEIVE_BYTES)
        except OSError:
            # Either side closed; the other must see it as well.
            received = b''
        _close(source)
        _close(sink)

    def _stalled(self, to_target: bool) -> bool:
        return self.stall_to_target if to_target else self.stall_from_target


def _close(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        sock.close()
    else:
        sock.close()
