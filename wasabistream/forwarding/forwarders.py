"""Entry point for forwarding callers' requests."""

import logging
import time

from wasabistream.forwarding.attempts import AttemptHistory
from wasabistream.forwarding.interfaces import Caller
from wasabistream.forwarding.poison_request_guards import PoisonRequestGuard
from wasabistream.forwarding.replies import build_refusal
from wasabistream.forwarding.request_observers import (
    NO_OBSERVER,
    RequestObserver,
)
from wasabistream.forwarding.requests import ForwardRequest, Reply
from wasabistream.forwarding.routes import RouteKind
from wasabistream.forwarding.stream_forwarders import StreamForwarder
from wasabistream.forwarding.stream_progress import StreamProgress
from wasabistream.forwarding.supervisors import RequestSupervisor, RequestWatch
from wasabistream.forwarding.unary_forwarders import UnaryForwarder
from wasabistream.metrics import FORWARD_SECONDS, REQUESTS

logger = logging.getLogger(__name__)


class Forwarder:
    """Forward each request to the unary or the stream forwarder."""

    def __init__(
        self,
        supervisor: RequestSupervisor,
        unary: UnaryForwarder,
        streams: StreamForwarder,
        poison_guard: PoisonRequestGuard,
        observer: RequestObserver = NO_OBSERVER,
    ) -> None:
        self._supervisor = supervisor
        self._unary = unary
        self._streams = streams
        self._poison_guard = poison_guard
        self._observer = observer

    def forward(self, request: ForwardRequest, caller: Caller) -> None:
        """Forward a request and send its answer or a refusal to the caller."""
        started = time.monotonic()
        watch = RequestWatch(request, caller)
        history = AttemptHistory()
        progress = StreamProgress()
        reason = self._poison_guard.find_refusal_reason(request)
        if reason:
            logger.warning(
                'request: refused: %s',
                reason,
                extra={
                    'request_id': request.request_id,
                    'prompt_parts': list(request.prompt_parts),
                },
            )
            caller.reply(build_refusal(request.deadline.remaining_seconds))
            return
        # The request may have waited for a thread, and no server should begin
        # work that nobody waits for.
        if caller.has_left():
            logger.info(
                'request: caller left before it was sent',
                extra={'request_id': request.request_id},
            )
            self._poison_guard.withdraw_trial(request)
            caller.abort()
            return
        reply: Reply | None = None
        self._observer.on_arrival(request)
        self._supervisor.add(watch)
        try:
            if request.route.kind == RouteKind.streaming:
                reply = self._streams.forward(watch, history, progress)
            else:
                reply = self._unary.forward(watch, history)
            if reply is not None:
                caller.reply(reply)
        except OSError as error:
            # Only the caller's connection raises OSError; errors of backend
            # servers are BackendError.
            logger.info(
                'request: caller left: %s',
                error,
                extra={'request_id': request.request_id},
            )
            caller.abort()
        finally:
            self._end(watch, history)
        if progress.complete:
            self._observer.on_complete_stream(request, progress.byte_count)
        self._log(watch, history, progress, reply, started)

    def _end(self, watch: RequestWatch, history: AttemptHistory) -> None:
        self._supervisor.remove(watch)
        watch.resources.close()
        if not history.may_have_run:
            self._poison_guard.withdraw_trial(watch.request)

    def _log(
        self,
        watch: RequestWatch,
        history: AttemptHistory,
        progress: StreamProgress,
        reply: Reply | None,
        started: float,
    ) -> None:
        request = watch.request
        seconds = time.monotonic() - started
        kind = request.route.kind.value
        outcome = str(reply.status) if reply else progress.outcome
        REQUESTS.labels(kind, outcome).inc()
        FORWARD_SECONDS.labels(kind).observe(seconds)
        logger.info(
            'request: ended',
            extra={
                'request_id': request.request_id,
                'route': request.route.name,
                'kind': kind,
                'target_seconds': request.route.target_latency_seconds,
                'target_gap_seconds': request.route.target_gap_seconds,
                'service': request.service,
                'organisation': request.organisation,
                'priority': request.priority,
                'version': request.version,
                'outcome': progress.outcome,
                'status': reply.status if reply else None,
                'servers': history.endpoints,
                'run_count': history.run_count,
                'turned_away_count': history.turned_away_count,
                'event_count': progress.event_count,
                'first_event_seconds': round(progress.first_event_seconds, 3),
                'longest_gap_seconds': round(progress.longest_gap_seconds, 3),
                'move_count': progress.move_count,
                'cut_reason': watch.reason,
                'seconds': round(seconds, 4),
            },
        )
