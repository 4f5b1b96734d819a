"""Forwarding of event streams that survive their backend server."""

import logging
import re

from wasabistream.continuations.interfaces import NoResumes, ResumeGate
from wasabistream.continuations.stream_continuations import (
    StreamContinuations,
)
from wasabistream.exceptions import (
    BackendError,
    BackendTimeoutError,
    NotRunError,
)
from wasabistream.forwarding.answer_buffers import AnswerBuffers
from wasabistream.forwarding.attempts import AttemptHistory, AttemptSender
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.event_splitters import (
    EventSplitter,
    StreamEvent,
)
from wasabistream.forwarding.failure_rates import FailureRates
from wasabistream.forwarding.fleets import FleetHolder
from wasabistream.forwarding.interfaces import ServerExchange
from wasabistream.forwarding.move_messages import RunMoved
from wasabistream.forwarding.move_trackers import (
    MOVE_COPY_SECONDS,
    MoveTracker,
)
from wasabistream.forwarding.piece_allowances import PieceAllowance
from wasabistream.forwarding.poison_request_guards import PoisonRequestGuard
from wasabistream.forwarding.refusals import Refuser
from wasabistream.forwarding.replies import (
    BAD_GATEWAY,
    NOT_RUN,
    SERVER_ERROR,
    build_bad_gateway,
    build_gateway_timeout,
    build_refusal,
)
from wasabistream.forwarding.reply_readers import read_reply
from wasabistream.forwarding.requests import Continuation, Reply
from wasabistream.forwarding.routes import Route
from wasabistream.forwarding.server_choosers import ServerChooser
from wasabistream.forwarding.stream_progress import StreamProgress
from wasabistream.forwarding.supervisors import (
    CutReason,
    RequestWatch,
    StallLimits,
)
from wasabistream.queueing.interfaces import DirectStarts, StartGate
from wasabistream.run_endings.interfaces import (
    AcceptAllEnds,
    DirectHandovers,
    EndGate,
    HandoverGate,
)

logger = logging.getLogger(__name__)

# Ids with more digits are passed on without being compared.
EVENT_NUMBER = re.compile('[0-9]{1,18}')
# Time to wait for the notice of a move. The agent sends it before it stops the
# generation, so it arrives at most one network trip after the stream's end.
MOVE_NOTICE_SECONDS = 0.1
# The same for a stream that was given up as stalled: its agent looks whether the
# run goes on, and searches for a target first.
GIVEN_UP_NOTICE_SECONDS = 0.3
# Time between events after which a stream counts as stalled, as a multiple of
# the route's target latency. Engines pause generations for seconds when their
# memory is full. Callers leave after four times the target latency.
MOVE_ON_RATIO = 2.0
MOVE_ON_MIN_SECONDS = 2.0
STALL_RATIO = 8.0
STALL_MIN_SECONDS = 10.0


