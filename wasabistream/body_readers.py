"""Reading of the bodies of callers' requests."""

import io
import logging
from typing import Any

from cheroot.server import HTTPRequest

from wasabistream.caller_connections import (
    BODY_BUFFER_BYTES,
    DISCARD_BUFFER_BYTES,
    IDLE_BUFFER_BYTES,
    set_receive_buffer,
)
from wasabistream.exceptions import MemoryLimitError, RequestError
from wasabistream.limited_responses import (
    CHUNK_SIZE_LINE,
    FIELD_LINE,
    LINE_END,
)
from wasabistream.memory_budgets import UNCOUNTED_BYTES, MemoryReservation
from wasabistream.read_deadlines import read_deadlines

logger = logging.getLogger(__name__)

# Bodies have a few megabytes at most.
BODY_LIMIT_SECONDS = 60.0
# Time for the rest of a body that is not wanted any more.
DISCARD_LIMIT_SECONDS = 2.0
MALFORMED_CODE = 'bad_body'
MAX_READ_BYTES = 16 * 1024
MAX_LINE_BYTES = 4096
MAX_TRAILER_COUNT = 64


def read_body(request: HTTPRequest, reservation: MemoryReservation) -> bytes:
    """Return the whole body; raises RequestError if it is not whole."""
    with read_deadlines.limit(
        request.conn.socket, BODY_LIMIT_SECONDS
    ) as deadline:
        try:
            return _read_whole(request, reservation)
        except RequestError as error:
            if not deadline.expired:
                raise
            raise RequestError('body came too slowly', 408, 'slow') from error


def discard_body(request: HTTPRequest, error: RequestError) -> None:
    """Read the rest of a body that was refused but is well formed.

    Closing a connection with unread bytes resets it, and the answer that was
    sent before could be lost.
    """
    if error.code == MALFORMED_CODE:
        return
    set_receive_buffer(request.conn.socket, DISCARD_BUFFER_BYTES)
    with read_deadlines.limit(request.conn.socket, DISCARD_LIMIT_SECONDS):
        try:
            # A body in chunks ends with its connection.
            _read_to_end(
                request.conn.rfile if request.chunked_read else request.rfile
            )
        except (OSError, ValueError) as error:
            logger.debug('http: rest of a body is not read: %s', error)


def _read_to_end(file: Any) -> None:
    piece = file.read(MAX_READ_BYTES)
    while piece:
        piece = file.read(MAX_READ_BYTES)


def _read_whole(request: HTTPRequest, reservation: MemoryReservation) -> bytes:
    # Its contents become the body without a copy.
    body = io.BytesIO()
    try:
        if request.chunked_read:
            _read_chunks(request, reservation, body)
        else:
            length = int(request.inheaders.get(b'Content-Length', 0))
            _reserve(request, reservation, length)
            # cheroot counts what is read through this file.
            _read_pieces(request.rfile, length, body)
    except TimeoutError as error:
        raise RequestError('body came too slowly', 408, 'slow') from error
    except (OSError, ValueError) as error:
        raise RequestError(str(error), 400, MALFORMED_CODE) from error
    if reservation.size_bytes > UNCOUNTED_BYTES:
        set_receive_buffer(request.conn.socket, IDLE_BUFFER_BYTES)
    return body.getvalue()


def _reserve(
    request: HTTPRequest, reservation: MemoryReservation, size_bytes: int
) -> None:
    was_short = reservation.size_bytes <= UNCOUNTED_BYTES
    try:
        reservation.add(size_bytes)
    except MemoryLimitError as error:
        raise RequestError(error.reason, 503, 'busy') from error
    if was_short and reservation.size_bytes > UNCOUNTED_BYTES:
        # What the socket holds is a part of the body that is not read yet.
        set_receive_buffer(request.conn.socket, BODY_BUFFER_BYTES)


def _read_chunks(
    request: HTTPRequest, reservation: MemoryReservation, body: io.BytesIO
) -> None:
    """Read a body in chunks, whose framing is checked."""
    limit_bytes = request.server.max_request_body_size
    length = 0
    while True:
        line = request.conn.rfile.readline(MAX_LINE_BYTES)
        if not CHUNK_SIZE_LINE.fullmatch(line):
            raise RequestError('chunk size is malformed', 400, MALFORMED_CODE)
        size = int(line.partition(b';')[0], 16)
        if not size:
            _read_trailers(request)
            return
        length += size
        if limit_bytes and length > limit_bytes:
            raise RequestError('body is too long', 413, 'too_long')
        _reserve(request, reservation, size)
        _read_pieces(request.conn.rfile, size, body)
        if request.conn.rfile.read(len(LINE_END)) != LINE_END:
            raise RequestError('chunk is malformed', 400, MALFORMED_CODE)


def _read_pieces(file: Any, length: int, body: io.BytesIO) -> None:
    remaining = length
    while remaining:
        piece = file.read(min(remaining, MAX_READ_BYTES))
        if not piece:
            raise RequestError('body is cut off', 400, MALFORMED_CODE)
        remaining -= len(piece)
        body.write(piece)


def _read_trailers(request: HTTPRequest) -> None:
    # Unread trailers would be parsed as the next request.
    for _ in range(MAX_TRAILER_COUNT):
        line = request.conn.rfile.readline(MAX_LINE_BYTES)
        if line == LINE_END:
            return
        if not FIELD_LINE.fullmatch(line):
            raise RequestError('trailer is malformed', 400, MALFORMED_CODE)
    raise RequestError('body has too many trailers', 400, MALFORMED_CODE)
