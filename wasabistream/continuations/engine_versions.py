"""Software version of an agent's engine, as the entries tell it."""

import logging
import threading
import time
from collections.abc import Callable
from typing import Protocol

from wasabistream.continuations.stream_origins import StreamOrigin
from wasabistream.continuations.version_messages import EngineVersionNotice
from wasabistream.exceptions import BackendError
from wasabistream.forwarding.engine_states import EngineState
from wasabistream.forwarding.move_outcomes import MoveOutcome
from wasabistream.forwarding.run_movers import AgentEngine
from wasabistream.run_endings.engine_continuity import RESTART_POLL_COUNT
from wasabistream.units import MILLISECONDS_PER_SECOND

logger = logging.getLogger(__name__)

# Time in which entries list an engine that has restarted, if the store answers.
RELIST_SECONDS = 5.0


class EngineVersion:
    """Keep what entries tell about the latest start of an engine.

    An engine may restart under its id at another version, and entries may list
    it later than it answers. After a gap in its answers the version is unknown
    until RELIST_SECONDS have passed or a later start is told. A start within the
    gap is that of the engine that answers again; both are on one machine, so
    their clocks agree.
    """

    def __init__(
        self,
        service: str,
        clock: Callable[[], float] = time.monotonic,
        unix_clock: Callable[[], float] = time.time,
    ) -> None:
        self._service = service
        self._clock = clock
        self._unix_clock = unix_clock
        self._lock = threading.Lock()
        self._told: EngineVersionNotice | None = None
        self._failed_poll_count = 0
        self._gap_began_unix_ms = 0.0
        # Until when the version that was told may be that before a restart.
        self._doubtful_until_seconds = 0.0

    @property
    def origin(self) -> StreamOrigin:
        """Return the origin of the streams that the engine begins."""
        with self._lock:
            told = self._told
            is_known = (
                told is not None
                and self._failed_poll_count < RESTART_POLL_COUNT
                and self._clock() >= self._doubtful_until_seconds
            )
            version = told.software_version if told and is_known else ''
        return StreamOrigin(self._service, version)

    def record_notice(self, notice: EngineVersionNotice) -> None:
        """Use a notice unless it is about an earlier start."""
        if notice.service != self._service:
            logger.info('engine version: other service %s', notice.service)
            return
        with self._lock:
            told = self._told
            if told == notice:
                return
            if told is not None:
                if notice.started_unix_ms < told.started_unix_ms:
                    return
                if notice.started_unix_ms > told.started_unix_ms:
                    self._doubtful_until_seconds = 0
            elif self._is_after_gap(notice):
                self._doubtful_until_seconds = 0
            self._told = notice
        logger.info(
            'engine version: told',
            extra={
                'software_version': notice.software_version,
                'started_unix_ms': notice.started_unix_ms,
            },
        )

    def record_failed_poll(self) -> None:
        """Count a poll that the engine has not answered."""
        with self._lock:
            if not self._failed_poll_count:
                self._gap_began_unix_ms = (
                    self._unix_clock() * MILLISECONDS_PER_SECOND
                )
            self._failed_poll_count += 1

    def record_answered_poll(self, state: EngineState) -> None:
        """Distrust the version for a while if polls failed before."""
        with self._lock:
            told = self._told
            if self._failed_poll_count >= RESTART_POLL_COUNT and not (
                told is not None and self._is_after_gap(told)
            ):
                self._doubtful_until_seconds = self._clock() + RELIST_SECONDS
            self._failed_poll_count = 0

    def _is_after_gap(self, notice: EngineVersionNotice) -> bool:
        return notice.started_unix_ms >= self._gap_began_unix_ms


class PollObserver(Protocol):
    """Observe the polls of an engine."""

    def record_failed_poll(self) -> None:
        """Record a poll that the engine has not answered."""

    def record_answered_poll(self, state: EngineState) -> None:
        """Record the state that a poll has returned."""


class VersionedEngine:
    """Observe the polls of an engine, for its version and its restarts."""

    def __init__(self, engine: AgentEngine, *observers: PollObserver) -> None:
        self._engine = engine
        self._observers = observers

    def state(self) -> EngineState:
        """Return the engine's state; raises BackendError."""
        try:
            state = self._engine.state()
        except BackendError:
            for observer in self._observers:
                observer.record_failed_poll()
            raise
        for observer in self._observers:
            observer.record_answered_poll(state)
        return state

    def copy_run(
        self, run_id: str, target_endpoint: str, *, final: bool
    ) -> MoveOutcome:
        """Copy a generation; raises BackendError."""
        return self._engine.copy_run(run_id, target_endpoint, final=final)
