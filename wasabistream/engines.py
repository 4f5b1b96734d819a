"""Clients of model engines, by engine kind."""

import json
import logging
import math
import time
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

import urllib3

from wasabistream.exceptions import BackendError
from wasabistream.limited_pools import build_pool_manager
from wasabistream.limited_responses import ResponseLimits
from wasabistream.requests import Generate

logger = logging.getLogger(__name__)

SUCCESS_STATUSES = range(200, 300)
CONNECT_TIMEOUT_SECONDS = 1.0
CONTROL_TIMEOUT_SECONDS = 2.0
# Longest time without data on a stream before the engine counts as failed.
STREAM_READ_TIMEOUT_SECONDS = 30.0
STATE_LIMIT_BYTES = 4 * 1024 * 1024
# A stream of 100,000 tokens has some 20 MB.
STREAM_LIMIT_BYTES = 64 * 1024 * 1024
MAX_READ_BYTES = 64 * 1024
MAX_EVENT_BYTES = 256 * 1024
EVENT_PREFIX = b'data: '
DONE_EVENT = b'[DONE]'
# Errors of the connection and of events of an unexpected shape.
STREAM_ERRORS = (
    urllib3.exceptions.HTTPError,
    OSError,
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    RecursionError,
)
ENGINE_PRIORITIES = {'urgent': 0, 'normal': 1, 'patient': 2}


@dataclass(frozen=True)
class EngineToken:
    """Hold one event of an engine stream."""

    index: int
    text: str
    finish_reason: str = ''


@dataclass(frozen=True)
class EngineState:
    """Hold what an engine reports about itself."""

    memory_used_tokens: int
    memory_capacity_tokens: int
    running_count: int
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    boot_id: str
    prefixes: tuple[str, ...] = ()
    # Highest fencing token that the engine has seen, or 0 if not reported.
    fencing: int = 0
    # Version by model, as far as the engine reports it.
    versions: Mapping[str, str] = field(default_factory=dict)
    # Most generations that it starts in a second; None without a limit.
    max_requests_per_second: float | None = None


class EngineClient(Protocol):
    """Call one engine."""

    def generate(
        self, stream_id: str, request: Generate
    ) -> Iterator[EngineToken]:
        """Run a generation; raises BackendError."""

    def resume(self, stream_id: str, index: int) -> Iterator[EngineToken]:
        """Stream a running generation from an index; raises BackendError."""

    def cancel(self, stream_id: str) -> None:
        """Cancel a generation; raises BackendError."""

    def state(self) -> EngineState:
        """Read load, models and boot id; raises BackendError."""

    def send_order(self, fencing: int, order: dict[str, Any]) -> None:
        """Send an order to load a model or take a role; raises BackendError."""


_client_types: dict[str, Callable[[str], EngineClient]] = {}


def engine_kind(name: str) -> Callable[[type], type]:
    """Return a decorator that registers a client class for an engine kind."""

    def register(client_type: type) -> type:
        _client_types[name] = client_type
        return client_type

    return register


def make_engine_client(kind: str, url: str) -> EngineClient:
    """Build the client of an engine kind; raises KeyError if unknown."""
    return _client_types[kind](url)


