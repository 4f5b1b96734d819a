"""HTTP client of a plain service."""

import http.client
import logging
import socket
import time
import urllib.parse
from collections.abc import Callable
from functools import partial
from typing import Any

from wasabistream.headers import filter_response_headers
from wasabistream.limited_responses import (
    HEAD_LIMIT_BYTES,
    LimitedResponse,
    ResponseLimits,
)
from wasabistream.metrics import CALL_WINDOW_SECONDS
from wasabistream.requests import Call, ServiceAnswer
from wasabistream.run_endings.boot_clocks import read_boot_clock
from wasabistream.run_endings.own_ends import EndedAttempt, find_own_end
from wasabistream.run_endings.server_probes import outlives_answer

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_SECONDS = 1.0
DEFAULT_PORT = 80
# Largest answer body that fits into one frame with its other fields.
MAX_ANSWER_BYTES = 1024 * 1024
MIN_TIMEOUT_SECONDS = 0.001
LIMITED_RESPONSE = partial(
    LimitedResponse,
    limits=ResponseLimits(
        HEAD_LIMIT_BYTES + MAX_ANSWER_BYTES, has_deadline=True
    ),
)


class CallNotSentError(Exception):
    """Report a call of which nothing was sent to the service."""


class NoAnswerError(Exception):
    """Report a call that may have run but whose answer was not received."""


class ServiceClient:
    """Send each call once, over a new connection.

    The service may close a reused connection while a call is being sent,
    after which it is not known whether the call has run.
    """

    def __init__(self, url: str) -> None:
        parts = urllib.parse.urlsplit(url)
        self._host = parts.hostname or ''
        self._port = parts.port
        self._path = parts.path.rstrip('/')

    def send(
        self, call: Call, deadline: float, check: Callable[[], str]
    ) -> ServiceAnswer:
        """Connect, check that the call may run, send it and read the answer.

        Raises CallNotSentError if connecting fails, the deadline has passed
        or `check` returns a reason not to run, and NoAnswerError if a later
        step fails.
        """
        connection = http.client.HTTPConnection(
            self._host, self._port, timeout=CONNECT_TIMEOUT_SECONDS
        )
        connection.response_class = LIMITED_RESPONSE  # type: ignore[assignment]
        try:
            return self._exchange(connection, call, deadline, check)
        finally:
            connection.close()

    def _connect_once(self) -> None:
        address = (self._host, self._port or DEFAULT_PORT)
        socket.create_connection(address, CONNECT_TIMEOUT_SECONDS).close()

    def _exchange(
        self,
        connection: http.client.HTTPConnection,
        call: Call,
        deadline: float,
        check: Callable[[], str],
    ) -> ServiceAnswer:
        try:
            connection.connect()
        except OSError as error:
            logger.info('agent: service is down: %s', error)
            raise CallNotSentError('service_down') from error
        remaining_seconds = deadline - time.monotonic()
        connection.sock.settimeout(max(remaining_seconds, MIN_TIMEOUT_SECONDS))
        server_deadline_seconds = read_boot_clock() + remaining_seconds
        # Nothing that can block comes between this check and the send.
        checked_at_seconds = time.monotonic()
        reason = 'deadline' if checked_at_seconds >= deadline else check()
        if reason:
            raise CallNotSentError(reason)
        try:
            connection.request(
                call.method, self._path + call.path, call.body, call.headers
            )
            CALL_WINDOW_SECONDS.observe(time.monotonic() - checked_at_seconds)
            response: Any = connection.getresponse()
            ends_with_connection = response.ends_with_connection
            body = response.read_whole()
        except (OSError, http.client.HTTPException, ValueError) as error:
            logger.warning('agent: call has no answer: %s', error)
            raise NoAnswerError(str(error)) from error
        # The service gets the header with the caller's deadline.
        attempt = EndedAttempt(None, server_deadline_seconds)
        if ends_with_connection and find_own_end(attempt, read_boot_clock()):
            logger.warning('agent: answer of a call ends at its deadline')
            raise NoAnswerError('connection ended at the deadline')
        if ends_with_connection and not outlives_answer(
            self._connect_once, call.request_id
        ):
            raise NoAnswerError('service went down')
        headers = filter_response_headers(dict(response.getheaders()))
        return ServiceAnswer(call.request_id, response.status, headers, body)
