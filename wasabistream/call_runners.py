"""Runner of calls to a plain service at its agent."""

import logging
import time
from concurrent.futures import ThreadPoolExecutor

from wasabistream.exceptions import LinkError
from wasabistream.keyed_calls import KeyedCallRunner
from wasabistream.links import Link
from wasabistream.messages import Message
from wasabistream.outcomes import Outcome
from wasabistream.requests import Call, Failed, Refused
from wasabistream.service_clients import (
    CallNotSentError,
    NoAnswerError,
    ServiceClient,
)

logger = logging.getLogger(__name__)

RETRY_AFTER_SECONDS = 0.5


class CallRunner:
    """Run the calls that arrive over all links against one plain service."""

    def __init__(
        self, url: str, concurrency_count: int, keyed_runner: KeyedCallRunner
    ) -> None:
        self._concurrency_count = concurrency_count
        self._pool = ThreadPoolExecutor(concurrency_count, 'call')
        self._client = ServiceClient(url)
        self._keyed_runner = keyed_runner
        self._in_progress: dict[str, Call] = {}
        # Those in progress and those whose replies are being queued. They no
        # longer count as load, as their entries may send the next call.
        self._unanswered: dict[str, Call] = {}

    def calls_in_progress(self) -> list[str]:
        """Return the request ids of calls that have not ended."""
        return list(self._in_progress)

    def unanswered_calls(self) -> list[str]:
        """Return the request ids of calls whose replies are not queued."""
        return list(self._unanswered)

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
        self._unanswered[call.request_id] = call
        self._in_progress[call.request_id] = call
        self._pool.submit(self._run, link, call, deadline)

    def _run(self, link: Link, call: Call, deadline: float) -> None:
        try:
            reply = self._run_and_free(call, deadline)
            _send(link, reply)
        finally:
            self._unanswered.pop(call.request_id, None)

    def _run_and_free(self, call: Call, deadline: float) -> Message:
        try:
            return self._run_call(call, deadline)
        finally:
            self._in_progress.pop(call.request_id, None)

    def _run_call(self, call: Call, deadline: float) -> Message:
        if not call.repeatable:
            return self._keyed_runner.run(call, deadline)
        if time.monotonic() >= deadline:
            return build_refusal(call, 'deadline')
        return self._send_to_service(call, deadline)

    def _send_to_service(self, call: Call, deadline: float) -> Message:
        try:
            return self._client.send(call, deadline, _allow)
        except CallNotSentError as error:
            return build_refusal(call, str(error))
        except NoAnswerError as error:
            logger.warning('agent: call failed: %s', error)
            return Failed(call.request_id, Outcome.unknown, 'service_failed')


def build_refusal(call: Call, reason: str) -> Refused:
    """Return the refusal of a call that has not run."""
    return Refused(
        call.request_id, Outcome.not_run, reason, RETRY_AFTER_SECONDS
    )


def _allow() -> str:
    # A repeatable call may always run.
    return ''


def _send(link: Link, reply: Message) -> None:
    try:
        link.send(reply)
    except LinkError as error:
        logger.info('agent: reply not sent: %s', error)