class StreamForwarder:
    """Forward whole events as they arrive and continue cut streams.

    An incomplete event is dropped. The generation that continues the stream
    produces it again, so that the caller receives each event once. The first
    event binds the stream to the software version that sent it.
    """

    def __init__(
        self,
        fleet: FleetHolder,
        chooser: ServerChooser,
        sender: AttemptSender,
        failure_rates: FailureRates,
        moves: MoveTracker,
        poison_guard: PoisonRequestGuard,
        buffers: AnswerBuffers,
        refuser: Refuser,
    ) -> None:
        # Decides where streams go on that have begun.
        self.continuations = StreamContinuations(fleet)
        self._chooser = chooser
        self._sender = sender
        self._failure_rates = failure_rates
        self._moves = moves
        self._poison_guard = poison_guard
        self._buffers = buffers
        self._refuser = refuser
        # Decides when the first attempt of a generation is made.
        self.starts: StartGate = DirectStarts()
        # Decides where streams go on that callers resume.
        self.resumes: ResumeGate = NoResumes()
        # Decides whether the end of a connection is that of the stream.
        self.ends: EndGate = AcceptAllEnds()
        # Decides when a stream may go on whose connection was silent.
        self.handovers: HandoverGate = DirectHandovers()

    def forward(
        self,
        watch: RequestWatch,
        history: AttemptHistory,
        progress: StreamProgress,
    ) -> Reply | None:
        """Forward a stream; return a reply if no stream has begun."""
        refusal = self.resumes.prepare(watch)
        if refusal is not None:
            return refusal
        with self.starts.wait_for_start(watch) as start:
            if start.is_refused:
                return self._refuser.refuse_without_room(
                    watch.request, start.retry_after_seconds
                )
            if start.reason is not None and self._is_banned(watch):
                return build_refusal(watch.request.deadline.remaining_seconds)
            return self._forward(watch, history, progress, start.server)

    def _is_banned(self, watch: RequestWatch) -> bool:
        # Others may have crashed their servers while this one waited.
        if not self._poison_guard.refuses_since(
            watch.request, watch.admitted_at_seconds
        ):
            return False
        logger.warning(
            'request: refused: it was banned while it waited',
            extra={
                'request_id': watch.request.request_id,
                'prompt_parts': list(watch.request.prompt_parts),
            },
        )
        return True

    def _forward(
        self,
        watch: RequestWatch,
        history: AttemptHistory,
        progress: StreamProgress,
        first_server: BackendServer | None,
    ) -> Reply | None:
        failure: Reply | None = None
        watch.may_move_on = lambda: (
            self._sender.may_repeat(watch.request, history)
            and self._chooser.has_other(
                self.continuations.confirm(
                    watch.request, progress, asks_engine=False
                ),
                history.endpoints[-1:],
            )
        )
        while not watch.is_ended and progress.is_continuable:
            server = first_server or self._take_server(watch, history, progress)
            first_server = None
            if server is None or not self._sender.may_send(watch, history):
                break
            progress.waiting_count = self._chooser.count_waiting(server)
            self._log_sent(server, watch, progress)
            continuation = _build_resumption(progress)
            reply = self._follow_generation(
                server, watch, history, progress, continuation
            )
            if reply is None:
                return None
            if not progress.has_begun and not _may_repeat(reply, watch):
                return reply
            if reply.status != NOT_RUN:
                failure = reply
        return self._abort_or_build_reply(watch, history, progress, failure)

    def _take_server(
        self,
        watch: RequestWatch,
        history: AttemptHistory,
        progress: StreamProgress,
    ) -> BackendServer | None:
        had_unknown_start = progress.has_unknown_start
        request = self.continuations.confirm(
            watch.request, progress, asks_engine=True
        )
        watch.request = request
        is_unknown = request.origin is not None and (
            not request.origin.software_version
        )
        if is_unknown and not progress.awaits_version:
            self.resumes.withdraw(watch)
        elif had_unknown_start:
            self._record_late(watch, progress)
        last_endpoints = history.endpoints[-1:]
        server = self._chooser.take(request, last_endpoints)
        if server is None and self._sender.may_repeat(request, history):
            self.continuations.report_no_server(
                request, progress, last_endpoints
            )
        return server

    def _abort_or_build_reply(
        self,
        watch: RequestWatch,
        history: AttemptHistory,
        progress: StreamProgress,
        failure: Reply | None,
    ) -> Reply | None:
        if progress.has_begun:
            watch.caller.abort()
            return None
        if not history.may_have_run:
            return self._refuser.refuse(watch.request)
        if watch.has_timed_out:
            return build_gateway_timeout()
        return failure or build_bad_gateway()

    def _follow_generation(
        self,
        server: BackendServer,
        watch: RequestWatch,
        history: AttemptHistory,
        progress: StreamProgress,
        continuation: Continuation | None,
    ) -> Reply | None:
        """Forward one generation, also across its moves.

        Returns None when the stream is complete, else the reply that would
        answer the request without a further attempt.
        """
        while True:
            try:
                with self._sender.open(
                    server, watch, history, continuation
                ) as exchange:
                    events_before = progress.event_count
                    reply = self._relay(server, watch, exchange, progress)
                    if reply is None:
                        _check_completeness(
                            server, progress, events_before, continuation
                        )
                        progress.complete = True
                    return reply
            except NotRunError as error:
                _log('not run', server, watch, error)
                return build_refusal(watch.request.deadline.remaining_seconds)
            except BackendError as error:
                _log('cut', server, watch, error)
                is_silent = isinstance(error, BackendTimeoutError)
            moved = self._find_move(server, watch, is_silent=is_silent)
            if moved is None or not progress.is_continuable:
                if watch.reason is None and not progress.event_count:
                    self._poison_guard.record_lost_answer(
                        server, watch.request, has_begun=history.has_begun
                    )
                return build_bad_gateway()
            next_server = self.continuations.find_target(
                moved, server, watch, progress
            )
            if next_server is None:
                return build_bad_gateway()
            server = next_server
            progress.move_count += 1
            continuation = Continuation(
                moved.memory_endpoint, moved.handle, progress.last_event_id
            )

    def _relay(
        self,
        server: BackendServer,
        watch: RequestWatch,
        exchange: ServerExchange,
        progress: StreamProgress,
    ) -> Reply | None:
        head = exchange.head
        if not head.succeeded or not head.event_stream:
            reply = read_reply(
                server,
                exchange,
                watch.request.request_id,
                self._buffers,
                watch.resources,
                lambda: self.ends.check(server, watch),
            )
            self._failure_rates.record(
                server.endpoint, failed=reply.status >= SERVER_ERROR
            )
            return reply
        if not head.sealed:
            raise BackendError('answer has no seal', 'head', server.endpoint)
        if not progress.has_begun:
            progress.has_begun = True
            watch.caller.begin(head.status, head.headers)
        self._relay_events(server, watch, exchange, progress)
        self._failure_rates.record(server.endpoint, failed=False)
        return None

    def _relay_events(
        self,
        server: BackendServer,
        watch: RequestWatch,
        exchange: ServerExchange,
        progress: StreamProgress,
    ) -> None:
        splitter = EventSplitter()
        allowance = PieceAllowance()
        events_before = progress.event_count
        while piece := exchange.read():
            allowance.take()
            for event in splitter.feed(piece):
                if event.is_comment:
                    watch.caller.write(event.raw)
                elif _is_new_event(event.event_id, progress.last_event_id):
                    if progress.event_count == events_before:
                        self.continuations.bind(server, watch, progress)
                    self._pass_on(event, watch, progress)
                    allowance.add_event()
        if splitter.has_partial_event or watch.reason is not None:
            raise BackendError('stream was cut', 'events', server.endpoint)
        if exchange.head.ends_with_connection:
            self.ends.check(server, watch)

    def _pass_on(
        self,
        event: StreamEvent,
        watch: RequestWatch,
        progress: StreamProgress,
    ) -> None:
        if not progress.event_count:
            self.resumes.record_first_event(watch, progress.first_event)
        elif self.continuations.confirm_by_report(watch, progress):
            self._record_late(watch, progress)
        watch.caller.write(event.raw)
        if not progress.event_count:
            self._poison_guard.record_answer(
                watch.request, watch.silent_seconds
            )
            self._chooser.record_first_event(
                watch.request,
                progress.waiting_count,
                watch.silent_seconds,
            )
            progress.observe_prediction(watch.silent_seconds)
        progress.count_event(event.event_id, len(event.raw))
        watch.record_event()
        watch.stall_limits = _build_stall_limits(watch.request.route)

    def _record_late(
        self, watch: RequestWatch, progress: StreamProgress
    ) -> None:
        """Record what began a stream once its start has been confirmed."""
        logger.info(
            'stream: can be taken up, its start is confirmed now',
            extra={
                'request_id': watch.request.request_id,
                'endpoint': watch.endpoint,
                'event_count': progress.event_count,
            },
        )
        self.resumes.record_first_event(watch, progress.first_event)

    def _find_move(
        self, server: BackendServer, watch: RequestWatch, *, is_silent: bool
    ) -> RunMoved | None:
        moved = self._wait_for_notice(server, watch)
        # The close of a silent connection may not have reached the engine.
        is_silent = is_silent or watch.reason is CutReason.stalled
        if moved is None and is_silent and watch.request.route.repeatable:
            return self.handovers.wait(server, watch)
        return moved

    def _wait_for_notice(
        self, server: BackendServer, watch: RequestWatch
    ) -> RunMoved | None:
        if watch.is_ended:
            return None
        copy_seconds = min(
            MOVE_COPY_SECONDS, watch.request.deadline.remaining_seconds
        )
        return self._moves.wait_for_move(
            watch.request.request_id,
            server.endpoint,
            (
                GIVEN_UP_NOTICE_SECONDS
                if watch.reason is CutReason.stalled
                else MOVE_NOTICE_SECONDS
            ),
            copy_seconds,
            lambda: watch.is_ended,
        )

    def _log_sent(
        self,
        server: BackendServer,
        watch: RequestWatch,
        progress: StreamProgress,
    ) -> None:
        request = watch.request
        outlook = self._chooser.predict_taken(request, server)
        progress.predicted_seconds = (
            outlook.first_event_seconds if outlook else None
        )
        logger.info(
            'stream: sent',
            extra={
                'request_id': request.request_id,
                'route': request.route.name,
                'kind': request.route.kind.value,
                'servers': [server.endpoint],
                'software_version': server.software_version,
                'event_count': progress.event_count,
                **self._chooser.describe(server, outlook),
            },
        )


