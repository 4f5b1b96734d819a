"""Writers of generated answers to callers."""

import json
from typing import Any

from wasabistream.answer_formats import AnswerFormat, split_delta_event
from wasabistream.answers import (
    DONE_EVENT,
    EVENT_STREAM_TYPE,
    LAST_CHUNK,
    chunk,
    http_head,
    write_json_answer,
)
from wasabistream.streams import CallerStream


class EventStreamWriter:
    """Write server-sent events, one for each token."""

    def __init__(
        self,
        stream: CallerStream,
        answer_format: AnswerFormat,
        head_fields: dict[str, str],
    ) -> None:
        self._stream = stream
        self.answer_format = answer_format
        self._head_fields = head_fields
        self._token_count = 0
        self._parts = ('', '')
        self.stream_id = ''
        self.started = False

    def write_token(self, index: int, text: str) -> None:
        """Add one token."""
        self._token_count = index + 1
        if not self.started or not index:
            body = (
                self.answer_format.delta(text)
                if index
                else self.answer_format.first(text)
            )
            self._event(body, f'{self.stream_id}/{index}')
            self._parts = split_delta_event(self.answer_format)
            return
        # Only the text differs between events: joining it into the prepared
        # JSON takes a tenth of the time of encoding the whole body.
        before, after = self._parts
        event = (
            f'id: {self.stream_id}/{index}\ndata: {before}'
            + f'{json.dumps(text)}{after}\n\n'
        )
        self._stream.write(chunk(event.encode()))

    def finish(self, finish_reason: str) -> None:
        """End a complete answer."""
        self._event(self.answer_format.end(finish_reason), '')
        if self.answer_format.context.include_usage:
            self._event(self.answer_format.usage_event(self._token_count), '')
        self._stream.write(chunk(DONE_EVENT) + LAST_CHUNK)
        self._stream.finish()

    def fail(
        self, status: int, body: bytes, retry_after_seconds: float
    ) -> None:
        """End with an error event, or with a status before any event."""
        if self.started:
            # The last chunk is left out: the answer is visibly cut.
            self._stream.write(chunk(b'event: error\ndata: ' + body + b'\n\n'))
        else:
            write_json_answer(
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
        answer_format: AnswerFormat,
        head_fields: dict[str, str],
    ) -> None:
        self._stream = stream
        self.answer_format = answer_format
        self._head_fields = head_fields
        self._texts: list[str] = []
        self.stream_id = ''
        # A whole answer shows no token before its end.
        self.started = False

    def write_token(self, index: int, text: str) -> None:
        """Add one token."""
        # A second attempt starts again at the first token.
        if not index:
            self._texts = []
        self._texts.append(text)

    def finish(self, finish_reason: str) -> None:
        """End a complete answer."""
        body = self.answer_format.whole(''.join(self._texts), finish_reason)
        body['usage'] = self.answer_format.context.usage(len(self._texts))
        write_json_answer(
            self._stream, 200, json.dumps(body).encode(), self._head_fields, 0
        )
        self._stream.finish()

    def fail(
        self, status: int, body: bytes, retry_after_seconds: float
    ) -> None:
        """End with an error status."""
        write_json_answer(
            self._stream, status, body, self._head_fields, retry_after_seconds
        )
        self._stream.finish()
