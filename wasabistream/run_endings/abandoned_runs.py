"""Runs on which an engine may work after their connection was given up."""

import logging
import time

from wasabistream.exceptions import BackendError
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.move_messages import RunMoved
from wasabistream.forwarding.move_trackers import MOVE_COPY_SECONDS, MoveTracker
from wasabistream.forwarding.supervisors import RequestWatch, SilenceReporter
from wasabistream.run_endings.endings import lists_run
from wasabistream.run_endings.interfaces import EngineReports
from wasabistream.run_endings.report_reads import read_late_report

logger = logging.getLogger(__name__)

# Time between two looks at the engine, in which its agent may announce a move.
LOOK_INTERVAL_SECONDS = 0.3


class AbandonedRunWaiter:
    """Hold a stream back while the engine that it leaves still lists its run.

    The close of a connection that has gone silent does not reach the engine. Its
    agent stops the run once an event is lost; a run that waits or is preempted
    has none until it goes on, so that the agent is told again.
    """

    def __init__(
        self,
        engines: EngineReports,
        moves: MoveTracker,
        report_silence: SilenceReporter,
    ) -> None:
        self._engines = engines
        self._moves = moves
        self._report_silence = report_silence

    def wait(
        self, server: BackendServer, watch: RequestWatch
    ) -> RunMoved | None:
        """Return the move of a run, or None once it has ended.

        Returns None as well if the engine cannot be reached or the request ends.
        """
        run_id = watch.request.request_id
        started = time.monotonic()
        moved = None
        while moved is None and self._may_work(server, watch):
            logger.info(
                'stream: its engine still lists the run',
                extra={
                    'request_id': run_id,
                    'endpoint': server.endpoint,
                    'event_count': watch.event_count,
                    'seconds': round(time.monotonic() - started, 3),
                },
            )
            moved = self._order_stop(server, watch)
        return moved

    def _order_stop(
        self, server: BackendServer, watch: RequestWatch
    ) -> RunMoved | None:
        request = watch.request
        self._report_silence(
            server.endpoint,
            request.request_id,
            watch.event_count,
            is_given_up=True,
        )
        return self._moves.wait_for_move(
            request.request_id,
            server.endpoint,
            LOOK_INTERVAL_SECONDS,
            min(MOVE_COPY_SECONDS, request.deadline.remaining_seconds),
            lambda: watch.is_ended,
        )

    def _may_work(self, server: BackendServer, watch: RequestWatch) -> bool:
        if watch.is_ended or watch.request.deadline.expired:
            return False
        try:
            # A report that is late is no sign that the run has ended.
            state = read_late_report(
                self._engines, server, lambda: watch.is_ended
            )
        except BackendError as error:
            logger.info(
                'stream: its engine cannot be reached: %s',
                error,
                extra={'request_id': watch.request.request_id},
            )
            return False
        return lists_run(state, watch.request.request_id)