@engine_kind('standard')
class StandardEngineClient:
    """Call the completions API over HTTP with server-sent events."""

    def __init__(self, url: str) -> None:
        self._url = url
        # A late answer on a kept connection could pass for that of an order.
        limits = ResponseLimits(STATE_LIMIT_BYTES, has_deadline=True)
        self._http = build_pool_manager(limits, reuses=False)
        self._stream_http = build_pool_manager(
            ResponseLimits(STREAM_LIMIT_BYTES), reuses=False
        )
        self._state_http = build_pool_manager(limits, reuses=True)

    def generate(
        self, stream_id: str, request: Generate
    ) -> Iterator[EngineToken]:
        """Run a generation; raises BackendError."""
        body = {
            'request_id': stream_id,
            'model': request.adapter or request.model,
            'prompt': request.prompt,
            'prompt_tokens': request.prompt_tokens,
            'max_tokens': request.max_tokens,
            'priority': ENGINE_PRIORITIES[request.work_class],
            'stream': True,
        }
        if request.options:
            body = {**json.loads(request.options), **body}
        return self._open_stream('POST', '/v1/completions', body)

    def resume(self, stream_id: str, index: int) -> Iterator[EngineToken]:
        """Stream a running generation from an index; raises BackendError."""
        return self._open_stream('GET', f'/v1/streams/{stream_id}?from={index}')

    def cancel(self, stream_id: str) -> None:
        """Cancel a generation; raises BackendError."""
        self._request_json('DELETE', f'/v1/streams/{stream_id}')

    def state(self) -> EngineState:
        """Read load, models and boot id; raises BackendError."""
        report = self._request_json('GET', '/state', pool=self._state_http)
        try:
            return EngineState(
                memory_used_tokens=report['memory_used_tokens'],
                memory_capacity_tokens=report['memory_capacity_tokens'],
                running_count=report['running'],
                models=tuple(report['models']),
                adapters=tuple(report['adapters']),
                role=report['role'],
                boot_id=report['boot_id'],
                prefixes=tuple(report.get('prefixes', ())),
                fencing=int(report.get('fencing', 0)),
                versions=dict(report.get('versions', {})),
                max_requests_per_second=_decode_rate(
                    report.get('max_requests_per_second'), self._url
                ),
            )
        except (KeyError, TypeError) as error:
            raise BackendError(
                f'malformed state: {error!r}', 'state', self._url
            ) from error

    def send_order(self, fencing: int, order: dict[str, Any]) -> None:
        """Send an order to load a model or take a role; raises BackendError."""
        self._request_json('POST', '/orders', {'fencing': fencing, **order})

    def _request_json(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        pool: urllib3.PoolManager | None = None,
    ) -> Any:
        try:
            response = (pool or self._http).request(
                method,
                self._url + path,
                json=body,
                timeout=CONTROL_TIMEOUT_SECONDS,
            )
            report = response.json()
        except (
            urllib3.exceptions.HTTPError,
            ValueError,
            RecursionError,
        ) as error:
            raise BackendError(str(error), path, self._url) from error
        if response.status not in SUCCESS_STATUSES:
            raise BackendError(f'status {response.status}', path, self._url)
        return report

    def _open_stream(
        self, method: str, path: str, body: dict[str, Any] | None = None
    ) -> Iterator[EngineToken]:
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_SECONDS, read=STREAM_READ_TIMEOUT_SECONDS
        )
        try:
            response = self._stream_http.request(
                method,
                self._url + path,
                json=body,
                timeout=timeout,
                preload_content=False,
            )
        except urllib3.exceptions.HTTPError as error:
            raise BackendError(str(error), 'open stream', self._url) from error
        if response.status != 200:
            response.close()
            raise BackendError(
                f'status {response.status}', 'open stream', self._url
            )
        return self._read_events(response)

    def _read_events(
        self, response: urllib3.BaseHTTPResponse
    ) -> Iterator[EngineToken]:
        last_event_seconds = time.monotonic()
        try:
            for line in _split_lines(response):
                if line.startswith(EVENT_PREFIX):
                    payload = line[len(EVENT_PREFIX) :]
                    if payload == DONE_EVENT:
                        return
                    yield _parse_event(payload)
                    last_event_seconds = time.monotonic()
                # Comments do not count, as a stalled engine may send them.
                elif _is_stalled(last_event_seconds):
                    raise TimeoutError('no event in time')
        except STREAM_ERRORS as error:
            raise BackendError(repr(error), 'read stream', self._url) from error
        finally:
            response.close()
        raise BackendError(
            'stream ended without [DONE]', 'read stream', self._url
        )


def _decode_rate(rate: Any, url: str) -> float | None:
    if rate is None:
        return None
    # An exact type, as bool is a subclass of int.
    if type(rate) in {int, float} and 0 <= rate < math.inf:
        return float(rate)
    logger.debug('engine: rate limit of %s cannot be read: %r', url, rate)
    return None


def _split_lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield whole lines, and b'' for each piece without one."""
    pending = bytearray()
    while piece := response.read1(MAX_READ_BYTES):
        pending += piece
        # Bytes that were searched before are not searched again.
        if b'\n' not in piece:
            if len(pending) > MAX_EVENT_BYTES:
                raise ValueError('event is too long')
            yield b''
            continue
        *complete, pending = pending.split(b'\n')
        for line in complete:
            yield bytes(line.rstrip(b'\r'))


def _is_stalled(last_event_seconds: float) -> bool:
    silent_seconds = time.monotonic() - last_event_seconds
    return silent_seconds > STREAM_READ_TIMEOUT_SECONDS


def _parse_event(payload: bytes) -> EngineToken:
    event = json.loads(payload)
    choice = event['choices'][0]
    return EngineToken(
        index=event['sequence'],
        text=choice['text'],
        finish_reason=choice.get('finish_reason') or '',
    )
