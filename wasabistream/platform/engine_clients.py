"""HTTP client for the engine beside an agent."""

import json
import logging
from dataclasses import dataclass, replace
from typing import Any

from wasabistream.exceptions import BackendError, BackendTimeoutError
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.endpoints import Endpoint
from wasabistream.forwarding.engine_states import EngineRun, EngineState
from wasabistream.forwarding.move_outcomes import MoveOutcome
from wasabistream.forwarding.server_advisories import ServerAdvisory
from wasabistream.limited_pools import LimitedPool
from wasabistream.limited_responses import ResponseLimits
from wasabistream.platform.advisory_decoders import decode_advisory
from wasabistream.platform.decode_errors import (
    CALL_ERRORS,
    DECODE_ERRORS,
    TIMEOUT_ERRORS,
    decode_count,
)
from wasabistream.platform.server_clients import SOCKET_OPTIONS
from wasabistream.units import MILLISECONDS_PER_SECOND

logger = logging.getLogger(__name__)

REPORT_TIMEOUT_SECONDS = 0.4
# A copy waits for others on the network link; after this time the backend
# server has left anyway.
MOVE_TIMEOUT_SECONDS = 5.0
KEPT_CONNECTION_COUNT = 4
# A report lists a hundred bytes for each generation in progress.
ANSWER_LIMIT_BYTES = 1024 * 1024
OK_STATUS = 200
TARGET_FULL_STATUS = 503
CONFLICT_STATUS = 409


@dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    body: Any
    advisory: ServerAdvisory


class EngineClient:
    """Read the state of an engine and have it copy memory."""

    def __init__(
        self, endpoint: Endpoint, *, keeps_connections: bool = True
    ) -> None:
        self._peer = str(endpoint)
        self._state_pool = _build_pool(endpoint, reuses=keeps_connections)
        # A late copy of a report on a kept connection could pass for the
        # answer to an order.
        self._order_pool = _build_pool(endpoint, reuses=False)

    def state(self) -> EngineState:
        """Return the engine's state; raises BackendError."""
        answer = self._call(
            self._state_pool, 'GET', '/-/report', None, REPORT_TIMEOUT_SECONDS
        )
        if answer.status != OK_STATUS:
            raise BackendError(f'status {answer.status}', 'state', self._peer)
        state = decode_state(answer.body, self._peer)
        return replace(
            state,
            advisory=answer.advisory,
            leaving=state.leaving or answer.advisory.is_leaving,
        )

    def copy_run(
        self, run_id: str, target_endpoint: str, *, final: bool
    ) -> MoveOutcome:
        """Copy the memory of a generation to another backend server.

        With `final` the engine stops the generation first. Raises
        BackendError.
        """
        body: dict[str, object] = {'id': run_id, 'to': target_endpoint}
        if final:
            body['last'] = True
        answer = self._call(
            self._order_pool, 'POST', '/-/kv-move', body, MOVE_TIMEOUT_SECONDS
        )
        fields = answer.body if isinstance(answer.body, dict) else {}
        handle = str(fields.get('handle') or '')
        return MoveOutcome(
            # Without a handle the copy cannot be used.
            copied=answer.status == OK_STATUS and handle != '',
            handle=handle,
            target_full=answer.status == TARGET_FULL_STATUS,
            status=answer.status,
            in_conflict=answer.status == CONFLICT_STATUS,
        )

    def _call(
        self,
        pool: LimitedPool,
        method: str,
        path: str,
        body: object,
        timeout_seconds: float,
    ) -> _Answer:
        headers = {}
        if body is not None:
            headers['Content-Type'] = 'application/json'
        try:
            response = pool.request(
                method,
                path,
                body=None if body is None else json.dumps(body).encode(),
                headers=headers,
                timeout=timeout_seconds,
            )
            decoded = json.loads(response.data) if response.data else None
        except TIMEOUT_ERRORS as error:
            raise BackendTimeoutError(str(error), path, self._peer) from error
        except CALL_ERRORS as error:
            raise BackendError(str(error), path, self._peer) from error
        headers = {
            name.lower(): text for name, text in response.headers.items()
        }
        return _Answer(
            response.status,
            decoded,
            decode_advisory(response.status, headers, self._peer),
        )


class EngineReportClient:
    """Read the states of engines at other machines."""

    def read(self, server: BackendServer) -> EngineState:
        """Return the state of an engine; raises BackendError."""
        endpoint = Endpoint(server.address, server.port)
        return EngineClient(endpoint, keeps_connections=False).state()


def _build_pool(endpoint: Endpoint, *, reuses: bool) -> LimitedPool:
    return LimitedPool(
        endpoint.address,
        endpoint.port,
        maxsize=KEPT_CONNECTION_COUNT,
        retries=False,
        socket_options=SOCKET_OPTIONS,
        limits=ResponseLimits(ANSWER_LIMIT_BYTES, has_deadline=True),
        reuses=reuses,
    )


def decode_state(body: Any, peer: str) -> EngineState:
    """Decode the state from a report; raises BackendError."""
    try:
        leaves_ms = body.get('leaves_ms')
        draining = body.get('state') == 'draining'
        return EngineState(
            running_count=decode_count(body['running']),
            waiting_count=decode_count(body['waiting']),
            memory_used_tokens=decode_count(body['kv_used']),
            memory_capacity_tokens=decode_count(body['kv_total']),
            leaving=draining or leaves_ms is not None,
            leaves_seconds=(
                None
                if leaves_ms is None
                else float(leaves_ms) / MILLISECONDS_PER_SECOND
            ),
            runs=tuple(_decode_run(row) for row in body.get('runs') or ()),
            started_unix_ms=_decode_start(body.get('born'), peer),
        )
    except DECODE_ERRORS as error:
        raise BackendError(repr(error), 'report', peer) from error


def _decode_start(start: Any, peer: str) -> int:
    # Without it the engine is trusted as one that states no start; the rest of
    # the report must still be read.
    try:
        return 0 if start is None else decode_count(start)
    except DECODE_ERRORS as error:
        logger.debug('engine: start of %s is malformed: %r', peer, error)
        return 0


def _decode_run(row: list) -> EngineRun:
    run_id, memory_tokens, event_count, priority = row[:4]
    return EngineRun(
        run_id=str(run_id),
        memory_tokens=decode_count(memory_tokens),
        event_count=decode_count(event_count),
        priority=int(priority),
    )
