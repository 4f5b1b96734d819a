"""Stand-ins for engines and plain services, which record their runs."""

import json
import math
import random
import select
import socket
import threading
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import partial
from typing import Any, BinaryIO

from wasabistream_tools.soak.records import Recorder, Run, RunEnding, now

MAX_LINE_BYTES = 65536
LISTEN_BACKLOG_COUNT = 512
STATUS_OK = 200
TOKENS_PER_EVENT = 4
EVENT_SECONDS = 0.04
PLAIN_SECONDS = 0.02
PLAIN_BYTES = 800
# The second half of a plain answer comes late in this share of runs, around the
# deadline of 1 s.
SLOW_PLAIN_RATIO = 0.05
SLOW_PLAIN_SECONDS = (0.7, 1.2)
# A first event takes longer in this share of generations.
SLOW_START_RATIO = 0.2
FAST_START_SECONDS = (0.1, 1.5)
SLOW_START_SECONDS = (1.5, 8.0)
COPY_SECONDS = (0.05, 0.4)
MEMORY_TOKENS = 34267
RUN_TOKENS = 500
SLOT_COUNT = 24
ATTEMPT_ID = 'wasabistream-request-attempt-id'
DEADLINE_REMAINING = 'wasabistream-deadline-remaining'
PROMPT_PARTS = 'wasabistream-prompt-prefix'
# Parts of prompts with this text end the engine that begins to run them.
CRASHING_MARK = 'crash-'
# Answers to last orders in trouble; the run is stopped nevertheless.
ODD_STATUSES = (404, 409, 500)
LOST_ANSWER = 0
ODD_ORDER_RATIO = 0.6
EVENT_LIMIT_HEADER = 'wasabistream-token-usage'


@dataclass(frozen=True)
class ServedRequest:
    """Hold a request as a server has read it."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    read_at_seconds: float = field(default_factory=now)

    @property
    def deadline(self) -> float:
        """Return when the server has to stop, on the clock of the records."""
        remaining = self.headers.get(DEADLINE_REMAINING)
        if remaining is None:
            return math.inf
        return self.read_at_seconds + int(remaining) / 1000

    @property
    def attempt_id(self) -> str:
        """Return the client's id of the request."""
        return self.headers.get(ATTEMPT_ID, '')

    @property
    def prefix(self) -> str:
        """Return the prefix of the route, the first part of the path."""
        return '/{}/'.format(self.target.split('/')[1])


@dataclass
class ActiveRun:
    """Hold a run in progress."""

    request: ServedRequest
    sock: socket.socket
    event_count: int = 0
    is_moved: bool = False
    has_timed_out: bool = False

    @property
    def ending(self) -> RunEnding:
        """Return how the run ended, if it is not done."""
        if self.is_moved:
            return RunEnding.moved
        if self.has_timed_out:
            return RunEnding.timed_out
        return RunEnding.caller_left

    def wait(self, seconds: float) -> bool:
        """Wait; return False once the caller has left or the time is up."""
        left_seconds = self.request.deadline - now()
        if not wait_for_caller(self.sock, max(min(seconds, left_seconds), 0)):
            return False
        self.has_timed_out = left_seconds <= seconds
        return not self.has_timed_out


@dataclass
class MovedMemory:
    """Hold the memory of moved runs, by handle, for all engines of a run."""

    event_counts: dict[str, int] = field(default_factory=dict)
    handle_count: int = 0

    def add(self, event_count: int) -> str:
        """Return the handle of the memory of a run."""
        self.handle_count += 1
        handle = f'h{self.handle_count}'
        self.event_counts[handle] = event_count
        return handle


