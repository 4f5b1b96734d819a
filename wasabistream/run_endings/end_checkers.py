"""Check of answers that end with their connection."""

import logging
import time
from collections.abc import Callable
from functools import partial

from wasabistream.exceptions import BackendError
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.engine_states import EngineState
from wasabistream.forwarding.fleets import FleetHolder
from wasabistream.forwarding.poison_request_guards import ServerProbe
from wasabistream.forwarding.supervisors import (
    CutReason,
    RequestWatch,
    cut_request,
)
from wasabistream.metrics import CONNECTION_ENDS
from wasabistream.run_endings.boot_clocks import read_boot_clock
from wasabistream.run_endings.ending_exchanges import EndingExchange
from wasabistream.run_endings.endings import (
    EndedRun,
    RunEnding,
    judge_by_engine,
)
from wasabistream.run_endings.interfaces import EngineReports
from wasabistream.run_endings.listed_runs import (
    BROKEN_OFF_SECONDS,
    LAST_RUNS_SECONDS,
)
from wasabistream.run_endings.own_ends import (
    EndedAttempt,
    OwnEnd,
    find_own_end,
)
from wasabistream.run_endings.report_reads import read_late_report
from wasabistream.run_endings.server_probes import outlives_answer
from wasabistream.run_endings.stop_messages import STOP_NOTICES_VERSION

logger = logging.getLogger(__name__)

# Time for an agent to answer, which looks twice at an engine that leaves.
ANSWER_SECONDS = BROKEN_OFF_SECONDS + 0.5
# The same for the agent that has announced a stop. Nobody else can answer, and
# one report of its engine may be late.
ANNOUNCER_SECONDS = ANSWER_SECONDS + 1.0
# Time for the link to an agent that has just started, if none was open during the
# run.
LINK_SECONDS = 0.5
# Time in which the last order of an agent that has ended takes effect.
LAST_ORDER_SECONDS = 1.0
# An engine's report is as of some hundred milliseconds ago, so it may list a
# run that has ended for this long.
REPORT_DELAY_SECONDS = 0.5
REPORT_INTERVAL_SECONDS = 0.1


