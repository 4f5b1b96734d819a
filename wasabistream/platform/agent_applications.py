"""Agent daemon, which runs beside one engine."""

import logging
import threading
import time
from collections.abc import Sequence
from functools import partial

from wasabistream.continuations.engine_versions import (
    EngineVersion,
    VersionedEngine,
)
from wasabistream.continuations.origin_keepers import OriginKeeper
from wasabistream.continuations.origin_messages import (
    StreamOriginQuery,
    StreamOriginRecord,
)
from wasabistream.continuations.stream_origins import StreamOrigin
from wasabistream.continuations.version_messages import EngineVersionNotice
from wasabistream.engine_starts.start_messages import EngineStartReport
from wasabistream.engine_starts.start_reporters import StartReporter
from wasabistream.forwarding.announced_engines import EngineAnnouncement
from wasabistream.forwarding.announcers import EngineAnnouncer
from wasabistream.forwarding.engine_watchers import (
    POLL_INTERVAL_SECONDS,
    EngineWatcher,
)
from wasabistream.forwarding.move_messages import (
    MoveTargetReport,
    RunSilent,
)
from wasabistream.forwarding.move_target_finders import MoveTargetFinder
from wasabistream.forwarding.run_movers import RunMover
from wasabistream.link_senders import send_or_log
from wasabistream.links import Link
from wasabistream.listeners import LinkListener, close_links_gracefully
from wasabistream.messages import Message
from wasabistream.notices import LoadReport
from wasabistream.paces.pace_reports import build_pace_report
from wasabistream.platform.engine_clients import EngineClient
from wasabistream.platform.node_applications import (
    NodeApplication,
    ProcessOptions,
)
from wasabistream.platform.node_files import NodeSettings
from wasabistream.run_endings.ending_finders import (
    EndingResponder,
    RunEndingFinder,
)
from wasabistream.run_endings.ending_messages import RunEndingQuery
from wasabistream.run_endings.engine_continuity import EngineContinuity
from wasabistream.run_endings.run_stops import RunStops
from wasabistream.run_endings.stop_announcers import StopAnnouncer
from wasabistream.run_endings.stop_messages import (
    StopNoticeReply,
    StreamedRunsQuery,
    StreamedRunsReply,
)
from wasabistream.scheduling.scheduling_messages import (
    EnginePaceReport,
    PromptEnd,
    PromptNotice,
)

logger = logging.getLogger(__name__)

# Reports that are sent often, so that a lost one is not worth a log line.
FREQUENT_REPORTS = (LoadReport, EnginePaceReport)


