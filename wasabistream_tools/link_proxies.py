"""TCP proxy that injects faults into the links to one daemon."""

import socket
import threading
import time

ADDRESS = '127.0.0.1'
RECEIVE_BYTES = 65536
POLL_INTERVAL_SECONDS = 0.05


class LinkProxy:
    """Forward TCP connections to a port, and stall or cut them on demand."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._server = socket.create_server((ADDRESS, 0))
        self.port: int = self._server.getsockname()[1]
        self._sockets: list[socket.socket] = []
        # Whether bytes are held back now, for each direction.
        self.stalls_to_target = False
        self.stalls_from_target = False
        self.refuses_connections = False
        threading.Thread(target=self._accept_connections, daemon=True).start()

    def stall(self, seconds: float, to_target: bool, from_target: bool) -> None:
        """Hold back bytes in the given directions until it returns."""
        self.stalls_to_target = to_target
        self.stalls_from_target = from_target
        time.sleep(seconds)
        self.stalls_to_target = False
        self.stalls_from_target = False

    def cut(self, seconds: float) -> None:
        """Close all connections, and new ones too until it returns."""
        self.refuses_connections = True
        for sock in list(self._sockets):
            _close(sock)
        time.sleep(seconds)
        self.refuses_connections = False

    def close(self) -> None:
        """Stop listening and close all connections."""
        _close(self._server)
        for sock in list(self._sockets):
            _close(sock)

    def _accept_connections(self) -> None:
        while True:
            try:
                client_socket, _ = self._server.accept()
            except OSError:
                return
            try:
                target_socket = socket.create_connection(
                    (ADDRESS, self._target_port), 2
                )
            except OSError:
                _close(client_socket)
                continue
            target_socket.settimeout(None)
            if self.refuses_connections:
                _close(client_socket)
                _close(target_socket)
                continue
            self._sockets.extend((client_socket, target_socket))
            self._start_copy_thread(
                client_socket, target_socket, to_target=True
            )
            self._start_copy_thread(
                target_socket, client_socket, to_target=False
            )

    def _start_copy_thread(
        self, source: socket.socket, sink: socket.socket, to_target: bool
    ) -> None:
        threading.Thread(
            target=self._copy_until_closed,
            args=(source, sink, to_target),
            daemon=True,
        ).start()

    def _copy_until_closed(
        self, source: socket.socket, sink: socket.socket, to_target: bool
    ) -> None:
        try:
            received = source.recv(RECEIVE_BYTES)
            while received:
                while self._is_stalled(to_target):
                    time.sleep(POLL_INTERVAL_SECONDS)
                sink.sendall(received)
                received = source.recv(RECEIVE_BYTES)
        except OSError:
            # One side has closed or failed; both are closed below, so that the
            # other side notices it too.
            received = b''
        _close(source)
        _close(sink)

    def _is_stalled(self, to_target: bool) -> bool:
        return self.stalls_to_target if to_target else self.stalls_from_target


def _close(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        sock.close()
    else:
        sock.close()
