"""Reading of the bodies of callers' requests."""

from cheroot.errors import MaxSizeExceeded
from cheroot.server import ChunkedRFile, HTTPRequest

from wasabistream.exceptions import RequestError
from wasabistream.read_deadlines import read_deadlines

# Bodies have a few megabytes at most.
BODY_LIMIT_SECONDS = 60.0


def read_body(request: HTTPRequest) -> bytes:
    """Return the whole body; raises RequestError if it is not whole."""
    with read_deadlines.limit(
        request.conn.socket, BODY_LIMIT_SECONDS
    ) as deadline:
        try:
            return _read_whole(request)
        except RequestError as error:
            if not deadline.expired:
                raise
            raise RequestError('body came too slowly', 408, 'slow') from error


def _read_whole(request: HTTPRequest) -> bytes:
    try:
        body: bytes = request.rfile.read()
        if isinstance(request.rfile, ChunkedRFile):
            # Unread trailers would be parsed as the next request.
            list(request.rfile.read_trailer_lines())  # type: ignore
            return body
    except MaxSizeExceeded as error:
        raise RequestError('body is too long', 413, 'too_long') from error
    except TimeoutError as error:
        raise RequestError('body came too slowly', 408, 'slow') from error
    except (OSError, ValueError) as error:
        raise RequestError(str(error), 400, 'bad_body') from error
    if len(body) < int(request.inheaders.get(b'Content-Length', 0)):
        raise RequestError('body is cut off', 400, 'bad_body')
    return body
