"""Clients that send one request and record its answer."""

import re
import socket
import threading
import time
from collections.abc import Mapping
from dataclasses import dataclass, field

from review.stand_ins.records import Record
from wasabistream_tools.soak import sites

READ_BYTES = 65536
LAST_CHUNK = b'0\r\n\r\n'
EVENT_ID = re.compile(rb'^id: (\d+)$', re.MULTILINE)


@dataclass
class Answer:
    """Hold what a client has received for one request."""

    attempt_id: str
    status: int = 0
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''
    # Whether the answer has the end that its framing promises.
    is_whole: bool = False
    error: str = ''

    @property
    def event_numbers(self) -> list[int]:
        """Return the ids of the events in their order."""
        return [int(number) for number in EVENT_ID.findall(self.body)]


def build_request(
    kind: sites.RequestKind,
    attempt_id: str,
    headers: Mapping[str, str],
    body: bytes = b'',
) -> bytes:
    """Return a request of a client."""
    fields = {
        'Host': sites.HOST,
        'Wasabistream-Request-Attempt-Id': attempt_id,
        'Wasabistream-Deadline-Remaining': str(kind.deadline_ms),
        'Authorization': f'Bearer {sites.BASE_KEY}',
        **headers,
    }
    if body:
        fields['Content-Length'] = str(len(body))
    method = 'POST' if body else 'GET'
    lines = [f'{name}: {text}\r\n' for name, text in fields.items()]
    start = f'{method} {kind.prefix}x HTTP/1.1\r\n'
    return f'{start}{"".join(lines)}\r\n'.encode() + body


def build_generation(
    kind: sites.RequestKind, attempt_id: str, event_count: int
) -> bytes:
    """Return a request for a stream of so many events."""
    headers = {
        'Wasabistream-Model': 'm',
        'Wasabistream-Token-Usage': f'500,{event_count * 4}',
        'Wasabistream-Prompt-Prefix': f'5c1e07a2:350,{attempt_id}:150',
    }
    return build_request(kind, attempt_id, headers, b'{"prompt": "p"}')


def exchange(
    address: str, raw: bytes, attempt_id: str, seconds: float, record: Record
) -> Answer:
    """Send a request on a new connection and read its whole answer."""
    answer = Answer(attempt_id)
    record.write('sent', id=attempt_id, to=address)
    try:
        with socket.create_connection((address, sites.FRONT_PORT), 1) as sock:
            sock.sendall(raw)
            _read(sock, answer, time.monotonic() + seconds)
    except OSError as error:
        answer.error = repr(error)
    record.write(
        'answered',
        id=attempt_id,
        status=answer.status,
        whole=answer.is_whole,
        bytes=len(answer.body),
        events=len(answer.event_numbers),
        error=answer.error,
    )
    return answer


def start_exchange(
    answers: list[Answer], *arguments: object
) -> threading.Thread:
    """Run an exchange on a thread, which adds its answer to a list."""

    def run() -> None:
        answers.append(exchange(*arguments))  # type: ignore[arg-type]

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    return thread


def _read(sock: socket.socket, answer: Answer, deadline: float) -> None:
    received = b''
    while b'\r\n\r\n' not in received:
        piece = _receive(sock, deadline)
        if not piece:
            answer.error = 'closed'
            return
        received += piece
    head, _, rest = received.partition(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    answer.status = int(lines[0].split(' ')[1])
    answer.headers = {
        name.lower(): text.strip()
        for name, _, text in (line.partition(':') for line in lines[1:])
    }
    if answer.headers.get('transfer-encoding', '').lower() == 'chunked':
        _read_chunks(sock, answer, rest, deadline)
        return
    length = int(answer.headers.get('content-length', 0))
    while len(rest) < length:
        piece = _receive(sock, deadline)
        if not piece:
            break
        rest += piece
    answer.body = rest
    answer.is_whole = len(rest) == length


def _read_chunks(
    sock: socket.socket, answer: Answer, rest: bytes, deadline: float
) -> None:
    while True:
        while True:
            line, end, after = rest.partition(b'\r\n')
            if not end:
                break
            size = int(line.partition(b';')[0], 16)
            if len(after) < size + 2:
                break
            answer.body += after[:size]
            rest = after[size + 2 :]
            if not size:
                answer.is_whole = True
                return
        piece = _receive(sock, deadline)
        if not piece:
            return
        rest += piece


def _receive(sock: socket.socket, deadline: float) -> bytes:
    sock.settimeout(max(deadline - time.monotonic(), 0.001))
    return sock.recv(READ_BYTES)
