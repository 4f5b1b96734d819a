"""Forward streams of events that outlive their backend server."""

import logging

from wasabistream.exceptions import BackendError, NotSentError
from wasabistream.forwarding.attempts import AttemptHistory, AttemptSender
from wasabistream.forwarding.backend_servers import (
    BackendServer,
    build_unlisted_server,
)
from wasabistream.forwarding.crash_blames import CrashBlame
from wasabistream.forwarding.endpoints import parse_endpoint
from wasabistream.forwarding.event_splitters import EventSplitter
from wasabistream.forwarding.failure_rates import FailureRates
from wasabistream.forwarding.fleets import FleetHolder
from wasabistream.forwarding.interfaces import ServerExchange
from wasabistream.forwarding.move_books import MoveBook
from wasabistream.forwarding.move_messages import RunMoved
from wasabistream.forwarding.replies import (
    BAD_GATEWAY,
    NOT_RUN,
    SERVER_ERROR,
    bad_gateway,
    refuse,
    timed_out,
)
from wasabistream.forwarding.reply_readers import read_reply
from wasabistream.forwarding.requests import Continuation, Reply
from wasabistream.forwarding.server_choosers import ServerChooser
from wasabistream.forwarding.stream_progress import StreamProgress
from wasabistream.forwarding.supervisors import Watch

logger = logging.getLogger(__name__)

# An agent announces a move before it stops the generation, so the notice is
# at most one trip behind the end of the stream.
MOVE_NOTICE_SECONDS = 0.1
# Longest time in which the last copy of a generation arrives.
MOVE_COPY_SECONDS = 2.0


class StreamForwarder:
    """Forward whole events as they come and continue where they stop.

    An event that was cut off is dropped; the generation that goes on makes
    it again, so that the caller gets each event once.
    """

    def __init__(
        self,
        fleet: FleetHolder,
        chooser: ServerChooser,
        sender: AttemptSender,
        rates: FailureRates,
        moves: MoveBook,
        crashes: CrashBlame,
    ) -> None:
        self._fleet = fleet
        self._chooser = chooser
        self._sender = sender
        self._rates = rates
        self._moves = moves
        self._crashes = crashes

    def forward(
        self, watch: Watch, history: AttemptHistory, progress: StreamProgress
    ) -> Reply | None:
        """Forward a stream; return an answer when none has begun."""
        failure: Reply | None = None
        while not watch.ended:
            server = self._chooser.choose(watch.request, history.endpoints[-1:])
            if server is None or not self._sender.may_send(watch, history):
                break
            continuation = _resumption(progress)
            reply = self._follow(server, watch, history, progress, continuation)
            if reply is None:
                return None
            if not progress.begun and not _may_repeat(reply, watch):
                return reply
            if reply.status != NOT_RUN:
                failure = reply
        return self._give_up(watch, history, progress, failure)

    def _give_up(
        self,
        watch: Watch,
        history: AttemptHistory,
        progress: StreamProgress,
        failure: Reply | None,
    ) -> Reply | None:
        if progress.begun:
            watch.caller.abort()
            return None
        if not history.may_have_run:
            return refuse(watch.request.deadline.remaining_seconds)
        if watch.request.deadline.expired:
            return timed_out()
        return failure or bad_gateway()

    def _follow(
        self,
        server: BackendServer,
        watch: Watch,
        history: AttemptHistory,
        progress: StreamProgress,
        continuation: Continuation | None,
    ) -> Reply | None:
        """Follow one generation over its moves.

        Returns None when the stream is complete or its caller has left.
        """
        while True:
            try:
                with self._sender.open(
                    server, watch, history, continuation
                ) as exchange:
                    return self._relay(server, watch, exchange, progress)
            except NotSentError as error:
                self._log('not run', watch, error, progress)
                return refuse(watch.request.deadline.remaining_seconds)
            except BackendError as error:
                self._log('cut', watch, error, progress)
            moved = self._find_move(watch)
            if moved is None:
                if watch.reason is None and not progress.event_count:
                    self._crashes.lost(server, watch.request)
                return bad_gateway()
            server_found = self._server_at(moved, server)
            if server_found is None:
                return bad_gateway()
            server = server_found
            progress.move_count += 1
            continuation = Continuation(
                moved.memory_endpoint, moved.handle, progress.last_event_id
            )

    def _relay(
        self,
        server: BackendServer,
        watch: Watch,
        exchange: ServerExchange,
        progress: StreamProgress,
    ) -> Reply | None:
        answer = exchange.answer
        if not answer.succeeded or not answer.event_stream:
            return read_reply(server, exchange, watch.request.request_id)
        if not answer.sealed:
            raise BackendError('answer is not signed', 'head', server.endpoint)
        if not progress.begun:
            progress.begun = True
            watch.caller.begin(answer.status, answer.headers)
        splitter = EventSplitter()
        while piece := exchange.read():
            for event in splitter.feed(piece):
                if _is_next(event.event_id, progress.last_event_id):
                    watch.caller.write(event.raw)
                    if not progress.event_count:
                        self._crashes.answered(watch.request)
                    progress.count_event(event.event_id)
        if splitter.torn or watch.reason is not None:
            raise BackendError('stream was cut', 'events', server.endpoint)
        self._rates.record(server.endpoint, failed=False)
        progress.complete = True
        return None

    def _find_move(self, watch: Watch) -> RunMoved | None:
        if watch.ended:
            return None
        copy_seconds = min(
            MOVE_COPY_SECONDS, watch.request.deadline.remaining_seconds
        )
        return self._moves.take(
            watch.request.request_id, MOVE_NOTICE_SECONDS, copy_seconds
        )

    def _server_at(
        self, moved: RunMoved, source: BackendServer
    ) -> BackendServer | None:
        endpoint = moved.endpoint
        for server in self._fleet.current.servers.values():
            if server.endpoint == endpoint:
                return server
        # An engine that started while the store was away is not listed yet;
        # the copy's handle tells it from any other server.
        logger.info(
            'stream: moved to %s, which is not listed',
            endpoint,
            extra={'request_id': moved.run_id, 'from': source.endpoint},
        )
        try:
            found = parse_endpoint(endpoint)
        except ValueError as error:
            logger.warning('stream: move is malformed: %s', error)
            return None
        return build_unlisted_server(
            found, source.service, source.data_centre, source.slot_count
        )

    def _log(
        self,
        outcome: str,
        watch: Watch,
        error: BackendError,
        progress: StreamProgress,
    ) -> None:
        logger.info(
            'stream: %s: %s',
            outcome,
            error,
            extra={
                'request_id': watch.request.request_id,
                'reason': watch.reason,
                'event_count': progress.event_count,
            },
        )


def _may_repeat(reply: Reply, watch: Watch) -> bool:
    if reply.status in {BAD_GATEWAY, NOT_RUN}:
        return True
    return reply.status >= SERVER_ERROR and watch.request.route.repeatable


def _resumption(progress: StreamProgress) -> Continuation | None:
    if not progress.last_event_id:
        return None
    return Continuation('', '', progress.last_event_id)


def _is_next(event_id: str, last_event_id: str) -> bool:
    if not event_id.isdigit() or not last_event_id:
        return True
    return int(event_id) > int(last_event_id)
