"""Connections of an HTTP server that answers what has arrived when it stops."""

import select
import socket

from cheroot.connections import ConnectionManager


class DrainingConnectionManager(ConnectionManager):
    """Hand requests that have arrived to the workers before the server stops.

    cheroot resets connections whose requests it has not read yet.
    """

    def stop(self) -> None:
        """Stop waiting for requests; accept the connections that wait."""
        super().stop()
        listener = self.server.socket
        while listener is not None and _is_readable(listener):
            connection = self._from_server_socket(listener)  # type: ignore[attr-defined]
            if connection is None:
                return
            self.server.process_conn(connection)

    def close(self) -> None:
        """Close the idle connections; the others are answered and closed."""
        # cheroot's type stubs leave the attribute out.
        selector = self._selector  # type: ignore[attr-defined]
        for _, connection in tuple(selector.connections):
            if connection is self.server:
                continue
            if _is_readable(connection.socket):
                self.server.process_conn(connection)
            else:
                connection.close()
        selector.close()


def _is_readable(sock: socket.socket) -> bool:
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))
