"""Links from an entry to the agents of engines."""

import logging
import threading
import time
from collections.abc import Callable, Sequence

from wasabistream.continuations.listed_engines import ListedEngines
from wasabistream.continuations.origin_exchanges import OriginExchange
from wasabistream.continuations.origin_messages import StreamOriginReply
from wasabistream.continuations.stream_origins import StreamOrigin
from wasabistream.continuations.stream_resumes import StreamResumer
from wasabistream.dialers import PeerDialer
from wasabistream.engine_starts.start_messages import EngineStartReport
from wasabistream.engine_starts.start_tables import (
    EngineStartTable,
    is_other_start,
)
from wasabistream.forwarding.advisory_guards import AdvisoryGuard
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.endpoints import Endpoint
from wasabistream.forwarding.fleets import Fleet, FleetHolder
from wasabistream.forwarding.load_trackers import LoadTracker
from wasabistream.forwarding.move_messages import (
    MoveTargetQuery,
    RunMoved,
    RunMoving,
    RunSilent,
)
from wasabistream.forwarding.move_targets import (
    build_move_target_report,
    list_move_targets,
)
from wasabistream.forwarding.move_trackers import MoveTracker
from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.link_loops import link_loop
from wasabistream.link_senders import send_or_log
from wasabistream.link_waits import Pause, Task
from wasabistream.links import Link
from wasabistream.messages import Message
from wasabistream.notices import Hello, LoadReport
from wasabistream.paces.pace_boards import PaceBoard
from wasabistream.run_endings.ending_exchanges import EndingExchange
from wasabistream.run_endings.ending_messages import RunEndingReply
from wasabistream.run_endings.stop_messages import (
    StopNotice,
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

# Time to keep the link to an agent whose backend server has left the list. The
# server still runs for some seconds, and its agent needs the links to move
# generations.
UNLISTED_LINK_SECONDS = 20.0
# Agents repeat their reports each second. A link that has brought some and is
# silent for this long is opened again, as a connection may go silent for good.
SILENT_LINK_SECONDS = 2.5
SILENCE_CHECK_SECONDS = 0.5
# Larger numbers of tokens, which callers may state, cannot be encoded.
MAX_ANNOUNCED_TOKENS = 2**31


def _limit_tokens(tokens: int) -> int:
    # Callers may state any numbers; others count on what is announced.
    return min(max(tokens, 0), MAX_ANNOUNCED_TOKENS)


def _list_none(service: str) -> list[str]:
    return []


class AgentLinks:
    """Keep one link to the agent of each engine."""

    def __init__(
        self,
        hello: Hello,
        link_port: int,
        load_tracker: LoadTracker,
        moves: MoveTracker,
        advisories: AdvisoryGuard,
        paces: PaceBoard,
        list_full_data_centres: Callable[[str], list[str]] = _list_none,
    ) -> None:
        self._hello = hello
        self._link_port = link_port
        self._load_tracker = load_tracker
        self._moves = moves
        self._advisories = advisories
        self._paces = paces
        # Data centres to which no agent should move generations of others.
        self._list_full_data_centres = list_full_data_centres
        self._lock = threading.Lock()
        self._dialers: dict[Endpoint, PeerDialer] = {}
        # Monotonic time at which each backend server left the list.
        self._unlisted_since_seconds: dict[Endpoint, float] = {}
        self._fleet = Fleet()
        self._engines = ListedEngines()
        self._open_links: dict[str, Link] = {}
        # When the agent of each open link reported last.
        self._reported_at_seconds: dict[str, float] = {}
        # Open links to agents that understand announcements of prompts.
        self._announcement_links: dict[str, Link] = {}
        self._stopped = False
        # Origins of streams, which the agents keep.
        self.origins = OriginExchange()
        # How runs ended, as the agents of their engines tell.
        self.endings = EndingExchange()
        # Starts of engines, as their agents report them.
        self.starts = EngineStartTable()
        # Records that an agent may stop a run, by its id, the endpoint of its
        # engine and the agent's incarnation; returns whether it goes on here.
        self.record_announced_stop: Callable[[str, str, str], bool] = (
            _stream_nothing
        )
        # The same for an agent that has seen a run and may announce its stop.
        self.record_sight: Callable[[str, str, str], bool] = _stream_nothing
        # Called on the link thread after each load report.
        self.on_load_report: Callable[[], None] = _ignore_report

    def start(self) -> None:
        """Start looking for silent links."""
        link_loop.spawn(self._watch_silence())

    def on_fleet_changed(self, fleet: Fleet) -> None:
        """Open links to listed engines and close those of unlisted ones."""
        engines = [
            server
            for server in fleet.servers.values()
            if _has_engine(fleet, server)
        ]
        wanted = {Endpoint(server.address, server.port) for server in engines}
        self.origins.on_fleet_changed(engines)
        with self._lock:
            self._fleet = fleet
            changed = self._engines.on_fleet_changed(fleet)
            self._drop_unlisted(wanted)
            for address in wanted - set(self._dialers):
                dialer = PeerDialer(
                    address.address,
                    self._link_port,
                    self._hello,
                    _AgentLink(self, str(address)),
                )
                self._dialers[address] = dialer
                dialer.start()
        for endpoint in changed:
            self._tell_version(endpoint)

    def stop(self) -> None:
        """Close all links."""
        self._stopped = True
        with self._lock:
            for dialer in self._dialers.values():
                dialer.stop()
            self._dialers.clear()

    def build_resumer(
        self, fleet: FleetHolder, is_list_current: Callable[[], bool]
    ) -> StreamResumer:
        """Return what records and finds the origins of streams."""
        return StreamResumer(fleet, self.origins, is_list_current)

    def report_silent_run(
        self,
        endpoint: str,
        run_id: str,
        event_count: int,
        *,
        is_given_up: bool = False,
    ) -> None:
        """Tell the agent of an engine that a generation's events are lost."""
        with self._lock:
            link = self._open_links.get(endpoint)
        if link is not None:
            send_or_log(
                link,
                RunSilent(run_id, event_count, is_given_up),
                'agent link: silent generation',
            )

    def announce_prompt(self, endpoint: str, request: ForwardRequest) -> None:
        """Announce a generation that is about to be sent.

        Nothing is sent without a link or to an agent of an older version.
        """
        link = self._announcement_links.get(endpoint)
        if link is None or request.demand is None:
            return
        self._load_tracker.record_announcement(endpoint, request.request_id)
        notice = PromptNotice(
            request.request_id,
            _limit_tokens(request.demand.prompt_tokens),
            _limit_tokens(request.demand.expected_tokens),
        )
        send_or_log(link, notice, 'agent link: prompt notice')

    def end_prompt(self, endpoint: str, request_id: str) -> None:
        """State that it has its first event, or ended without one."""
        link = self._announcement_links.get(endpoint)
        if link is not None:
            send_or_log(link, PromptEnd(request_id), 'agent link: prompt end')

    def on_opened(self, endpoint: str, link: Link) -> None:
        """Use a link to the agent of an engine."""
        with self._lock:
            self._open_links[endpoint] = link
            self._reported_at_seconds.pop(endpoint, None)
            self._drop_announcements(endpoint)
        self._tell_version(endpoint)
        self.origins.on_opened(endpoint, link)
        self.endings.on_opened(endpoint, link)

    def on_closed(self, endpoint: str, link: Link) -> None:
        """Forget a link that has ended."""
        with self._lock:
            if self._open_links.get(endpoint) is link:
                self._open_links.pop(endpoint)
                self._reported_at_seconds.pop(endpoint, None)
                self._drop_announcements(endpoint)
                self.starts.forget_link(endpoint)
                self._moves.record_lost_agent(endpoint)
        self.origins.on_closed(endpoint, link)
        self.endings.on_closed(endpoint, link)

    def receive(self, endpoint: str, link: Link, notice: Message) -> None:
        """Handle one message from an agent."""
        match notice:
            case LoadReport():
                self._load_tracker.report(endpoint, notice)
                self._reported_at_seconds[endpoint] = time.monotonic()
                self._record_sign_of_life(endpoint, notice)
                self._advisories.record_report(endpoint, notice)
                self.on_load_report()
            case EnginePaceReport():
                self._record_pace(endpoint, link, notice)
            case EngineStartReport():
                self._record_start(endpoint, link, notice)
            case StreamedRunsQuery():
                self._answer_streamed_runs(endpoint, link, notice)
            case StopNotice():
                self._receive_stop_notice(endpoint, link, notice)
            case RunMoving():
                self._receive_move_start(endpoint, link, notice)
            case RunMoved():
                self._moves.record_move(notice)
            case StreamOriginReply():
                self.origins.on_reply(endpoint, notice)
            case RunEndingReply():
                self.endings.on_reply(endpoint, notice)
            case MoveTargetQuery():
                self._send_move_targets(endpoint, link, notice)

    def close_silent_links(self) -> None:
        """Close links whose agents have stopped to report."""
        oldest = time.monotonic() - SILENT_LINK_SECONDS
        with self._lock:
            silent = [
                (endpoint, link)
                for endpoint, link in self._open_links.items()
                if self._reported_at_seconds.get(endpoint, oldest) < oldest
            ]
        for endpoint, link in silent:
            logger.warning('agent link: %s is silent', endpoint)
            link.close()

    def _answer_streamed_runs(
        self, endpoint: str, link: Link, query: StreamedRunsQuery
    ) -> None:
        run_ids = [
            run_id
            for run_id in query.run_ids
            if self.record_sight(run_id, endpoint, link.peer.incarnation)
        ]
        if run_ids:
            send_or_log(
                link, StreamedRunsReply(run_ids), 'agent link: streamed runs'
            )

    def _receive_stop_notice(
        self, endpoint: str, link: Link, notice: StopNotice
    ) -> None:
        # The agent stops the run after the reply, so that the record is older
        # than the end that the stop causes.
        if self.record_announced_stop(
            notice.run_id, endpoint, link.peer.incarnation
        ):
            send_or_log(
                link,
                StopNoticeReply(notice.run_id),
                'agent link: stop reply',
            )

    def _receive_move_start(
        self, endpoint: str, link: Link, notice: RunMoving
    ) -> None:
        if notice.is_withdrawn:
            self._moves.withdraw_move(notice.run_id, endpoint, notice.handle)
            return
        # Agents of earlier builds send no other announcement.
        self.record_announced_stop(
            notice.run_id, endpoint, link.peer.incarnation
        )
        self._moves.record_move_start(
            notice.run_id, endpoint, notice.first_copy
        )

    def _record_sign_of_life(self, endpoint: str, report: LoadReport) -> None:
        if report.responsive:
            self.starts.record_sign_of_life(endpoint)
        else:
            self.starts.record_silent_engine(endpoint)

    def _record_start(
        self, endpoint: str, link: Link, report: EngineStartReport
    ) -> None:
        if report.endpoint != endpoint:
            logger.info(
                'agent link: %s reports the start of %s',
                endpoint,
                report.endpoint,
            )
            return
        with self._lock:
            # A closed link may bring its last messages later.
            if self._open_links.get(endpoint) is not link:
                return
            server = self._engines.find_server(endpoint)
            self.starts.record_report(report)
        if server is not None and is_other_start(server, report):
            self.starts.on_change()

    def _record_pace(
        self, endpoint: str, link: Link, report: EnginePaceReport
    ) -> None:
        with self._lock:
            # A closed link may bring its last messages after its successor
            # was opened.
            if self._open_links.get(endpoint) is link:
                self._paces.report(endpoint, report)
                self._announcement_links[endpoint] = link

    def _drop_announcements(self, endpoint: str) -> None:
        self._announcement_links.pop(endpoint, None)
        self._paces.drop(endpoint)
        self._load_tracker.forget_announcements(endpoint)

    def _watch_silence(self) -> Task:
        while not self._stopped:
            yield Pause(SILENCE_CHECK_SECONDS)
            self.close_silent_links()

    def _drop_unlisted(self, wanted: set[Endpoint]) -> None:
        now = time.monotonic()
        for address in list(self._dialers):
            if address in wanted:
                self._unlisted_since_seconds.pop(address, None)
                continue
            unlisted_since = self._unlisted_since_seconds.setdefault(
                address, now
            )
            if now - unlisted_since > UNLISTED_LINK_SECONDS:
                self._unlisted_since_seconds.pop(address)
                self._dialers.pop(address).stop()

    def _tell_version(self, endpoint: str) -> None:
        with self._lock:
            link = self._open_links.get(endpoint)
            notice = self._engines.build_notice(endpoint)
        if link is not None and notice is not None:
            # A lost notice is sent again over the next link.
            send_or_log(link, notice, 'agent link: engine version')

    def _send_move_targets(
        self, endpoint: str, link: Link, query: MoveTargetQuery
    ) -> None:
        with self._lock:
            origin = self._engines.find_origin(endpoint, query.service)
        if query.software_version:
            # The list may show an earlier start of the engine.
            origin = StreamOrigin(query.service, query.software_version)
        targets = list_move_targets(
            self._fleet,
            self._load_tracker,
            self._advisories.admits,
            origin,
            endpoint,
        )
        # A lost reply is harmless: the agent asks all entries, repeatedly.
        send_or_log(
            link,
            build_move_target_report(
                targets, self._list_full_data_centres(query.service)
            ),
            'agent link: move target report',
        )


class _AgentLink:
    """Handle the link to one agent."""

    def __init__(self, links: AgentLinks, endpoint: str) -> None:
        self._links = links
        self._endpoint = endpoint

    def on_opened(self, link: Link) -> None:
        """Use the new link."""
        logger.info('agent link: opened to %s', self._endpoint)
        self._links.on_opened(self._endpoint, link)

    def on_messages(self, link: Link, received: Sequence[Message]) -> None:
        """Handle messages from the agent."""
        for notice in received:
            self._links.receive(self._endpoint, link, notice)

    def on_closed(self, link: Link, reason: str) -> None:
        """Forget the link."""
        self._links.on_closed(self._endpoint, link)
        logger.info('agent link: link to %s ended: %s', self._endpoint, reason)


def _has_engine(fleet: Fleet, server: BackendServer) -> bool:
    service = fleet.find_service(server.service)
    return service is not None and service.engine is not None


def _stream_nothing(run_id: str, endpoint: str, incarnation: str) -> bool:
    return False


def _ignore_report() -> None:
    """Do nothing."""
