"""Clients that keep their connections and retry as the platform's do."""

import contextlib
import http.client
import random
import select
import socket
import threading
from collections.abc import Mapping
from dataclasses import dataclass, replace

from wasabistream_tools.soak import sites
from wasabistream_tools.soak.operators import Operator
from wasabistream_tools.soak.processes import Daemon, EntryChoice
from wasabistream_tools.soak.records import (
    Attempt,
    Ending,
    Recorder,
    Stray,
    now,
)

CONNECT_TIMEOUT_SECONDS = 1.0
# Idle connections are used again up to this age, four fifths of the limit.
MAX_IDLE_SECONDS = 12.0
READ_BYTES = 65536
# Time for the reset that follows the end of a connection with unread bytes.
RESET_SECONDS = 0.02
RETRY_COUNT = 1
RETRY_AFTER_SHARE = 1 / 3
RETRY_PAUSE_SECONDS = 0.05
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
FINAL_STATUSES = frozenset((400, 401, 404, 413, 431))
MAX_CHUNK_COUNT = 4
MAX_BODY_SECONDS = 4.0
# As hexadecimal digits, so that records stay readable.
BODY_BYTES = 20
# Callers read on for this long after their deadline, so that they see what an
# entry makes of an answer which its server ends at the deadline.
READ_ON_SECONDS = 0.3
# Bodies of plain requests arrive within this share of their deadline.
PLAIN_BODY_SHARE = 0.3
# The rest of the requests on what configurations have changed requests carries a changing key.
CHANGING_ROUTE_RATIO = 0.5
# Share of the generations that crash their engine, while clients send any.
CRASHING_RATIO = 0.3
SHORT_DEADLINE_SECONDS = (3.0, 5.0)
DRAFT_TOKENS = (100, 900)
CHAT_TOKENS = 12


@dataclass(frozen=True)
class Traffic:
    """Describe how often clients send which requests."""

    name: str
    pause_seconds: tuple[float, float]
    # Of chats, drafts, lookups, reservations and requests on changing routes.
    weights: tuple[int, ...]
    # Share of the clients that send anything.
    client_ratio: float
    # Share of the bodies that come in chunks.
    chunked_ratio: float
    # Share of chats with a deadline as retries have it.
    short_deadline_ratio: float
    # Share of the requests on what configurations have changed.
    changing_ratio: float = 0.15


# Entries are often idle 2.5 s after SIGTERM, while bodies still arrive.
SPARSE = Traffic('sparse', (1.0, 6.0), (8, 0, 1, 1, 1), 0.5, 0.9, 0.7)
DENSE = Traffic('dense', (0.05, 1.5), (6, 1, 6, 6, 3), 1.0, 0.5, 0.3)
# Most streams have many events, which an engine that leaves is to stop.
STREAMING = Traffic('streaming', (0.05, 1.0), (3, 8, 2, 2, 1), 1.0, 0.3, 0.3)
# Shows which configuration an entry has in force at each moment.
PROBING = Traffic('probing', (0.05, 0.2), (0, 0, 1, 0, 4), 1.0, 0, 0, 1.0)


@dataclass(frozen=True)
class DrawnRequest:
    """Hold a request before it is sent."""

    kind: sites.RequestKind
    api_key: str
    body: bytes
    chunk_count: int
    body_seconds: float
    deadline_seconds: float
    output_tokens: int
    # Part of the prompt that only this request and its repeats have, if any.
    own_part: str = ''


class Connection:
    """Hold a connection to an entry that may serve many requests."""

    def __init__(self, entry: Daemon) -> None:
        self.entry = entry
        self.sock = socket.create_connection(
            (entry.address, sites.FRONT_PORT), CONNECT_TIMEOUT_SECONDS
        )
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.used_at_seconds = now()

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()

    def has_bytes_or_end(self, seconds: float = 0) -> bool:
        """Return whether the entry sends bytes or closes within a time."""
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        return bool(poll.poll(max(seconds, 0) * 1000))

    def name_end(self) -> Ending:
        """Return how the connection ended, by whether bytes were unread."""
        poll = select.poll()
        poll.register(self.sock, 0)
        if poll.poll(RESET_SECONDS * 1000) and self.sock.getsockopt(
            socket.SOL_SOCKET, socket.SO_ERROR
        ):
            return Ending.reset
        return Ending.closed


