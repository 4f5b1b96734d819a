"""HTTP responses that are checked strictly and whose size is limited.

`http.client` skips interim responses and reads headers and trailers for as
long as the peer sends them. It drops all header lines after a malformed one,
the framing of the body among them, and accepts chunk sizes like "-1".
"""

import http.client
import io
import math
import re
import socket
import time
from dataclasses import dataclass
from typing import Any

# Status line, headers and interim responses together.
HEAD_LIMIT_BYTES = 64 * 1024
# Statuses that answer a request (RFC 9110); those below are interim.
FINAL_STATUSES = range(200, 600)
LINE_END = b'\r\n'
# Bytes of a malformed line that an error quotes.
MAX_SHOWN_BYTES = 80
# Lines of RFC 9112, with the statuses of RFC 9110. A folded header line is
# obsolete and not accepted.
STATUS_LINE = re.compile(
    rb'HTTP/1\.[0-9] [1-5][0-9]{2}(?: [\t\x20-\x7e\x80-\xff]*)?\r\n'
)
FIELD_LINE = re.compile(
    rb"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*)?\r\n"
)
CHUNK_SIZE_LINE = re.compile(
    rb'[0-9A-Fa-f]{1,16}(?:[ \t]*;[\t\x20-\x7e\x80-\xff]*)?\r\n'
)


class ResponseLimitError(http.client.HTTPException):
    """Report a response that exceeds its limit of bytes."""


class FramingError(http.client.HTTPException):
    """Report a response that is malformed or whose length is unclear."""


@dataclass(frozen=True, slots=True)
class ResponseLimits:
    """Limit the bytes and the duration of a response."""

    max_bytes: int = HEAD_LIMIT_BYTES
    # Whether the socket's timeout applies to the response as a whole, not to
    # each read.
    has_deadline: bool = False
    # A response that arrives at this rate or faster may take longer.
    min_bytes_per_second: float = math.inf


# The body of such a response is limited read by read.
HEAD_LIMITS = ResponseLimits()


class LimitedReader(io.RawIOBase):
    """Read from a socket up to a number of bytes and a deadline.

    What is received puts the deadline off, at `min_bytes_per_second`, so that a
    long answer that arrives steadily is not taken for one that has stopped.
    """

    def __init__(
        self,
        sock: socket.socket,
        limit_bytes: int,
        deadline_seconds: float | None = None,
        min_bytes_per_second: float = math.inf,
    ) -> None:
        super().__init__()
        self._socket = sock
        # Limits each read.
        self._timeout_seconds = sock.gettimeout() or math.inf
        self._min_bytes_per_second = min_bytes_per_second
        # Keeps the descriptor open after the connection object is closed.
        self._file = sock.makefile('rb', buffering=0)
        self._remaining_bytes = limit_bytes
        self._deadline_seconds = deadline_seconds
        # True once the peer has closed its side of the connection.
        self.ended = False

    def readable(self) -> bool:
        """Return True, as `io.BufferedReader` requires."""
        return True

    def limit(self, limit_bytes: int) -> None:
        """Set how many bytes may be read from now on."""
        self._remaining_bytes = limit_bytes

    def readinto(self, buffer: Any) -> int:
        """Read into a buffer and return the number of bytes.

        Raises ResponseLimitError or TimeoutError when a limit is reached.
        """
        if self._remaining_bytes <= 0:
            raise ResponseLimitError('response is too long')
        self._apply_deadline()
        size_bytes = min(len(buffer), self._remaining_bytes)
        count = self._file.readinto(memoryview(buffer)[:size_bytes]) or 0
        self._remaining_bytes -= count
        if self._deadline_seconds is not None:
            self._deadline_seconds += count / self._min_bytes_per_second
        self.ended = not count
        return count

    def close(self) -> None:
        """Release the socket."""
        self._file.close()
        super().close()

    def _apply_deadline(self) -> None:
        if self._deadline_seconds is None:
            return
        remaining_seconds = self._deadline_seconds - time.monotonic()
        if remaining_seconds <= 0:
            raise TimeoutError('response is not complete in time')
        self._socket.settimeout(min(remaining_seconds, self._timeout_seconds))