class PlatformAgent(NodeApplication):
    """Report the engine's load; move its generations before it leaves."""

    process_role = 'agent'

    def __init__(
        self, node_settings: NodeSettings, process: ProcessOptions
    ) -> None:
        super().__init__(node_settings, process)
        backend = node_settings.backend
        if backend is None:
            raise ValueError('settings of an agent need a backend server')
        self._links: set[Link] = set()
        self._links_lock = threading.Lock()
        self._origins = OriginKeeper()
        self._version = EngineVersion(node_settings.service)
        self._start_reporter = StartReporter(self._build_start_report)
        self._version.on_change = self._report_start
        stops = RunStops()
        continuity = EngineContinuity()
        engine = VersionedEngine(
            EngineClient(backend), self._version, continuity
        )
        self._stop_announcer = StopAnnouncer(self._broadcast)
        self._endings = EndingResponder(
            RunEndingFinder(
                engine,
                stops,
                continuity,
                find_known_since=self._stop_announcer.find_known_since,
            )
        )
        endpoint = str(backend)
        self._endpoint = endpoint
        self._target_finder = MoveTargetFinder(
            lambda: self.engine_origin,
            node_settings.data_centre,
            self._broadcast,
            lambda: self._watcher.has_announcing_entries,
        )
        self._mover = RunMover(
            engine,
            endpoint,
            self._target_finder,
            self._broadcast,
            self._stop_announcer,
            stops,
        )
        # Held while generations are moved off the engine.
        self._moves_lock = threading.Lock()
        self._watcher = EngineWatcher(
            engine, endpoint, self._broadcast, self._start_moves
        )
        self._announcer = EngineAnnouncer(
            self.hello,
            node_settings.seeds,
            EngineAnnouncement(
                endpoint, node_settings.service, node_settings.data_centre
            ),
            self._is_serving,
        )
        self._listener = LinkListener(
            node_settings.address, node_settings.link_port, self.hello, self
        )

    @property
    def engine_origin(self) -> StreamOrigin:
        """Return the origin of the streams that the engine begins."""
        return self._version.origin

    def on_start(self) -> None:
        """Accept links of entries, watch the engine and announce it."""
        self._listener.start()
        self._watcher.start()
        self._announcer.start()

    def on_stop(self) -> None:
        """Stop the threads and close the links."""
        self._watcher.stop()
        self._announcer.stop()
        self._listener.stop()
        # The last notices of moves are on their way.
        close_links_gracefully(self._open_links())

    def work_in_progress(self) -> list[str]:
        """Return the generations that are being moved.

        One that its engine has stopped goes on only where this agent states.
        """
        return self._mover.moving_runs()

    def on_opened(self, link: Link) -> None:
        """Send the latest load and pace to a newly linked entry."""
        with self._links_lock:
            self._links.add(link)
        self._start_reporter.report(partial(_send, link))
        last = self._watcher.last
        if last is not None:
            _send(link, last)
        # Also while the pace is unknown: from it the entry knows that this
        # agent understands announcements of prompts.
        _send(link, build_pace_report(self._watcher.pace))
        waiting_run_ids = self._stop_announcer.waiting_run_ids
        if waiting_run_ids:
            _send(link, StreamedRunsQuery(waiting_run_ids))

    def on_messages(self, link: Link, received: Sequence[Message]) -> None:
        """Handle what entries tell about prompts, moves and the engine."""
        for notice in received:
            match notice:
                case PromptNotice():
                    self._watcher.announce_prompt(link, notice)
                case PromptEnd():
                    self._watcher.end_prompt(link, notice.request_id)
                case MoveTargetReport():
                    self._target_finder.on_report(notice)
                case EngineVersionNotice():
                    self._version.record_notice(notice)
                case StreamOriginRecord():
                    self._origins.record(notice)
                case StreamOriginQuery():
                    _send(link, self._origins.answer(notice))
                case RunEndingQuery():
                    self._endings.respond(notice, partial(_send, link))
                case StreamedRunsReply() | StopNoticeReply():
                    self._stop_announcer.on_reply(notice)
                case RunSilent():
                    # A move waits for the engine, links must not.
                    threading.Thread(
                        target=self._mover.move_silent,
                        args=(notice,),
                        name='silent',
                        daemon=True,
                    ).start()

    def on_closed(self, link: Link, reason: str) -> None:
        """Remove the link of an entry."""
        with self._links_lock:
            self._links.discard(link)
        self._watcher.drop_link(link)
        logger.info('agent: link to %s ended: %s', link.peer.peer_id, reason)

    def _build_start_report(self) -> EngineStartReport:
        started_unix_ms, software_version = self._version.start
        return EngineStartReport(
            self._endpoint,
            self.node_settings.service,
            started_unix_ms,
            software_version,
        )

    def _report_start(self) -> None:
        self._start_reporter.report(self._broadcast)

    def _is_serving(self) -> bool:
        last = self._watcher.last
        return last is not None and last.responsive and not last.leaving

    def _start_moves(self) -> None:
        threading.Thread(
            target=self._move_while_leaving, name='mover', daemon=True
        ).start()

    def _move_while_leaving(self) -> None:
        """Move generations; go on if the mover has missed a report only."""
        with self._moves_lock:
            while True:
                self._mover.move_all()
                last = self._watcher.last
                if last is None or not last.leaving:
                    return
                time.sleep(POLL_INTERVAL_SECONDS)

    def _broadcast(self, notice: Message) -> None:
        for link in self._open_links():
            _send(link, notice)

    def _open_links(self) -> list[Link]:
        with self._links_lock:
            return list(self._links)


def _send(link: Link, notice: Message) -> None:
    frequent = isinstance(notice, FREQUENT_REPORTS)
    level = logging.DEBUG if frequent else logging.INFO
    send_or_log(link, notice, 'agent: message', level)
