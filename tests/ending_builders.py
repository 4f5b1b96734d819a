"""Builders of runs whose connections have ended."""

import math
import time
from dataclasses import replace
from unittest.mock import Mock

from tests.forwarding_builders import (
    ENGINE_SERVICE,
    Clock,
    build_fleet,
    build_request,
    build_route,
    build_server,
)
from wasabistream.exceptions import BackendError
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.engine_states import EngineRun, EngineState
from wasabistream.forwarding.fleets import FleetHolder
from wasabistream.forwarding.move_outcomes import MoveOutcome
from wasabistream.forwarding.routes import RouteKind
from wasabistream.forwarding.supervisors import RequestWatch
from wasabistream.messages import Message
from wasabistream.run_endings.end_checkers import EndChecker
from wasabistream.run_endings.ending_exchanges import EndingExchange
from wasabistream.run_endings.ending_messages import (
    ENDINGS_VERSION,
    RunEndingQuery,
    RunEndingReply,
)

RUN_ID = 'request-1'
RUN = EngineRun(RUN_ID, 3000, 5, 1)
STARTED_UNIX_MS = 1_700_000_000_000


def build_state(
    *runs: EngineRun,
    leaving: bool = False,
    started_unix_ms: int = STARTED_UNIX_MS,
) -> EngineState:
    """Return the state of an engine with these runs."""
    return EngineState(
        len(runs),
        0,
        9000,
        30000,
        leaving,
        None,
        runs,
        started_unix_ms=started_unix_ms,
    )


class ScriptedEngine:
    """An engine that answers polls and final copies as a test sets."""

    def __init__(self) -> None:
        self.state_now: EngineState | None = build_state(RUN, leaving=True)
        # Answer to the order that stops the run; None if there is none.
        self.last_copy: MoveOutcome | None = build_copy(200)
        # Whether that order stops the run.
        self.stops = True
        # Whether the run ends by itself once it has been copied.
        self.ends_after_first_copy = False
        self.last_order_count = 0
        # Time for which a run is listed after the last order has stopped it.
        self.listed_run_seconds = math.inf
        self._last_order_at_seconds = math.inf

    def state(self) -> EngineState:
        """Return the state; raises BackendError."""
        listed_seconds = time.monotonic() - self._last_order_at_seconds
        if listed_seconds >= self.listed_run_seconds:
            self.end_run()
        if self.state_now is None:
            raise BackendError('gone', 'state', 'engine')
        return self.state_now

    def copy_run(
        self, run_id: str, target_endpoint: str, *, final: bool
    ) -> MoveOutcome:
        """Copy the run; raises BackendError."""
        if not final:
            if self.ends_after_first_copy:
                self.end_run()
            return build_copy(200, 'first')
        self.last_order_count += 1
        self._last_order_at_seconds = time.monotonic()
        if self.stops:
            self.end_run()
        if self.last_copy is None:
            raise BackendError('time-out', 'copy', 'engine')
        return self.last_copy

    def end(self) -> None:
        """Answer no more."""
        self.state_now = None

    def end_run(self) -> None:
        """List the run no longer."""
        if self.state_now is not None:
            self.state_now = replace(self.state_now, runs=())


def build_copy(status: int, handle: str = '') -> MoveOutcome:
    """Return the answer to an order to copy a run."""
    return MoveOutcome(
        status == 200 and handle != '',
        handle,
        status == 503,
        status,
        in_conflict=status == 409,
    )


def build_engine_server() -> BackendServer:
    """Return the listed engine."""
    return replace(
        build_server(1, service=ENGINE_SERVICE),
        started_unix_ms=STARTED_UNIX_MS,
    )


class EndCase:
    """An entry at which the connection of a run has ended."""

    def __init__(self, service: str = ENGINE_SERVICE) -> None:
        self.server = replace(build_engine_server(), service=service)
        holder = FleetHolder()
        holder.current = build_fleet(self.server)
        self.exchange = EndingExchange()
        self.engines = Mock()
        self.engines.read.return_value = build_state()
        self.boot_clock = Clock()
        self.probe = Mock()
        self.checker = EndChecker(
            holder,
            self.exchange,
            self.engines,
            self.probe,
            self.boot_clock,
        )
        self.watch = RequestWatch(
            build_request(build_route(RouteKind.streaming), RUN_ID), Mock()
        )
        self.watch.attach(self.server.endpoint, Mock())
        self.link = Mock()
        self.link.peer.version_max = ENDINGS_VERSION
        self.link.peer.incarnation = 'agent-1'
        # What the agent answers; None for no answer.
        self.answer: str | None = None
        self.link.send.side_effect = self.receive

    def open_link(self) -> None:
        """Open the link to the agent of the engine."""
        self.exchange.on_opened(self.server.endpoint, self.link)

    def announce_stop(self) -> None:
        """Receive the announcement of a stop over the link."""
        self.watch.announced_stops[self.server.endpoint] = frozenset(
            (self.link.peer.incarnation,)
        )

    def receive(self, query: Message) -> None:
        """Handle a message to the agent."""
        if isinstance(query, RunEndingQuery) and self.answer is not None:
            self.exchange.on_reply(
                self.server.endpoint, RunEndingReply(query.number, self.answer)
            )

    def is_accepted(self) -> bool:
        """Return whether the end counts as that of the answer."""
        try:
            self.checker.check(self.server, self.watch)
        except BackendError:
            return False
        return True