class LimitedResponse(http.client.HTTPResponse):
    """Read a response whose peer may send without end.

    With `closes`, its connection is not used again. With `send_failed`, the
    request could not be sent completely.
    """

    def __init__(
        self,
        sock: socket.socket,
        debuglevel: int = 0,
        method: str | None = None,
        url: str | None = None,
        *,
        limits: ResponseLimits = HEAD_LIMITS,
        closes: bool = False,
        send_failed: bool = False,
    ) -> None:
        timeout_seconds = sock.gettimeout()
        deadline_seconds = None
        if limits.has_deadline and timeout_seconds is not None:
            deadline_seconds = time.monotonic() + timeout_seconds
        self._closes = closes
        self._send_failed = send_failed
        self.reader = LimitedReader(
            sock,
            limits.max_bytes,
            deadline_seconds,
            limits.min_bytes_per_second,
        )
        self._file = _MessageFile(self.reader)
        super().__init__(
            _FileSource(self._file),  # type: ignore[arg-type]
            debuglevel,
            method,
            url,
        )

    def begin(self) -> None:
        """Read the head; raises FramingError if it is cut or malformed."""
        super().begin()
        self._file.line_pattern = CHUNK_SIZE_LINE
        # http.client takes the end of the connection for the end of the head.
        if self.reader.ended:
            raise FramingError('head is cut off')
        if self.status not in FINAL_STATUSES:
            raise FramingError(f'interim status {self.status}')
        lengths = self.headers.get_all('content-length') or []
        codings = self.headers.get_all('transfer-encoding') or []
        if codings and (lengths or not self.chunked or len(codings) > 1):
            raise FramingError('transfer coding is not only chunked')
        if len(set(lengths)) > 1 or not all(map(_is_length, lengths)):
            raise FramingError('content length is invalid')
        # A failed send takes a reset off the socket, so that reads show a
        # regular end of the connection instead.
        if self._send_failed and self.ends_with_connection:
            raise FramingError('connection was reset before the body ended')
        # Makes http.client and urllib3 give the connection up.
        self.will_close = self.will_close or self._closes

    def read_whole(self) -> bytes:
        """Return the whole body; raises IncompleteRead if it is cut off."""
        body: bytes = self.read()
        if self.chunked and self.reader.ended:
            raise http.client.IncompleteRead(body)
        return body

    @property
    def ends_with_connection(self) -> bool:
        """Return whether only the end of the connection ends the body."""
        return not self.chunked and self.length is None

    def _get_chunk_left(self) -> int | None:
        # http.client skips two bytes after a chunk whatever they are.
        if self.chunk_left == 0:
            if self._file.read(len(LINE_END)) != LINE_END:
                raise FramingError('chunk is not followed by a line end')
            self.chunk_left = None
        return super()._get_chunk_left()  # type: ignore[misc, no-any-return]

    def _read_and_discard_trailer(self) -> None:
        self._file.line_pattern = FIELD_LINE
        super()._read_and_discard_trailer()  # type: ignore[misc]


class _MessageFile(io.BufferedReader):
    """Read the lines of a message; raises FramingError if one is malformed.

    The first line and the line after an interim head are status lines.
    """

    def __init__(self, reader: LimitedReader) -> None:
        super().__init__(reader)
        self.line_pattern = STATUS_LINE

    def readline(self, size: int | None = -1) -> bytes:
        """Return the next line, or b'' at the end of the connection."""
        line = super().readline(size)
        if line and not self.line_pattern.fullmatch(line):
            raise FramingError(f'malformed line: {line[:MAX_SHOWN_BYTES]!r}')
        if self.line_pattern is STATUS_LINE:
            self.line_pattern = FIELD_LINE
        elif line == LINE_END and self.line_pattern is FIELD_LINE:
            self.line_pattern = STATUS_LINE
        return line


class _FileSource:
    """Stand in for the socket from which `http.client` makes a file."""

    def __init__(self, file: _MessageFile) -> None:
        self._file = file

    def makefile(self, mode: str) -> _MessageFile:
        """Return the file that reads through the limits."""
        return self._file


def _is_length(text: str) -> bool:
    return text.isascii() and text.isdecimal()
