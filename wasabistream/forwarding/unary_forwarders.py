"""Forwarding of requests whose answers are not streamed."""

import logging
import time

from wasabistream.exceptions import BackendError, NotRunError
from wasabistream.forwarding.answer_buffers import AnswerBuffers
from wasabistream.forwarding.attempts import AttemptHistory, AttemptSender
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.failure_rates import FailureRates
from wasabistream.forwarding.interfaces import ServerExchange
from wasabistream.forwarding.poison_request_guards import PoisonRequestGuard
from wasabistream.forwarding.refusals import Refuser
from wasabistream.forwarding.replies import (
    SERVER_ERROR,
    build_bad_gateway,
    build_gateway_timeout,
)
from wasabistream.forwarding.reply_readers import read_reply
from wasabistream.forwarding.requests import Reply
from wasabistream.forwarding.server_choosers import ServerChooser
from wasabistream.forwarding.supervisors import CutReason, RequestWatch
from wasabistream.run_endings.interfaces import AcceptAllEnds, EndGate

logger = logging.getLogger(__name__)

# Share of the route's target latency after which a late attempt is given up for
# one at another backend server. A lower ratio would repeat requests that are
# about to be answered.
LATE_ATTEMPT_RATIO = 1.0


class UnaryForwarder:
    """Forward requests of routes that are not streamed.

    The whole answer is read before any of it is sent to the caller, so that
    the request can be repeated if the answer breaks off. The supervisor cuts
    attempts through the request's watch.
    """

    def __init__(
        self,
        chooser: ServerChooser,
        sender: AttemptSender,
        failure_rates: FailureRates,
        poison_guard: PoisonRequestGuard,
        buffers: AnswerBuffers,
        refuser: Refuser,
    ) -> None:
        self._chooser = chooser
        self._sender = sender
        self._failure_rates = failure_rates
        self._poison_guard = poison_guard
        self._buffers = buffers
        self._refuser = refuser
        # Decides whether the end of a connection is that of the answer.
        self.ends: EndGate = AcceptAllEnds()

    def forward(self, watch: RequestWatch, history: AttemptHistory) -> Reply:
        """Return the answer to a request, or an error reply without one."""
        request = watch.request
        failure: Reply | None = None
        while True:
            server = self._chooser.take(request, history.endpoints)
            if server is None or not self._sender.may_send(watch, history):
                return failure or self._build_failure_reply(watch, history)
            reply = self._attempt(server, watch, history)
            if reply is None:
                continue
            if reply.status < SERVER_ERROR or not request.route.repeatable:
                return reply
            failure = reply

    def _build_failure_reply(
        self, watch: RequestWatch, history: AttemptHistory
    ) -> Reply:
        if not history.may_have_run:
            return self._refuser.refuse(watch.request)
        if watch.has_timed_out:
            return build_gateway_timeout()
        return build_bad_gateway()

    def _attempt(
        self,
        server: BackendServer,
        watch: RequestWatch,
        history: AttemptHistory,
    ) -> Reply | None:
        self._limit_attempt_time(server, watch, history)
        try:
            with self._sender.open(server, watch, history) as exchange:
                reply = self._read(server, exchange, watch)
                self._poison_guard.record_answer(
                    watch.request, watch.silent_seconds
                )
                return reply
        except NotRunError as error:
            _log_attempt('not run', watch, error)
        except BackendError as error:
            _log_attempt('failed', watch, error)
            if watch.reason is None:
                self._poison_guard.record_lost_answer(
                    server, watch.request, has_begun=history.has_begun
                )
            if watch.reason != CutReason.caller_left:
                self._failure_rates.record(server.endpoint, failed=True)
        return None

    def _limit_attempt_time(
        self,
        server: BackendServer,
        watch: RequestWatch,
        history: AttemptHistory,
    ) -> None:
        request = watch.request
        watch.attempt_deadline_seconds = None
        watch.may_move_on = lambda: (
            self._sender.may_repeat(request, history)
            and self._chooser.has_other(request, history.endpoints)
        )
        tried = [*history.endpoints, server.endpoint]
        # A late answer is better than none: an attempt is given up early only
        # if the request can be repeated at another backend server.
        if not self._sender.may_repeat_after_next(request, history):
            return
        if not self._chooser.has_other(request, tried):
            return
        limit_seconds = (
            request.route.target_latency_seconds * LATE_ATTEMPT_RATIO
        )
        watch.attempt_deadline_seconds = time.monotonic() + limit_seconds

    def _read(
        self,
        server: BackendServer,
        exchange: ServerExchange,
        watch: RequestWatch,
    ) -> Reply:
        reply = read_reply(
            server,
            exchange,
            watch.request.request_id,
            self._buffers,
            watch.resources,
            lambda: self.ends.check(server, watch),
        )
        failed = reply.status >= SERVER_ERROR
        self._failure_rates.record(server.endpoint, failed=failed)
        return reply


def _log_attempt(
    outcome: str, watch: RequestWatch, error: BackendError
) -> None:
    logger.info(
        'attempt: %s: %s',
        outcome,
        error,
        extra={
            'request_id': watch.request.request_id,
            'reason': watch.reason,
        },
    )
