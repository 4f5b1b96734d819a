"""Client that reads many token streams in one thread, with a selector."""

import json
import re
import selectors
import socket
import time
from dataclasses import dataclass, field

CONNECT_TIMEOUT_SECONDS = 10.0
RECEIVE_BYTES = 256 * 1024
SELECT_SECONDS = 0.5
EVENT_PREFIX = b'data: {'
# Last event and last HTTP chunk of a stream that was not cut.
COMPLETE_SUFFIX = b'data: [DONE]\n\n\r\n0\r\n\r\n'
# The text of each token of an engine stand-in is its index.
TOKEN_PATTERN = re.compile(rb'"(?:content|text)": ?"(\d+) "')


@dataclass(frozen=True)
class StreamRequest:
    """Hold the request for one stream to a local port."""

    port: int
    path: str
    headers: dict[str, str]
    body: dict[str, object]

    def encode_request(self) -> bytes:
        """Return the bytes of the HTTP request."""
        body = json.dumps(self.body).encode()
        header_fields = {
            'Host': 'localhost',
            'Content-Type': 'application/json',
            'Content-Length': str(len(body)),
            **self.headers,
        }
        lines = [f'{name}: {text}' for name, text in header_fields.items()]
        head = '\r\n'.join([f'POST {self.path} HTTP/1.1', *lines])
        return f'{head}\r\n\r\n'.encode() + body


@dataclass(eq=False)
class ReceivedStream:
    """Hold what has arrived of one stream."""

    sock: socket.socket
    received: bytearray = field(default_factory=bytearray)
    # Monotonic times of the JSON events: one for each token and, from an entry,
    # one for the finish reason. [DONE] is not counted.
    arrivals_seconds: list[float] = field(default_factory=list)
    next_search_position: int = 0

    def add_received(self, received_bytes: bytes, now_seconds: float) -> None:
        """Add received bytes and record when the events in them arrived."""
        self.received += received_bytes
        event_position = self.received.find(
            EVENT_PREFIX, self.next_search_position
        )
        while event_position >= 0:
            self.arrivals_seconds.append(now_seconds)
            self.next_search_position = event_position + len(EVENT_PREFIX)
            event_position = self.received.find(
                EVENT_PREFIX, self.next_search_position
            )

    def complete(self, length_tokens: int) -> bool:
        """Tell whether all tokens arrived once, in order and with the end."""
        token_indexes = [
            int(text) for text in TOKEN_PATTERN.findall(self.received)
        ]
        has_suffix = self.received.endswith(COMPLETE_SUFFIX)
        return has_suffix and token_indexes == list(range(length_tokens))


def read_streams(
    requests: list[StreamRequest], limit_seconds: float
) -> list[ReceivedStream]:
    """Open all streams; read until all have ended or the limit is over."""
    selector = selectors.DefaultSelector()
    streams = []
    for request in requests:
        sock = socket.create_connection(
            ('127.0.0.1', request.port), CONNECT_TIMEOUT_SECONDS
        )
        sock.sendall(request.encode_request())
        sock.setblocking(False)
        streams.append(ReceivedStream(sock))
        selector.register(sock, selectors.EVENT_READ, streams[-1])
    deadline = time.monotonic() + limit_seconds
    while selector.get_map() and time.monotonic() < deadline:
        for key, _ in selector.select(SELECT_SECONDS):
            _read_available(selector, key.data)
    for stream in streams:
        stream.sock.close()
    return streams


def _read_available(
    selector: selectors.BaseSelector, stream: ReceivedStream
) -> None:
    try:
        received_bytes = stream.sock.recv(RECEIVE_BYTES)
    except BlockingIOError:
        return
    except OSError:
        received_bytes = b''
    if received_bytes:
        stream.add_received(received_bytes, time.monotonic())
    else:
        selector.unregister(stream.sock)
