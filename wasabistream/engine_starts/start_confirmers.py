"""Confirmation that the start of an engine is the one that is listed."""

import logging
import math
from enum import StrEnum
from typing import Protocol

from wasabistream.engine_starts.start_tables import EngineStartTable
from wasabistream.exceptions import BackendError
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.engine_states import EngineState
from wasabistream.forwarding.fleets import FleetHolder
from wasabistream.run_endings.interfaces import EngineReports
from wasabistream.run_endings.report_reads import read_late_report

logger = logging.getLogger(__name__)


class StartCheck(StrEnum):
    """State whether the listed start of an engine serves."""

    confirmed = 'confirmed'
    # Another start serves.
    replaced = 'replaced'
    # The engine does not answer.
    unknown = 'unknown'


class StartConfirmer(Protocol):
    """Confirm the start of the server that has begun an answer."""

    def confirm(
        self,
        server: BackendServer,
        *,
        asks_engine: bool,
        since_seconds: float = -math.inf,
    ) -> StartCheck:
        """Return whether the start serves that the server is known by.

        Statements count that came since a time of the boot clock.
        """

    def is_reported(self, server: BackendServer, since_seconds: float) -> bool:
        """Return whether the agent has confirmed the start since a time.

        The time is that of the boot clock.
        """


class TrustList:
    """Take the list as it is."""

    def confirm(
        self,
        server: BackendServer,
        *,
        asks_engine: bool,
        since_seconds: float = -math.inf,
    ) -> StartCheck:
        """Return that the listed start serves."""
        return StartCheck.confirmed

    def is_reported(self, server: BackendServer, since_seconds: float) -> bool:
        """Return that the listed start serves."""
        return True


class EngineStartConfirmer:
    """Compare the listed start with what the agent or the engine states.

    To be used once the server has begun its answer: a connection does not
    outlive a restart, so an engine that states the listed start after that has
    made the answer. This holds for later statements too: a start that was
    listed before the answer and still serves has served in between.
    """

    def __init__(
        self,
        fleet: FleetHolder,
        starts: EngineStartTable,
        engines: EngineReports,
    ) -> None:
        self._fleet = fleet
        self._starts = starts
        self._engines = engines

    def confirm(
        self,
        server: BackendServer,
        *,
        asks_engine: bool,
        since_seconds: float = -math.inf,
    ) -> StartCheck:
        """Return whether the start serves that the server is known by.

        Without `asks_engine`, a report of the engine's agent is enough that came
        since a time of the boot clock, and a late answer does not hold up the
        first event of a stream.
        """
        has_engine = self._fleet.has_engines(server.service)
        if not has_engine or not server.started_unix_ms:
            return StartCheck.confirmed
        if not asks_engine and self._starts.is_confirmed(server, since_seconds):
            return StartCheck.confirmed
        try:
            state = self._read_state(server, asks_engine=asks_engine)
        except BackendError as error:
            logger.info(
                'start: not confirmed: %s',
                error,
                extra={'endpoint': server.endpoint},
            )
            return StartCheck.unknown
        started_unix_ms = state.started_unix_ms
        if started_unix_ms in {0, server.started_unix_ms}:
            return StartCheck.confirmed
        logger.warning(
            'start: %s has started again',
            server.endpoint,
            extra={
                'server_id': server.server_id,
                'software_version': server.software_version,
                'listed_unix_ms': server.started_unix_ms,
                'started_unix_ms': started_unix_ms,
            },
        )
        self._starts.record_answer(server, started_unix_ms)
        return StartCheck.replaced

    def is_reported(self, server: BackendServer, since_seconds: float) -> bool:
        """Return whether the agent has confirmed the start since a time."""
        return self._starts.is_confirmed(server, since_seconds)

    def _read_state(
        self, server: BackendServer, *, asks_engine: bool
    ) -> EngineState:
        if asks_engine:
            return read_late_report(self._engines, server)
        return self._engines.read(server)