class EndChecker:
    """Accept an end only if the system did not stop the run.

    A server that stops at the deadline which it was told closes the connection
    as it does after the last byte, and so does an engine that stops a run to
    move it. Agents announce each stop and wait for this entry's reply, so an end
    that none has announced is the run's own, or its engine's. After an
    announcement, only the agent that made it can tell that the run has ended by
    itself. The kernel ends the connections of a process that crashes in the same
    way: engines are asked, and plain servers must accept a connection. In doubt,
    the answer counts as broken off.
    """

    def __init__(
        self,
        fleet: FleetHolder,
        agents: EndingExchange,
        engines: EngineReports,
        probe: ServerProbe,
        boot_clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        self._boot_clock = boot_clock
        self._fleet = fleet
        self._agents = agents
        self._engines = engines
        self._probe = probe

    def check(self, server: BackendServer, watch: RequestWatch) -> None:
        """Raise BackendError unless the run at the server is complete."""
        started = time.monotonic()
        ended_at_seconds = self._boot_clock()
        announcers = watch.announced_stops.get(server.endpoint, frozenset())
        own_end = find_own_end(
            EndedAttempt(
                watch.reason, watch.server_deadline_seconds, announcers
            ),
            ended_at_seconds,
        )
        run = EndedRun(
            watch.request.request_id,
            watch.attempt_age_seconds,
            server.started_unix_ms,
            watch.was_reported_silent,
            watch.was_given_up,
            tuple(watch.used_handles),
        )
        agent_version = self._agents.find_version_within(
            server.endpoint, run.age_seconds
        )
        if own_end is None:
            ending, source = self._judge(server, watch, run, agent_version)
        elif own_end is OwnEnd.announcement:
            source = own_end.value
            ending = self._ask_announcer(server, watch, run, announcers)
        else:
            source = own_end.value
            ending = RunEnding.stopped
        CONNECTION_ENDS.labels(ending, source).inc()
        logger.info(
            'answer: ended with its connection: %s',
            ending,
            extra={
                'request_id': run.run_id,
                'endpoint': server.endpoint,
                'event_count': watch.event_count,
                'ending': ending,
                'source': source,
                'had_agent': agent_version is not None,
                'is_moving': bool(announcers),
                'deadline_left_seconds': round(
                    watch.server_deadline_seconds - ended_at_seconds, 3
                ),
                'seconds': round(time.monotonic() - started, 4),
            },
        )
        if own_end is OwnEnd.deadline:
            # The request's deadline is that of its server.
            cut_request(watch, CutReason.timeout)
        if ending is not RunEnding.complete:
            raise BackendError(
                f'connection ended, run is {ending}', 'end', server.endpoint
            )

    def _judge(
        self,
        server: BackendServer,
        watch: RequestWatch,
        run: EndedRun,
        agent_version: int | None,
    ) -> tuple[RunEnding, str]:
        """Return how a run ended that this entry has not ended, and the source.

        Only servers of services with engines have agents.
        """
        if not self._fleet.has_engines(server.service):
            is_alive = outlives_answer(
                partial(self._probe.probe, server),
                run.run_id,
                lambda: watch.is_ended,
            )
            ending = RunEnding.complete if is_alive else RunEnding.interrupted
            return ending, 'probe'
        ending = self._ask_agent(server, watch, run)
        if ending is not RunEnding.unknown:
            return ending, 'agent'
        return (
            self._judge_unannounced(server, watch, run, agent_version),
            'engine',
        )

    def _ask_agent(
        self,
        server: BackendServer,
        watch: RequestWatch,
        run: EndedRun,
        required_incarnation: str = '',
        limit_seconds: float = ANSWER_SECONDS,
    ) -> RunEnding:
        """Return what the agent states; unknown if it does not answer."""

        def wait_seconds() -> float:
            return 0 if watch.is_ended else limit_seconds

        found = self._agents.ask(
            server.endpoint, run, wait_seconds, required_incarnation
        )
        return found or RunEnding.unknown

    def _ask_announcer(
        self,
        server: BackendServer,
        watch: RequestWatch,
        run: EndedRun,
        announcers: frozenset[str],
    ) -> RunEnding:
        """Return what the agent states that may have stopped the run.

        If several may have, none of them knows all orders. Those of an agent
        that ended a while before have had their effect.
        """
        linked = self._agents.find_incarnation(server.endpoint)
        if linked not in announcers:
            return RunEnding.unknown
        if len(announcers) > 1 and not self._agents.has_been_replaced(
            server.endpoint, LAST_ORDER_SECONDS
        ):
            return RunEnding.unknown
        return self._ask_agent(server, watch, run, linked, ANNOUNCER_SECONDS)

    def _judge_unannounced(
        self,
        server: BackendServer,
        watch: RequestWatch,
        run: EndedRun,
        agent_version: int | None,
    ) -> RunEnding:
        """Return how a run ended whose stop was not announced.

        Agents announce all stops but those of runs that were given up. Agents
        of earlier builds do not, and one that has just started may have stopped
        the run before its link is open.
        """
        ending = self._ask_engine(server, watch, run)
        if ending is not RunEnding.unknown:
            return ending
        # A request that has ended leaves no time for the second look.
        if watch.is_ended:
            return ending
        if agent_version is None:
            return self._ask_late_agent(server, watch, run)
        if run.was_given_up or agent_version < STOP_NOTICES_VERSION:
            return ending
        return RunEnding.complete

    def _ask_late_agent(
        self, server: BackendServer, watch: RequestWatch, run: EndedRun
    ) -> RunEnding:
        found = RunEnding.unknown
        if self._agents.wait_for_link(server.endpoint, LINK_SECONDS):
            found = self._ask_agent(server, watch, run)
        if found is RunEnding.unknown:
            return RunEnding.complete
        return found

    def _ask_engine(
        self, server: BackendServer, watch: RequestWatch, run: EndedRun
    ) -> RunEnding:
        give_up_at_seconds = time.monotonic() + REPORT_DELAY_SECONDS
        # An engine that leaves may break its runs off and end right after.
        is_confirmed = False
        while True:
            state = self._read_state(server, watch, give_up_at_seconds)
            if state is None:
                return RunEnding.interrupted
            ending = judge_by_engine(run, state)
            if watch.is_ended:
                return ending
            if ending is not RunEnding.interrupted:
                if is_confirmed or not state.leaving:
                    return ending
                is_confirmed = True
                time.sleep(LAST_RUNS_SECONDS)
                continue
            if time.monotonic() >= give_up_at_seconds:
                return ending
            time.sleep(REPORT_INTERVAL_SECONDS)

    def _read_state(
        self,
        server: BackendServer,
        watch: RequestWatch,
        give_up_at_seconds: float,
    ) -> EngineState | None:
        """Return the state of an engine; None if it does not answer."""
        try:
            return read_late_report(
                self._engines,
                server,
                lambda: watch.is_ended,
                give_up_at_seconds - time.monotonic(),
            )
        except BackendError as error:
            logger.info(
                'answer: state of its engine is not known: %s',
                error,
                extra={'request_id': watch.request.request_id},
            )
        return None