def _log(
    outcome: str,
    server: BackendServer,
    watch: RequestWatch,
    error: BackendError,
) -> None:
    logger.info(
        'stream: %s: %s',
        outcome,
        error,
        extra={
            'request_id': watch.request.request_id,
            'reason': watch.reason,
            'event_count': watch.event_count,
            'software_version': server.software_version,
        },
    )


def _check_completeness(
    server: BackendServer,
    progress: StreamProgress,
    events_before: int,
    continuation: Continuation | None,
) -> None:
    """Check that the end of a server's stream is the end of the whole one.

    A server that resumes a stream without its memory and has no event for it
    may not know it at all. Raises BackendError.
    """
    is_resumption = continuation is not None and not continuation.handle
    if is_resumption and progress.event_count == events_before:
        raise BackendError(
            'resumption has no events', 'events', server.endpoint
        )


def _may_repeat(reply: Reply, watch: RequestWatch) -> bool:
    if reply.status in {BAD_GATEWAY, NOT_RUN}:
        return True
    return reply.status >= SERVER_ERROR and watch.request.route.repeatable


def _build_resumption(progress: StreamProgress) -> Continuation | None:
    if not progress.last_event_id:
        return None
    return Continuation('', '', progress.last_event_id)


def _is_new_event(event_id: str, last_event_id: str) -> bool:
    if not _is_number(event_id) or not _is_number(last_event_id):
        return True
    return int(event_id) > int(last_event_id)


def _is_number(event_id: str) -> bool:
    return EVENT_NUMBER.fullmatch(event_id) is not None


def _build_stall_limits(route: Route) -> StallLimits:
    target_seconds = route.target_latency_seconds
    return StallLimits(
        move_on_seconds=max(
            MOVE_ON_MIN_SECONDS, target_seconds * MOVE_ON_RATIO
        ),
        end_seconds=max(STALL_MIN_SECONDS, target_seconds * STALL_RATIO),
    )
