"""Connections of callers, whose receive buffers are memory of the process."""

import logging
import socket
import struct
from typing import Any

from cheroot.makefile import MakeFile
from cheroot.server import HTTPConnection

from wasabistream.exceptions import MemoryLimitError

logger = logging.getLogger(__name__)

# Of connections that wait, so that many callers that send at once do not fill
# the memory of the process with bytes that it has not read yet.
IDLE_BUFFER_BYTES = 8 * 1024
# While a body is read whose length is reserved, or the rest of one is dropped.
BODY_BUFFER_BYTES = 128 * 1024
DISCARD_BUFFER_BYTES = 32 * 1024
# Linux takes twice the size that is set.
KERNEL_BUFFER_RATIO = 2
# Lingers for no time, which makes `close` reset the connection.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class CallerConnection(HTTPConnection):
    """Hold one connection of a caller and the memory that it may take."""

    def __init__(
        self, server: Any, sock: socket.socket, makefile: Any = MakeFile
    ) -> None:
        """Take the memory of the connection; raises MemoryLimitError."""
        # Freed by the first `close`.
        self._buffer_bytes = IDLE_BUFFER_BYTES * KERNEL_BUFFER_RATIO
        self._memory = server.memory_budget
        # Whether the end of the connection must not look like that of an answer.
        self.is_reset_on_close = False
        try:
            self._memory.take_connection(self._buffer_bytes)
        except MemoryLimitError:
            sock.close()
            raise
        super().__init__(server, sock, makefile)

    def communicate(self) -> bool:
        """Answer one request; return whether the connection stays open."""
        try:
            return bool(super().communicate())
        finally:
            self.server.requests_in_progress.end(self)

    def close(self) -> None:
        """Close the connection and free its memory."""
        buffer_bytes = self._buffer_bytes
        self._buffer_bytes = 0
        self._memory.free_connection(buffer_bytes)
        if self.is_reset_on_close:
            self._reset()
        else:
            super().close()

    def _reset(self) -> None:
        self.rfile.close()
        try:
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        except OSError as error:
            logger.info('http: connection is not reset: %s', error)
        self.socket.close()


def set_receive_buffer(sock: socket.socket, size_bytes: int) -> None:
    """Limit the bytes that a socket, or those it accepts, may hold unread."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size_bytes)
    except OSError as error:
        logger.info('http: receive buffer is not set: %s', error)
