"""Client of a plain service for calls that may not be repeated."""

import http.client
import logging
import time
import urllib.parse
from collections.abc import Callable

from wasabistream.headers import filter_response_headers
from wasabistream.metrics import CALL_WINDOW_SECONDS
from wasabistream.requests import Answer, Call

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_SECONDS = 1.0
# Largest answer that fits into one frame with the fields around it.
MAX_ANSWER_BYTES = 1024 * 1024
MIN_TIMEOUT_SECONDS = 0.001


class NotSentError(Exception):
    """Report a call of which no byte was sent."""


class NoAnswerError(Exception):
    """Report a call that may have run and has no answer."""


class ServiceClient:
    """Send each call once, over a connection of its own.

    A connection that is reused can be closed by the service while the call
    is sent, which leaves open whether the call ran.
    """

    def __init__(self, url: str) -> None:
        parts = urllib.parse.urlsplit(url)
        self._host = parts.hostname or ''
        self._port = parts.port
        self._path = parts.path.rstrip('/')

    def send(
        self, call: Call, deadline: float, check: Callable[[], str]
    ) -> Answer:
        """Connect, check, send and read the answer.

        Raises NotSentError when the check or the connect fails, and
        NoAnswerError afterwards.
        """
        connection = http.client.HTTPConnection(
            self._host, self._port, timeout=CONNECT_TIMEOUT_SECONDS
        )
        try:
            return self._exchange(connection, call, deadline, check)
        finally:
            connection.close()

    def _exchange(
        self,
        connection: http.client.HTTPConnection,
        call: Call,
        deadline: float,
        check: Callable[[], str],
    ) -> Answer:
        try:
            connection.connect()
        except OSError as error:
            logger.info('agent: service is down: %s', error)
            raise NotSentError('service_down') from error
        remaining_seconds = deadline - time.monotonic()
        connection.sock.settimeout(max(remaining_seconds, MIN_TIMEOUT_SECONDS))
        # Nothing that can wait stands between this check and the send.
        checked = time.monotonic()
        reason = 'deadline' if checked >= deadline else check()
        if reason:
            raise NotSentError(reason)
        try:
            connection.request(
                call.method, self._path + call.path, call.body, call.headers
            )
            CALL_WINDOW_SECONDS.observe(time.monotonic() - checked)
            response = connection.getresponse()
            body = response.read(MAX_ANSWER_BYTES + 1)
        except (OSError, http.client.HTTPException, ValueError) as error:
            logger.warning('agent: call has no answer: %s', error)
            raise NoAnswerError(str(error)) from error
        headers = filter_response_headers(dict(response.getheaders()))
        return Answer(call.request_id, response.status, headers, body)
