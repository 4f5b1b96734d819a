"""Answers to callers in the formats that client libraries expect."""

import json
import time
from collections.abc import Callable
from typing import Any, Protocol

from wasabistream.outcomes import Outcome
from wasabistream.streams import CallerStream

JSON_TYPE = 'application/json'
EVENT_STREAM_TYPE = 'text/event-stream'
LAST_CHUNK = b'0\r\n\r\n'

# HTTP status and reason phrase by refusal reason; others are 503.
STATUS_PHRASES = {
    200: 'OK',
    400: 'Bad Request',
    401: 'Unauthorized',
    403: 'Forbidden',
    404: 'Not Found',
    409: 'Conflict',
    410: 'Gone',
    413: 'Content Too Large',
    429: 'Too Many Requests',
    500: 'Internal Server Error',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


def error_body(
    message: str, code: str, outcome: Outcome, request_id: str = ''
) -> bytes:
    """Return the JSON body of an error."""
    return json.dumps(
        {
            'error': {
                'message': message,
                'type': 'wasabistream_error',
                'code': code,
                'param': None,
                'outcome': outcome,
                'request_id': request_id,
            }
        }
    ).encode()


def http_head(status: int, content_type: str, extra: dict[str, str]) -> bytes:
    """Return the head of an HTTP/1.1 answer that ends its connection."""
    lines = [
        f'HTTP/1.1 {status} {STATUS_PHRASES.get(status, "Unknown")}',
        f'Content-Type: {content_type}',
        'Connection: close',
        *[f'{name}: {text}' for name, text in extra.items()],
    ]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def chunk(payload: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(payload), payload)


class AnswerFormat(Protocol):
    """Shape one kind of answer."""

    def delta(self, text: str) -> dict[str, Any]:
        """Return the body of one streamed event."""

    def end(self, finish_reason: str) -> dict[str, Any]:
        """Return the body of the last streamed event."""

    def whole(self, text: str, finish_reason: str) -> dict[str, Any]:
        """Return the body of a whole answer."""


_formats: dict[str, Callable[[str, str], AnswerFormat]] = {}


def answer_format(name: str) -> Callable[[type], type]:
    """Register an answer format under the name of its endpoint."""

    def register(format_type: type) -> type:
        _formats[name] = format_type
        return format_type

    return register


def make_format(name: str, request_id: str, model: str) -> AnswerFormat:
    """Build a registered format; raises KeyError."""
    return _formats[name](request_id, model)


@answer_format('chat')
class ChatFormat:
    """Shape chat completions."""

    def __init__(self, request_id: str, model: str) -> None:
        self._common = {
            'id': f'chatcmpl-{request_id}',
            'created': int(time.time()),
            'model': model,
        }

    def delta(self, text: str) -> dict[str, Any]:
        """Return the body of one streamed event."""
        return self._event({'role': 'assistant', 'content': text}, None)

    def end(self, finish_reason: str) -> dict[str, Any]:
        """Return the body of the last streamed event."""
        return self._event({}, finish_reason)

    def whole(self, text: str, finish_reason: str) -> dict[str, Any]:
        """Return the body of a whole answer."""
        choice = {
            'index': 0,
            'message': {'role': 'assistant', 'content': text},
            'finish_reason': finish_reason,
        }
        return {
            **self._common,
            'object': 'chat.completion',
            'choices': [choice],
        }

    def _event(
        self, delta: dict[str, str], finish_reason: str | None
    ) -> dict[str, Any]:
        choice = {'index': 0, 'delta': delta, 'finish_reason': finish_reason}
        return {
            **self._common,
            'object': 'chat.completion.chunk',
            'choices': [choice],
        }


@answer_format('completion')
class CompletionFormat:
    """Shape plain completions."""

    def __init__(self, request_id: str, model: str) -> None:
        self._common = {
            'id': f'cmpl-{request_id}',
            'object': 'text_completion',
            'created': int(time.time()),
            'model': model,
        }

    def delta(self, text: str) -> dict[str, Any]:
        """Return the body of one streamed event."""
        return self.whole(text, None)

    def end(self, finish_reason: str) -> dict[str, Any]:
        """Return the body of the last streamed event."""
        return self.whole('', finish_reason)

    def whole(self, text: str, finish_reason: str | None) -> dict[str, Any]:
        """Return the body of a whole answer."""
        choice = {
            'index': 0,
            'text': text,
            'logprobs': None,
            'finish_reason': finish_reason,
        }
        return {**self._common, 'choices': [choice]}


class AnswerWriter(Protocol):
    """Write one answer to a caller."""

    def token(self, index: int, text: str) -> None:
        """Add one token."""

    def finish(self, finish_reason: str) -> None:
        """End a complete answer."""

    def fail(
        self, status: int, body: bytes, retry_after_seconds: float
    ) -> None:
        """End an answer that is not complete."""

    @property
    def started(self) -> bool:
        """Tell whether the caller has seen a token."""


class EventStreamWriter:
    """Write server-sent events, one for each token."""

    def __init__(
        self,
        stream: CallerStream,
        shape: AnswerFormat,
        head_fields: dict[str, str],
    ) -> None:
        self._stream = stream
        self._shape = shape
        self._head_fields = head_fields
        self.stream_id = ''
        self.started = False

    def token(self, index: int, text: str) -> None:
        """Add one token."""
        self._event(self._shape.delta(text), f'{self.stream_id}/{index}')

    def finish(self, finish_reason: str) -> None:
        """End a complete answer."""
        self._event(self._shape.end(finish_reason), '')
        self._stream.write(chunk(b'data: [DONE]\n\n') + LAST_CHUNK)
        self._stream.finish()

    def fail(
        self, status: int, body: bytes, retry_after_seconds: float
    ) -> None:
        """End with an error event, or with a status before any event."""
        if self.started:
            # The last chunk is left out: the answer is visibly cut.
            self._stream.write(chunk(b'event: error\ndata: ' + body + b'\n\n'))
        else:
            write_whole(
                self._stream,
                status,
                body,
                self._head_fields,
                retry_after_seconds,
            )
        self._stream.finish()

    def _event(self, body: dict[str, Any], event_id: str) -> None:
        head = b''
        if not self.started:
            self.started = True
            head = http_head(
                200,
                EVENT_STREAM_TYPE,
                {
                    **self._head_fields,
                    'Cache-Control': 'no-cache',
                    'Transfer-Encoding': 'chunked',
                    'Wasabi-Stream-Id': self.stream_id,
                },
            )
        prefix = f'id: {event_id}\n' if event_id else ''
        event = f'{prefix}data: {json.dumps(body)}\n\n'.encode()
        self._stream.write(head + chunk(event))


class WholeAnswerWriter:
    """Collect all tokens and write one JSON answer."""

    def __init__(
        self,
        stream: CallerStream,
        shape: AnswerFormat,
        head_fields: dict[str, str],
    ) -> None:
        self._stream = stream
        self._shape = shape
        self._head_fields = head_fields
        self._texts: list[str] = []
        self.stream_id = ''
        # A whole answer shows no token before its end.
        self.started = False

    def token(self, index: int, text: str) -> None:
        """Add one token; index 0 starts the answer anew."""
        if index == 0:
            # A generation that failed before its end is run again.
            self._texts = []
        self._texts.append(text)

    def finish(self, finish_reason: str) -> None:
        """End a complete answer."""
        body = self._shape.whole(''.join(self._texts), finish_reason)
        body['usage'] = {'completion_tokens': len(self._texts)}
        write_whole(
            self._stream, 200, json.dumps(body).encode(), self._head_fields, 0
        )
        self._stream.finish()

    def fail(
        self, status: int, body: bytes, retry_after_seconds: float
    ) -> None:
        """End with an error status."""
        write_whole(
            self._stream, status, body, self._head_fields, retry_after_seconds
        )
        self._stream.finish()


def write_whole(
    stream: CallerStream,
    status: int,
    body: bytes,
    head_fields: dict[str, str],
    retry_after_seconds: float,
) -> None:
    """Write a whole JSON answer."""
    extra = {**head_fields, 'Content-Length': str(len(body))}
    if retry_after_seconds:
        extra['Retry-After'] = str(max(1, round(retry_after_seconds)))
    stream.write(http_head(status, JSON_TYPE, extra) + body)
