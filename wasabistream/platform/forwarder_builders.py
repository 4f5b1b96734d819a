"""Builder of the forwarders of an entry."""

from collections.abc import Callable
from dataclasses import dataclass

from wasabistream.engine_starts.start_confirmers import EngineStartConfirmer
from wasabistream.forwarding.agent_links import AgentLinks
from wasabistream.forwarding.answer_buffers import AnswerBuffers
from wasabistream.forwarding.attempts import AttemptSender
from wasabistream.forwarding.failure_rates import FailureRates
from wasabistream.forwarding.fleets import FleetHolder
from wasabistream.forwarding.move_trackers import MoveTracker
from wasabistream.forwarding.poison_request_guards import (
    PoisonRequestGuard,
    ServerProbe,
)
from wasabistream.forwarding.refusals import Refuser
from wasabistream.forwarding.server_choosers import ServerChooser
from wasabistream.forwarding.stream_forwarders import StreamForwarder
from wasabistream.forwarding.unary_forwarders import UnaryForwarder
from wasabistream.platform.engine_clients import EngineReportClient
from wasabistream.queueing.interfaces import StartGate
from wasabistream.run_endings.abandoned_runs import AbandonedRunWaiter
from wasabistream.run_endings.end_checkers import EndChecker


@dataclass(frozen=True)
class ForwarderBuilder:
    """Hold the parts that the forwarders of an entry share."""

    fleet: FleetHolder
    chooser: ServerChooser
    sender: AttemptSender
    failure_rates: FailureRates
    poison_guard: PoisonRequestGuard
    buffers: AnswerBuffers
    refuser: Refuser
    agent_links: AgentLinks
    moves: MoveTracker
    probe: ServerProbe
    # Returns whether the list of servers is that of the store at present.
    is_list_current: Callable[[], bool]

    def build_unary(self) -> UnaryForwarder:
        """Return the forwarder of requests that are not streamed."""
        unary = UnaryForwarder(
            self.chooser,
            self.sender,
            self.failure_rates,
            self.poison_guard,
            self.buffers,
            self.refuser,
        )
        unary.ends = self._build_end_checker()
        return unary

    def build_streams(self, starts: StartGate) -> StreamForwarder:
        """Return the forwarder of streams, which begin as `starts` decides."""
        streams = StreamForwarder(
            self.fleet,
            self.chooser,
            self.sender,
            self.failure_rates,
            self.moves,
            self.poison_guard,
            self.buffers,
            self.refuser,
        )
        streams.starts = starts
        streams.resumes = self.agent_links.build_resumer(
            self.fleet, self.is_list_current
        )
        streams.ends = self._build_end_checker()
        streams.handovers = AbandonedRunWaiter(
            EngineReportClient(), self.moves, self.agent_links.report_silent_run
        )
        streams.continuations.starts = EngineStartConfirmer(
            self.fleet, self.agent_links.starts, EngineReportClient()
        )
        return streams

    def _build_end_checker(self) -> EndChecker:
        return EndChecker(
            self.fleet,
            self.agent_links.endings,
            EngineReportClient(),
            self.probe,
        )