class StandInServer:
    """Answer requests, one a connection, and record each run."""

    def __init__(
        self,
        server_id: str,
        service: str,
        data_centre: str,
        address: str,
        recorder: Recorder,
        port: int = 0,
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.data_centre = data_centre
        self.is_draining = False
        self.is_stopped = False
        self.active: dict[str, ActiveRun] = {}
        self._recorder = recorder
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self._sockets: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._listener = socket.create_server(
            (address, port), backlog=LISTEN_BACKLOG_COUNT
        )
        self.endpoint = f'{address}:{self._listener.getsockname()[1]}'
        threading.Thread(target=self._accept, daemon=True).start()

    def build_item(self) -> dict[str, Any]:
        """Return the server's entry in the store."""
        self._sequence += 1
        return {
            'service': self.service,
            'address': self.endpoint,
            'zone': self.data_centre,
            'version': 'v1',
            'slots': SLOT_COUNT,
            'state': 'draining' if self.is_draining else 'ready',
            'cold_remaining_ms': 0,
            'sequence': self._sequence,
            'born': self._born_ms,
        }

    def stop(self) -> None:
        """End with all connections, as a process that exits."""
        self.is_stopped = True
        with self._lock:
            sockets = [self._listener, *self._sockets]
        for sock in sockets:
            shut_down(sock)
        self._listener.close()

    def has_connections(self) -> bool:
        """Return whether a request may be in progress."""
        return bool(self._sockets)

    def answer(self, sock: socket.socket, request: ServedRequest) -> None:
        """Answer a request other than one of the server's own calls."""
        raise NotImplementedError

    def answer_call(self, request: ServedRequest) -> tuple[int, Any] | None:
        """Answer a call of the server's own interface; None if it is none."""
        if request.target == '/health':
            return STATUS_OK, {}
        return None

    def record_run(
        self,
        run: ActiveRun,
        begun_at_seconds: float,
        ending: RunEnding,
        content: bytes,
        *,
        is_continued: bool = False,
    ) -> None:
        """Record a run that has ended."""
        request = run.request
        if ending is RunEnding.caller_left and self.is_stopped:
            ending = RunEnding.broken_off
        self._recorder.add(
            Run(
                attempt_id=request.attempt_id,
                server_id=self.server_id,
                service=self.service,
                begun_at_seconds=begun_at_seconds,
                ended_at_seconds=now(),
                ending=ending,
                prefix=request.prefix,
                tenant=request.headers.get('wasabistream-tenant', ''),
                body=request.body,
                status=STATUS_OK,
                seal=self.seal(request),
                content=content,
                is_continued=is_continued,
            )
        )

    def build_head(self, status: int, headers: Mapping[str, str]) -> bytes:
        """Return the head of an answer."""
        every = {
            'Wasabistream-Replica-Id': self.server_id,
            'Connection': 'close',
            **headers,
        }
        if self.is_draining:
            every['Server-Leaving'] = '1'
        lines = [f'{name}: {text}\r\n' for name, text in every.items()]
        return f'HTTP/1.1 {status} Status\r\n{"".join(lines)}\r\n'.encode()

    def seal(self, request: ServedRequest) -> str:
        """Return the seal of the server's answer to a request."""
        return f'{self.server_id}.{request.attempt_id}'

    def _accept(self) -> None:
        while not self.is_stopped:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            with self._lock:
                self._sockets.add(sock)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            with sock.makefile('rb') as stream:
                request = read_request(stream)
            if request is not None:
                self._dispatch(sock, request)
        except (OSError, ValueError):
            # The caller or this server has closed the connection.
            return
        finally:
            self._close(sock)

    def _close(self, sock: socket.socket) -> None:
        with self._lock:
            self._sockets.discard(sock)
        shut_down(sock)
        sock.close()

    def _dispatch(self, sock: socket.socket, request: ServedRequest) -> None:
        expected = request.headers.get('wasabistream-expect-replica')
        if expected not in {None, self.server_id}:
            sock.sendall(self.build_head(421, {'Content-Length': '0'}))
            return
        outcome = self.answer_call(request)
        if outcome is None:
            self.answer(sock, request)
            return
        status, fields = outcome
        raw = json.dumps(fields).encode()
        headers = {
            'Content-Type': 'application/json',
            'Content-Length': str(len(raw)),
        }
        sock.sendall(self.build_head(status, headers) + raw)


class PlainServer(StandInServer):
    """Answer in two halves with a body of fixed length.

    Answers that are not framed have no length and end with their connection.
    """

    def __init__(
        self, *args: Any, seed: int, is_framed: bool = True, **options: Any
    ) -> None:
        self.is_framed = is_framed
        self._seed = seed
        # While true, the server ends within its next answer.
        self.crashes = False
        super().__init__(*args, **options)

    def answer(self, sock: socket.socket, request: ServedRequest) -> None:
        """Run a request and answer it."""
        begun_at_seconds = now()
        run = ActiveRun(request, sock)
        is_done = False
        content = request.attempt_id.encode().ljust(PLAIN_BYTES, b'.')
        try:
            is_done = self._send_content(run, content)
        finally:
            self.record_run(
                run,
                begun_at_seconds,
                RunEnding.done if is_done else run.ending,
                content,
            )

    def _send_content(self, run: ActiveRun, content: bytes) -> bool:
        request = run.request
        if not run.wait(PLAIN_SECONDS):
            return False
        headers = {
            'Wasabistream-Request-Attempt-Id': request.attempt_id,
            'Wasabistream-Response-Seal': self.seal(request),
        }
        if self.is_framed:
            headers['Content-Length'] = str(len(content))
        middle = len(content) // 2
        run.sock.sendall(self.build_head(STATUS_OK, headers) + content[:middle])
        if self.crashes:
            self.stop()
            return False
        draw = random.Random(f'{self._seed} {request.attempt_id}')
        pause_seconds = 0.0
        if draw.random() < SLOW_PLAIN_RATIO:
            pause_seconds = draw.uniform(*SLOW_PLAIN_SECONDS)
        if not run.wait(pause_seconds):
            return False
        run.sock.sendall(content[middle:])
        return True


class EngineServer(StandInServer):
    """Answer with streams of events; report the load and move runs.

    Streams that are not framed have neither a length nor chunks and end with
    their connection.
    """

    slow_start_ratio = SLOW_START_RATIO
    fast_start_seconds = FAST_START_SECONDS

    def __init__(
        self,
        *args: Any,
        moved_memory: MovedMemory,
        seed: int,
        is_framed: bool = True,
        **options: Any,
    ) -> None:
        self._moved_memory = moved_memory
        self._seed = seed
        self._is_framed = is_framed
        self.is_crashed = False
        # Set by each order to move a run.
        self.has_order = threading.Event()
        # While true, some last orders are answered oddly or not at all.
        self.has_odd_orders = False
        super().__init__(*args, **options)

    def answer(self, sock: socket.socket, request: ServedRequest) -> None:
        """Run a generation, or go on with one that was moved here."""
        begun_at_seconds = now()
        events = build_events(request)
        run = ActiveRun(request, sock)
        source = request.headers.get('kv-from')
        if source is not None:
            handle = source.rpartition('/')[2]
            if self._moved_memory.event_counts.pop(handle, None) is None:
                self._refuse(sock)
                return
            run.event_count = int(request.headers.get('last-event-id') or 0)
        self.active[request.attempt_id] = run
        if CRASHING_MARK in request.headers.get(PROMPT_PARTS, ''):
            self.is_crashed = True
            self.stop()
        is_done = False
        try:
            is_done = self._send_events(run, events)
        finally:
            self.active.pop(request.attempt_id, None)
            self.record_run(
                run,
                begun_at_seconds,
                RunEnding.done if is_done else run.ending,
                b''.join(events),
                is_continued=source is not None,
            )

    def answer_call(self, request: ServedRequest) -> tuple[int, Any] | None:
        """Answer a report or a move."""
        if request.target == '/-/report':
            return STATUS_OK, self._build_report()
        if request.target == '/-/kv-move':
            return self._move(json.loads(request.body))
        if request.target.startswith('/-/'):
            return 404, {}
        return super().answer_call(request)

    def _send_events(self, run: ActiveRun, events: list[bytes]) -> bool:
        request = run.request
        random_source = random.Random(f'{self._seed} {request.attempt_id}')
        slow = random_source.random() < self.slow_start_ratio
        start = SLOW_START_SECONDS if slow else self.fast_start_seconds
        pause_seconds = random_source.uniform(*start)
        if run.event_count:
            pause_seconds = EVENT_SECONDS
        if not run.wait(pause_seconds) or run.is_moved:
            return False
        headers = {
            'Wasabistream-Request-Attempt-Id': request.attempt_id,
            'Wasabistream-Response-Seal': self.seal(request),
            'Content-Type': 'text/event-stream',
        }
        if self._is_framed:
            headers['Transfer-Encoding'] = 'chunked'
        run.sock.sendall(self.build_head(STATUS_OK, headers))
        for piece in events[run.event_count :]:
            run.sock.sendall(self._frame(piece))
            run.event_count += 1
            if not run.wait(EVENT_SECONDS) or run.is_moved:
                return False
        if self._is_framed:
            run.sock.sendall(self._frame(b''))
        return True

    def _frame(self, piece: bytes) -> bytes:
        if self._is_framed:
            return b'%x\r\n%s\r\n' % (len(piece), piece)
        return piece

    def _refuse(self, sock: socket.socket) -> None:
        headers = {'Wasabistream-Not-Executed': '1', 'Content-Length': '0'}
        sock.sendall(self.build_head(503, headers))

    def _build_report(self) -> dict[str, Any]:
        runs = list(self.active.values())
        return {
            'born': self._born_ms,
            'stage': 'both',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False,
            'sequence': 1,
            'waiting': 0,
            'running': len(runs),
            'kv_used': min(len(runs) * RUN_TOKENS, MEMORY_TOKENS),
            'kv_total': MEMORY_TOKENS,
            'handles': 0,
            'state': 'draining' if self.is_draining else 'ready',
            'runs': [
                [run.request.attempt_id, RUN_TOKENS, run.event_count, 1]
                for run in runs
            ],
        }

    def _move(self, order: Mapping[str, Any]) -> tuple[int, Any]:
        run = self.active.get(order['id'])
        if run is None:
            return 404, {}
        self.has_order.set()
        status = STATUS_OK
        if order.get('last'):
            status = self._draw_order_status(run)
            run.is_moved = True
            # The stream ends without its end.
            shut_down(run.sock)
        time.sleep(random.Random(order['id']).uniform(*COPY_SECONDS))
        if status == LOST_ANSWER:
            raise ConnectionAbortedError
        if status != STATUS_OK:
            return status, {}
        handle = self._moved_memory.add(run.event_count)
        return STATUS_OK, {'handle': handle, 'create_rev': run.event_count}

    def _draw_order_status(self, run: ActiveRun) -> int:
        draw = random.Random(f'{self._seed} order {run.request.attempt_id}')
        if self.has_odd_orders and draw.random() < ODD_ORDER_RATIO:
            return draw.choice((LOST_ANSWER, *ODD_STATUSES))
        return STATUS_OK


def build_events(request: ServedRequest) -> list[bytes]:
    """Return the events of a generation, the same at every engine."""
    usage = request.headers.get(EVENT_LIMIT_HEADER, '0,4')
    count = int(usage.split(',')[1]) // TOKENS_PER_EVENT
    return [
        b'id: %d\ndata: %s %d\n\n'
        % (number, request.attempt_id.encode(), number)
        for number in range(1, count + 1)
    ]


def read_request(stream: BinaryIO) -> ServedRequest | None:
    """Return the next request, or None if it does not arrive whole."""
    method, target, _ = stream.readline(MAX_LINE_BYTES).decode().split(' ', 2)
    headers = {}
    for line in iter(partial(stream.readline, MAX_LINE_BYTES), b'\r\n'):
        if not line.endswith(b'\r\n'):
            return None
        name, _, text = line.decode('latin-1').partition(':')
        headers[name.strip().lower()] = text.strip()
    length = int(headers.get('content-length', 0))
    body = stream.read(length)
    if len(body) < length:
        return None
    return ServedRequest(method, target, headers, body)


def wait_for_caller(sock: socket.socket, seconds: float) -> bool:
    """Wait; return False as soon as the caller has closed the connection."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return not poll.poll(seconds * 1000)


def shut_down(sock: socket.socket) -> None:
    """End both directions of a connection, which wakes its threads."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # It has ended already.
        return