class Exchange:
    """Send one request on a connection and read its answer."""

    def __init__(
        self, connection: Connection, request: DrawnRequest, attempt_id: str
    ) -> None:
        self._connection = connection
        self._request = request
        self._id = attempt_id
        self._begun_at_seconds = now()
        self._sent_at_seconds: float | None = None
        self._deadline = self._begun_at_seconds + request.deadline_seconds
        self._content = bytearray()
        self._response = http.client.HTTPResponse(connection.sock)
        self.headers: Mapping[str, str] = {}
        self.keeps_open = False

    def run(self) -> Attempt:
        """Return what became of the request."""
        ending = self._find_ending()
        response = self._response
        names = {name.lower(): text for name, text in self.headers.items()}
        request = self._request
        return Attempt(
            attempt_id=self._id,
            entry=self._connection.entry.name,
            prefix=request.kind.prefix,
            api_key=request.api_key,
            body=request.body,
            may_run_again=request.kind.may_run_again,
            deadline_seconds=request.deadline_seconds,
            begun_at_seconds=self._begun_at_seconds,
            sent_at_seconds=self._sent_at_seconds,
            ended_at_seconds=now(),
            ending=ending,
            status=response.status if self.headers else 0,
            echoed_id=names.get('wasabistream-request-attempt-id', ''),
            seal=names.get('wasabistream-response-seal', ''),
            content=bytes(self._content),
        )

    def _find_ending(self) -> Ending:
        try:
            self._send()
            self._read()
        except TimeoutError:
            return Ending.given_up
        except (http.client.IncompleteRead, http.client.RemoteDisconnected):
            return self._connection.name_end()
        except (OSError, http.client.HTTPException):
            return Ending.reset
        self.keeps_open = not self._response.will_close
        return Ending.whole

    def _send(self) -> None:
        request = self._request
        sock = self._connection.sock
        sock.settimeout(request.deadline_seconds)
        head = self._build_head()
        if not request.chunk_count:
            sock.sendall(head + request.body)
            self._sent_at_seconds = now()
            return
        sock.sendall(head)
        size = -(-len(request.body) // request.chunk_count)
        for start in range(0, len(request.body), size):
            piece = request.body[start : start + size]
            pause_seconds = request.body_seconds / request.chunk_count
            left_seconds = self._deadline - now()
            if self._connection.has_bytes_or_end(
                min(pause_seconds, left_seconds)
            ):
                # An early answer, or the end of the connection.
                return
            if left_seconds < pause_seconds:
                raise TimeoutError
            sock.sendall(b'%x\r\n%s\r\n' % (len(piece), piece))
        sock.sendall(b'0\r\n\r\n')
        self._sent_at_seconds = now()

    def _read(self) -> None:
        self._limit_wait()
        self._response.begin()
        self.headers = dict(self._response.headers.items())
        while piece := self._response.read1(READ_BYTES):
            self._content += piece
            self._limit_wait()
        if self._response.length:
            raise http.client.IncompleteRead(b'')
        if self._sent_at_seconds is None:
            # The rest of the body is not sent, so the connection ends.
            self._response.will_close = True

    def _limit_wait(self) -> None:
        left_seconds = self._deadline + READ_ON_SECONDS - now()
        if left_seconds <= 0:
            raise TimeoutError
        self._connection.sock.settimeout(left_seconds)

    def _build_head(self) -> bytes:
        request = self._request
        headers = {
            'Host': sites.HOST,
            'Wasabistream-Request-Attempt-Id': self._id,
            'Wasabistream-Deadline-Remaining': str(
                round(request.deadline_seconds * 1000)
            ),
            'Authorization': f'Bearer {request.api_key}',
        }
        if request.kind.is_streaming:
            headers['Wasabistream-Model'] = 'm'
            headers['Wasabistream-Token-Usage'] = f'500,{request.output_tokens}'
            headers['Wasabistream-Prompt-Prefix'] = (
                f'5c1e07a2:350,{request.own_part or self._id}:150'
            )
        if request.chunk_count:
            headers['Transfer-Encoding'] = 'chunked'
        elif request.body:
            headers['Content-Length'] = str(len(request.body))
        method = 'POST' if request.body else 'GET'
        lines = [f'{name}: {text}\r\n' for name, text in headers.items()]
        start = f'{method} {request.kind.prefix}x HTTP/1.1\r\n'
        return f'{start}{"".join(lines)}\r\n'.encode()


class Client:
    """Send requests one after the other until the run stops."""

    def __init__(
        self,
        name: str,
        data_centre: str,
        traffic: Traffic,
        rotation: EntryChoice,
        operator: Operator,
        recorder: Recorder,
        seed: int,
    ) -> None:
        self._name = name
        self._data_centre = data_centre
        self._traffic = traffic
        self._rotation = rotation
        self._operator = operator
        self._recorder = recorder
        self._random = random.Random(f'{seed} {name}')
        self._connection: Connection | None = None
        self._attempt_count = 0

    def run(self, stopped: threading.Event) -> None:
        """Send requests until the run stops."""
        while not stopped.wait(
            self._random.uniform(*self._traffic.pause_seconds)
        ):
            self._send(self._draw())
        self._drop_connection()

    def _send(self, request: DrawnRequest) -> None:
        deadline = now() + request.deadline_seconds
        tried: set[str] = set()
        for _ in range(RETRY_COUNT + 1):
            left_seconds = deadline - now()
            if left_seconds <= 0:
                return
            pause_seconds = self._try_once(
                _limit_deadline(request, left_seconds), tried
            )
            if pause_seconds is None:
                return
            threading.Event().wait(pause_seconds)

    def _try_once(self, request: DrawnRequest, tried: set[str]) -> float | None:
        """Send a request once; return the pause before a retry, if any."""
        connection = self._open_connection(tried)
        if connection is None:
            return RETRY_PAUSE_SECONDS
        tried.add(connection.entry.name)
        self._attempt_count += 1
        exchange = Exchange(
            connection, request, f'{self._name}-{self._attempt_count}'
        )
        attempt = exchange.run()
        self._recorder.add(attempt)
        connection.used_at_seconds = now()
        if not exchange.keeps_open:
            self._drop_connection()
        if not _may_retry(attempt, request):
            return None
        # Each retry uses a new connection.
        self._drop_connection()
        return _retry_after_seconds(exchange.headers, request.deadline_seconds)

    def _open_connection(self, tried: set[str]) -> Connection | None:
        kept = self._connection
        if kept is not None and self._is_usable(kept):
            return kept
        self._drop_connection()
        entries = self._rotation.choose(self._data_centre)
        others = [entry for entry in entries if entry.name not in tried]
        entry = self._random.choice(others or entries)
        with contextlib.suppress(OSError):
            self._connection = Connection(entry)
        return self._connection

    def _is_usable(self, connection: Connection) -> bool:
        if now() - connection.used_at_seconds > MAX_IDLE_SECONDS:
            return False
        if not connection.has_bytes_or_end():
            return True
        with contextlib.suppress(OSError):
            head = connection.sock.recv(READ_BYTES, socket.MSG_DONTWAIT)
            if head:
                self._recorder.add(Stray(connection.entry.name, now(), head))
        return False

    def _drop_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _draw(self) -> DrawnRequest:
        draw = self._random
        kind = draw.choices(sites.BASE_KINDS, self._traffic.weights)[0]
        api_key = sites.BASE_KEY
        if draw.random() < self._traffic.changing_ratio:
            prefixes = self._operator.changing_prefixes()
            keys = self._operator.changing_keys()
            if prefixes and draw.random() < CHANGING_ROUTE_RATIO:
                kind = sites.build_added_kind(draw.choice(prefixes))
            elif keys:
                api_key = draw.choice(keys)
        deadline_seconds = kind.deadline_ms / 1000
        body_limit_seconds = deadline_seconds * PLAIN_BODY_SHARE
        if kind.is_streaming:
            body_limit_seconds = MAX_BODY_SECONDS
        is_short = draw.random() < self._traffic.short_deadline_ratio
        if kind is sites.CHAT and is_short:
            deadline_seconds = draw.uniform(*SHORT_DEADLINE_SECONDS)
        has_body = kind.is_streaming or kind is sites.RESERVATION
        is_chunked = has_body and draw.random() < self._traffic.chunked_ratio
        tokens = CHAT_TOKENS
        if kind is sites.DRAFT:
            tokens = draw.randint(*DRAFT_TOKENS)
        return DrawnRequest(
            kind=kind,
            api_key=api_key,
            body=draw.randbytes(BODY_BYTES).hex().encode() if has_body else b'',
            chunk_count=draw.randint(1, MAX_CHUNK_COUNT) if is_chunked else 0,
            body_seconds=draw.uniform(0, body_limit_seconds),
            deadline_seconds=deadline_seconds,
            output_tokens=tokens,
            own_part=self._draw_part(),
        )

    def _draw_part(self) -> str:
        part = self._operator.crashing_part
        if part and self._random.random() < CRASHING_RATIO:
            return part
        return ''


def _limit_deadline(request: DrawnRequest, left_seconds: float) -> DrawnRequest:
    limit = min(request.deadline_seconds, left_seconds)
    return replace(request, deadline_seconds=limit)


def _may_retry(attempt: Attempt, request: DrawnRequest) -> bool:
    if attempt.ending is Ending.whole:
        if attempt.status in NOT_RUN_STATUSES:
            return True
        if attempt.status in FINAL_STATUSES or attempt.is_served:
            return False
    if request.kind.route_kind == 'idempotent':
        return True
    return attempt.ending is Ending.reset and not attempt.status


def _retry_after_seconds(
    headers: Mapping[str, str], deadline_seconds: float
) -> float:
    names = {name.lower(): text for name, text in headers.items()}
    stated_seconds = float(names.get('retry-after', RETRY_PAUSE_SECONDS))
    return min(stated_seconds, deadline_seconds * RETRY_AFTER_SHARE)
