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
class Reading:
    """Collect the events of one answer."""

    times: list[float] = field(default_factory=list)
    end: str = BROKEN
    reason: str = 'cut'
    outcome: str = ''
    status: int = 0


class LoadClient:
    """Send single requests and read their answers."""

    def __init__(self, workload: Workload) -> None:
        self._workload = workload
        self._lock = threading.Lock()
        self._sockets: set[socket.socket] = set()
        self._closed = False

    def close(self) -> None:
        """Cut all answers that are still being read."""
        with self._lock:
            self._closed = True
            for sock in self._sockets:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)

    def send(
        self, planned: PlannedRequest, url: str, started: float
    ) -> RequestSample:
        """Send a request and read its answer to the end."""
        sent = time.monotonic()
        reading = Reading()
        parts = urllib.parse.urlsplit(url)
        connection = http.client.HTTPConnection(
            parts.hostname or '', parts.port, timeout=120
        )
        try:
            self._exchange(connection, planned, reading)
        except (OSError, http.client.HTTPException) as error:
            reading.reason = type(error).__name__
        finally:
            connection.close()
        return _sample(planned, reading, started + planned.at_seconds, sent)

    def _exchange(
        self,
        connection: http.client.HTTPConnection,
        planned: PlannedRequest,
        reading: Reading,
    ) -> None:
        connection.connect()
        sock = connection.sock
        with self._lock:
            if self._closed:
                return
            self._sockets.add(sock)
        try:
            connection.request(*self._request(planned))
            response = connection.getresponse()
            _read(response, planned, reading)
        finally:
            with self._lock:
                self._sockets.discard(sock)

    def _request(
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


def _read(
    response: http.client.HTTPResponse,
    planned: PlannedRequest,
    reading: Reading,
) -> None:
    reading.status = response.status
    if response.status >= 400:
        _read_error(response.read(), reading)
        reading.end = REFUSED
        return
    if planned.kind.action != GENERATION:
        response.read()
        reading.times.append(time.monotonic())
        reading.end = COMPLETE
        return
    _read_events(response, reading)


def _read_events(response: http.client.HTTPResponse, reading: Reading) -> None:
    error_event = False
    for line in iter(response.readline, b''):
        if line.startswith(b'id: '):
            reading.times.append(time.monotonic())
        elif line.startswith(b'event: error'):
            error_event = True
        elif error_event and line.startswith(b'data: '):
            _read_error(line[len(b'data: ') :], reading)
            return
        elif line.startswith(b'data: [DONE]'):
            reading.end = COMPLETE
            return


def _read_error(body: bytes, reading: Reading) -> None:
    try:
        error = json.loads(body)['error']
    except (ValueError, KeyError, TypeError):
        reading.reason = 'unreadable'
        return
    reading.reason = str(error.get('code', ''))
    reading.outcome = str(error.get('outcome', ''))


def _sample(
    planned: PlannedRequest, reading: Reading, intended: float, sent: float
) -> RequestSample:
    times = reading.times
    complete = reading.end == COMPLETE
    return RequestSample(
        kind=planned.kind.name,
        work_class=planned.kind.work_class,
        organisation=planned.organisation.name,
        intended_seconds=planned.at_seconds,
        sent_late_seconds=sent - intended,
        first_token_seconds=times[0] - intended if times else -1,
        total_seconds=time.monotonic() - intended,
        gaps_seconds=tuple(
            later - earlier for earlier, later in zip(times, times[1:])
        ),
        token_count=len(times) if planned.kind.action == GENERATION else 0,
        expected_count=planned.length_tokens,
        end=reading.end,
        reason='' if complete else reading.reason,
        outcome=reading.outcome,
        status=reading.status,
    )
