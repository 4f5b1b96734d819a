"""Forward requests whose answers are short."""

import logging
import time

from wasabistream.exceptions import BackendError, NotSentError
from wasabistream.forwarding.attempts import AttemptHistory, AttemptSender
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.crash_blames import CrashBlame
from wasabistream.forwarding.failure_rates import FailureRates
from wasabistream.forwarding.interfaces import ServerExchange
from wasabistream.forwarding.replies import (
    SERVER_ERROR,
    bad_gateway,
    refuse,
    timed_out,
)
from wasabistream.forwarding.reply_readers import read_reply
from wasabistream.forwarding.requests import Reply
from wasabistream.forwarding.server_choosers import ServerChooser
from wasabistream.forwarding.supervisors import CutReason, Watch

logger = logging.getLogger(__name__)

# An answer that is later than the route's target is asked for once more at
# another backend server; a shorter wait would repeat answers that come.
PATIENCE_RATIO = 1.0


class PlainForwarder:
    """Forward a request and return the whole answer.

    The answer is read to its end before any of it goes to the caller, so
    that one that breaks off can still be asked for again.
    """

    def __init__(
        self,
        chooser: ServerChooser,
        sender: AttemptSender,
        rates: FailureRates,
        crashes: CrashBlame,
    ) -> None:
        self._chooser = chooser
        self._sender = sender
        self._rates = rates
        self._crashes = crashes

    def forward(self, watch: Watch, history: AttemptHistory) -> Reply:
        """Return the answer to a request, or a refusal."""
        request = watch.request
        failure: Reply | None = None
        while True:
            server = self._chooser.choose(request, history.endpoints)
            if server is None or not self._sender.may_send(watch, history):
                return failure or self._give_up(watch, history)
            reply = self._attempt(server, watch, history)
            if reply is None:
                continue
            if reply.status < SERVER_ERROR or not request.route.repeatable:
                return reply
            failure = reply

    def _give_up(self, watch: Watch, history: AttemptHistory) -> Reply:
        if not history.may_have_run:
            return refuse(watch.request.deadline.remaining_seconds)
        if watch.request.deadline.expired:
            return timed_out()
        return bad_gateway()

    def _attempt(
        self, server: BackendServer, watch: Watch, history: AttemptHistory
    ) -> Reply | None:
        self._limit_patience(server, watch, history)
        try:
            with self._sender.open(server, watch, history) as exchange:
                reply = self._read(server, exchange, watch)
                self._crashes.answered(watch.request)
                return reply
        except NotSentError as error:
            _log_attempt('not run', watch, error)
        except BackendError as error:
            _log_attempt('failed', watch, error)
            if watch.reason is None:
                self._crashes.lost(server, watch.request)
            if watch.reason != CutReason.caller_left:
                self._rates.record(server.endpoint, failed=True)
        return None

    def _limit_patience(
        self, server: BackendServer, watch: Watch, history: AttemptHistory
    ) -> None:
        request = watch.request
        watch.attempt_end_seconds = None
        tried = [*history.endpoints, server.endpoint]
        # A late answer is better than none: it is given up only when the
        # request can be asked for elsewhere.
        if not self._sender.may_repeat(request, history):
            return
        if self._chooser.choose(request, tried) is None:
            return
        patience_seconds = request.route.target_latency_seconds * PATIENCE_RATIO
        watch.attempt_end_seconds = time.monotonic() + patience_seconds

    def _read(
        self, server: BackendServer, exchange: ServerExchange, watch: Watch
    ) -> Reply:
        reply = read_reply(server, exchange, watch.request.request_id)
        failed = reply.status >= SERVER_ERROR
        self._rates.record(server.endpoint, failed=failed)
        return reply


def _log_attempt(outcome: str, watch: Watch, error: BackendError) -> None:
    logger.info(
        'attempt: %s: %s',
        outcome,
        error,
        extra={
            'request_id': watch.request.request_id,
            'reason': watch.reason,
        },
    )
