"""Parts of the HTTP answers that an entry writes to callers."""

import json
from http import HTTPStatus
from typing import Protocol

from cheroot.server import HTTPRequest

from wasabistream.outcomes import Outcome
from wasabistream.streams import CallerStream

JSON_TYPE = 'application/json'
EVENT_STREAM_TYPE = 'text/event-stream'
LAST_CHUNK = b'0\r\n\r\n'
DONE_EVENT = b'data: [DONE]\n\n'
# cheroot copies what it writes twice.
MAX_WRITE_BYTES = 16 * 1024


def error_body(
    message: str, code: str, outcome: Outcome, request_id: str = ''
) -> bytes:
    """Return the JSON body of an error."""
    # Callers can act on only one thing: that the request certainly has not
    # run.
    stated_outcome = outcome if outcome == Outcome.not_run else Outcome.unknown
    return json.dumps(
        {
            'error': {
                'message': message,
                'type': 'wasabistream_error',
                'code': code,
                'param': None,
                'outcome': stated_outcome,
                'request_id': request_id,
            }
        }
    ).encode()


def reason_phrase(status: int) -> str:
    """Return the standard phrase of a status."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'


def retry_after_field(seconds: float) -> dict[str, str]:
    """Return a Retry-After field of whole seconds, or none for 0."""
    return {'Retry-After': str(max(1, round(seconds)))} if seconds else {}


def write_body(request: HTTPRequest, body: bytes) -> None:
    """Write a body in pieces; raises OSError on a closed connection."""
    view = memoryview(body)
    for start in range(0, len(body), MAX_WRITE_BYTES):
        request.write(view[start : start + MAX_WRITE_BYTES])


def http_head(
    status: int, content_type: str, head_fields: dict[str, str]
) -> bytes:
    """Return the head of an HTTP/1.1 answer that ends its connection."""
    lines = [
        f'HTTP/1.1 {status} {reason_phrase(status)}',
        f'Content-Type: {content_type}',
        'Connection: close',
        *[f'{name}: {text}' for name, text in head_fields.items()],
    ]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def chunk(payload: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(payload), payload)


def write_json_answer(
    stream: CallerStream,
    status: int,
    body: bytes,
    head_fields: dict[str, str],
    retry_after_seconds: float,
) -> None:
    """Write a complete JSON answer, head and body."""
    all_fields = {
        **head_fields,
        'Content-Length': str(len(body)),
        **retry_after_field(retry_after_seconds),
    }
    stream.write(http_head(status, JSON_TYPE, all_fields) + body)


class AnswerWriter(Protocol):
    """Write one answer to a caller."""

    def write_token(self, index: int, text: str) -> None:
        """Write one token of the answer."""

    def finish(self, finish_reason: str) -> None:
        """End a complete answer."""

    def fail(
        self, status: int, body: bytes, retry_after_seconds: float
    ) -> None:
        """End an answer with an error instead of its remaining tokens."""

    @property
    def has_started(self) -> bool:
        """Tell whether a token was written to the caller."""
