"""HTTP client of the load generator."""

import contextlib
import http.client
import json
import socket
import threading
import time
import urllib.parse
from dataclasses import dataclass, field

from wasabistream.idempotency_keys import make_key
from wasabistream_tools.request_samples import (
    BROKEN,
    COMPLETE,
    REFUSED,
    RequestSample,
)
from wasabistream_tools.schedules import PlannedRequest
from wasabistream_tools.workloads import GENERATION, LOOKUP, Workload


@dataclass
class ReceivedAnswer:
    """Hold what has arrived of one answer."""

    # Monotonic time of each token, or of the whole answer of a plain service.
    arrivals_seconds: list[float] = field(default_factory=list)
    end: str = BROKEN
    reason: str = 'cut'
    outcome: str = ''
    status: int = 0


class LoadClient:
    """Send requests, each over its own connection, and read the answers."""

    def __init__(self, workload: Workload) -> None:
        self._workload = workload
        self._lock = threading.Lock()
        self._sockets: set[socket.socket] = set()
        self._closed = False

    def close(self) -> None:
        """Shut down all connections, so that reads in progress end."""
        with self._lock:
            self._closed = True
            for sock in self._sockets:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)

    def send(
        self, planned: PlannedRequest, url: str, run_start_seconds: float
    ) -> RequestSample:
        """Send a request and read its answer; return what was observed."""
        sent_at_seconds = time.monotonic()
        answer = ReceivedAnswer()
        url_parts = urllib.parse.urlsplit(url)
        connection = http.client.HTTPConnection(
            url_parts.hostname or '', url_parts.port, timeout=120
        )
        try:
            self._send_and_read(connection, planned, answer)
        except (OSError, http.client.HTTPException) as error:
            answer.reason = type(error).__name__
        finally:
            connection.close()
        return _build_sample(
            planned,
            answer,
            run_start_seconds + planned.at_seconds,
            sent_at_seconds,
        )

    def _send_and_read(
        self,
        connection: http.client.HTTPConnection,
        planned: PlannedRequest,
        answer: ReceivedAnswer,
    ) -> None:
        connection.connect()
        sock = connection.sock
        with self._lock:
            if self._closed:
                return
            self._sockets.add(sock)
        try:
            connection.request(*self._encode_request(planned))
            response = connection.getresponse()
            _read_answer(response, planned, answer)
        finally:
            with self._lock:
                self._sockets.discard(sock)

    def _encode_request(
        self, planned: PlannedRequest
    ) -> tuple[str, str, bytes, dict[str, str]]:
        headers = {
            'Authorization': f'Bearer {planned.organisation.credential}',
            'Content-Type': 'application/json',
        }
        kind = planned.kind
        if kind.action == GENERATION:
            headers['Wasabi-Class'] = kind.work_class
            headers['Wasabi-Deadline-Seconds'] = str(kind.deadline_seconds)
            body = {
                'model': self._workload.model,
                'prompt': planned.prompt,
                'stream': True,
            }
            return 'POST', '/v1/completions', json.dumps(body).encode(), headers
        path = f'/services/{self._workload.service}'
        if kind.action == LOOKUP:
            return 'GET', f'{path}/status/{planned.number}', b'', headers
        headers['Idempotency-Key'] = make_key(time.time())
        return 'POST', f'{path}/bookings', planned.key.encode(), headers


def _read_answer(
    response: http.client.HTTPResponse,
    planned: PlannedRequest,
    answer: ReceivedAnswer,
) -> None:
    answer.status = response.status
    if response.status >= 400:
        _read_error(response.read(), answer)
        answer.end = REFUSED
        return
    if planned.kind.action != GENERATION:
        response.read()
        answer.arrivals_seconds.append(time.monotonic())
        answer.end = COMPLETE
        return
    _read_events(response, answer)


def _read_events(
    response: http.client.HTTPResponse, answer: ReceivedAnswer
) -> None:
    is_error_event = False
    for line in iter(response.readline, b''):
        if line.startswith(b'id: '):
            answer.arrivals_seconds.append(time.monotonic())
        elif line.startswith(b'event: error'):
            is_error_event = True
        elif is_error_event and line.startswith(b'data: '):
            _read_error(line[len(b'data: ') :], answer)
            return
        elif line.startswith(b'data: [DONE]'):
            answer.end = COMPLETE
            return


def _read_error(body: bytes, answer: ReceivedAnswer) -> None:
    try:
        error = json.loads(body)['error']
    except (ValueError, KeyError, TypeError):
        answer.reason = 'unreadable'
        return
    answer.reason = str(error.get('code', ''))
    answer.outcome = str(error.get('outcome', ''))


def _build_sample(
    planned: PlannedRequest,
    answer: ReceivedAnswer,
    due_at_seconds: float,
    sent_at_seconds: float,
) -> RequestSample:
    arrivals_seconds = answer.arrivals_seconds
    complete = answer.end == COMPLETE
    return RequestSample(
        kind=planned.kind.name,
        work_class=planned.kind.work_class,
        organisation=planned.organisation.name,
        scheduled_seconds=planned.at_seconds,
        send_delay_seconds=sent_at_seconds - due_at_seconds,
        first_token_seconds=arrivals_seconds[0] - due_at_seconds
        if arrivals_seconds
        else -1,
        total_seconds=time.monotonic() - due_at_seconds,
        token_gaps_seconds=tuple(
            later - earlier
            for earlier, later in zip(arrivals_seconds, arrivals_seconds[1:])
        ),
        token_count=len(arrivals_seconds)
        if planned.kind.action == GENERATION
        else 0,
        expected_token_count=planned.length_tokens,
        end=answer.end,
        reason='' if complete else answer.reason,
        outcome=answer.outcome,
        status=answer.status,
    )
