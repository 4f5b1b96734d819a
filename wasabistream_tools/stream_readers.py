"""Client that reads many streams of tokens with one selector."""

import json
import re
import selectors
import socket
import time
from dataclasses import dataclass, field

CONNECT_TIMEOUT_SECONDS = 10.0
RECEIVE_BYTES = 256 * 1024
SELECT_SECONDS = 0.5
EVENT_MARK = b'data: {'
COMPLETE_END = b'data: [DONE]\n\n\r\n0\r\n\r\n'
TOKEN_PATTERN = re.compile(rb'"(?:content|text)": ?"(\d+) "')


@dataclass(frozen=True)
class StreamTarget:
    """Name where a stream is asked for."""

    port: int
    path: str
    headers: dict[str, str]
    body: dict[str, object]

    def request_bytes(self) -> bytes:
        """Return the HTTP request."""
        body = json.dumps(self.body).encode()
        fields = {
            'Host': 'localhost',
            'Content-Type': 'application/json',
            'Content-Length': str(len(body)),
            **self.headers,
        }
        lines = [f'{name}: {text}' for name, text in fields.items()]
        head = '\r\n'.join([f'POST {self.path} HTTP/1.1', *lines])
        return f'{head}\r\n\r\n'.encode() + body


@dataclass(eq=False)
class ReadStream:
    """Hold what has arrived of one stream."""

    sock: socket.socket
    received: bytearray = field(default_factory=bytearray)
    arrivals_seconds: list[float] = field(default_factory=list)
    scanned_bytes: int = 0

    def take(self, part: bytes, now: float) -> None:
        """Add received bytes and note the events that they complete."""
        self.received += part
        found = self.received.find(EVENT_MARK, self.scanned_bytes)
        while found >= 0:
            self.arrivals_seconds.append(now)
            self.scanned_bytes = found + len(EVENT_MARK)
            found = self.received.find(EVENT_MARK, self.scanned_bytes)

    def complete(self, length: int) -> bool:
        """Tell whether all tokens arrived once, in order, with the end."""
        indexes = [int(text) for text in TOKEN_PATTERN.findall(self.received)]
        ended = self.received.endswith(COMPLETE_END)
        return ended and indexes == list(range(length))


def read_streams(
    targets: list[StreamTarget], limit_seconds: float
) -> list[ReadStream]:
    """Open all streams and read them to their ends or to the limit."""
    selector = selectors.DefaultSelector()
    streams = []
    for target in targets:
        sock = socket.create_connection(
            ('127.0.0.1', target.port), CONNECT_TIMEOUT_SECONDS
        )
        sock.sendall(target.request_bytes())
        sock.setblocking(False)
        streams.append(ReadStream(sock))
        selector.register(sock, selectors.EVENT_READ, streams[-1])
    deadline = time.monotonic() + limit_seconds
    while selector.get_map() and time.monotonic() < deadline:
        for key, _ in selector.select(SELECT_SECONDS):
            _read(selector, key.data)
    for stream in streams:
        stream.sock.close()
    return streams


def _read(selector: selectors.BaseSelector, stream: ReadStream) -> None:
    try:
        part = stream.sock.recv(RECEIVE_BYTES)
    except BlockingIOError:
        return
    except OSError:
        part = b''
    if part:
        stream.take(part, time.monotonic())
    else:
        selector.unregister(stream.sock)
