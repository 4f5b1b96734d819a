"""Runner of calls to a plain service at its agent."""

import logging
import time
from concurrent.futures import ThreadPoolExecutor

import urllib3

from wasabistream.exceptions import LinkError
from wasabistream.headers import filter_response_headers
from wasabistream.keyed_calls import KeyedCallRunner
from wasabistream.links import Link
from wasabistream.messages import Message
from wasabistream.outcomes import Outcome
from wasabistream.requests import Call, Failed, Refused, ServiceAnswer

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_SECONDS = 1.0
RETRY_AFTER_SECONDS = 0.5


class CallRunner:
    """Run the calls that arrive over all links against one plain service."""

    def __init__(
        self, url: str, concurrency_count: int, keyed_runner: KeyedCallRunner
    ) -> None:
        self._url = url
        self._concurrency_count = concurrency_count
        self._pool = ThreadPoolExecutor(concurrency_count, 'call')
        self._http = urllib3.PoolManager(
            maxsize=concurrency_count, retries=False
        )
        self._keyed_runner = keyed_runner
        self._in_progress: dict[str, Call] = {}

    def calls_in_progress(self) -> list[str]:
        """Return the request ids of calls that have not ended."""
        return list(self._in_progress)

    def call(self, link: Link, call: Call, refusal: str = '') -> None:
        """Run a call in a worker thread, or refuse it.

        `refusal` is the reason why the agent takes no new work, or empty. A
        call with a recorded idempotency key gets its recorded answer even then.
        """
        if not refusal and len(self._in_progress) >= self._concurrency_count:
            refusal = 'busy'
        deadline = time.monotonic() + call.deadline_seconds
        if call.repeatable:
            if refusal:
                _send(link, build_refusal(call, refusal))
                return
            self._start(link, call, deadline)
            return
        if self._keyed_runner.admit(
            call, refusal, lambda reply: _send(link, reply)
        ):
            self._start(link, call, deadline)

    def stop(self) -> None:
        """Take no more calls; calls already taken still run to their end."""
        self._pool.shutdown(wait=False)

    def _start(self, link: Link, call: Call, deadline: float) -> None:
        self._in_progress[call.request_id] = call
        self._pool.submit(self._run, link, call, deadline)

    def _run(self, link: Link, call: Call, deadline: float) -> None:
        try:
            reply = self._run_call(call, deadline)
        finally:
            self._in_progress.pop(call.request_id, None)
        _send(link, reply)

    def _run_call(self, call: Call, deadline: float) -> Message:
        if not call.repeatable:
            return self._keyed_runner.run(call, deadline)
        if time.monotonic() >= deadline:
            return build_refusal(call, 'deadline')
        return self._send_to_service(call, deadline)

    def _send_to_service(self, call: Call, deadline: float) -> Message:
        remaining_seconds = max(deadline - time.monotonic(), 0.001)
        try:
            response = self._http.request(
                call.method,
                self._url + call.path,
                headers=call.headers,
                body=call.body,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_SECONDS, read=remaining_seconds
                ),
                redirect=False,
            )
        except urllib3.exceptions.NewConnectionError:
            return build_refusal(call, 'service_down')
        except urllib3.exceptions.HTTPError as error:
            logger.warning('agent: call failed: %s', error)
            return Failed(call.request_id, Outcome.unknown, 'service_failed')
        headers = filter_response_headers(response.headers)
        return ServiceAnswer(
            call.request_id, response.status, headers, response.data
        )


def build_refusal(call: Call, reason: str) -> Refused:
    """Return the refusal of a call that has not run."""
    return Refused(
        call.request_id, Outcome.not_run, reason, RETRY_AFTER_SECONDS
    )


def _send(link: Link, reply: Message) -> None:
    try:
        link.send(reply)
    except LinkError as error:
        logger.info('agent: reply not sent: %s', error)
