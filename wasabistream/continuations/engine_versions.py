"""Software version of an agent's engine, as the entries tell it."""

import logging
import threading
import time
from collections import OrderedDict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
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

# Starts whose versions are kept. Lists of different ages name several.
MAX_START_COUNT = 8
# Time in which entries list an engine that has restarted, if the store answers.
RELIST_SECONDS = 5.0


class EngineVersion:
    """Keep what entries tell about the latest start of an engine.

    An engine may restart under its id at another version, and entries may list
    it later than it answers, or not at all. The version is what was told of the
    start that the engine states.

    An engine that does not state its start is distrusted after a gap in its
    answers: its version is unknown until RELIST_SECONDS have passed or a later
    start is told. A start within the gap is that of the engine that answers
    again; both are on one machine, so their clocks agree.
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
        # As the engine stated it last; 0 if it does not.
        self._started_unix_ms = 0
        # Versions that were told, by start; the oldest are evicted.
        self._versions: OrderedDict[int, str] = OrderedDict()
        # Called when the start, or what is known of it, has changed.
        self.on_change: Callable[[], None] = _ignore_change
        # Until when the version that was told may be that before a restart.
        self._doubtful_until_seconds = 0.0

    @property
    def origin(self) -> StreamOrigin:
        """Return the origin of the streams that the engine begins."""
        with self._lock:
            version = ''
            if self._failed_poll_count < RESTART_POLL_COUNT:
                version = self._find_version()
        return StreamOrigin(self._service, version)

    @property
    def start(self) -> tuple[int, str]:
        """Return the start that the engine stated last, and its version."""
        with self._lock:
            return self._started_unix_ms, self._find_version()

    def record_notice(self, notice: EngineVersionNotice) -> None:
        """Use a notice unless it is about an earlier start."""
        if notice.service != self._service:
            logger.info('engine version: other service %s', notice.service)
            return
        with self._observe_change(), self._lock:
            self._keep_version(notice)
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
        """Take the engine's start; without one, distrust it after a gap."""
        with self._observe_change(), self._lock:
            self._started_unix_ms = state.started_unix_ms
            told = self._told
            if self._failed_poll_count >= RESTART_POLL_COUNT and not (
                told is not None and self._is_after_gap(told)
            ):
                self._doubtful_until_seconds = self._clock() + RELIST_SECONDS
            self._failed_poll_count = 0

    @contextmanager
    def _observe_change(self) -> Iterator[None]:
        before = self.start
        yield
        if self.start != before:
            self.on_change()

    def _find_version(self) -> str:
        told = self._told
        if told is None:
            return ''
        # Lists may not state starts either.
        if self._started_unix_ms and told.started_unix_ms:
            return self._versions.get(self._started_unix_ms, '')
        is_doubtful = self._clock() < self._doubtful_until_seconds
        return '' if is_doubtful else told.software_version

    def _keep_version(self, notice: EngineVersionNotice) -> None:
        self._versions.pop(notice.started_unix_ms, None)
        self._versions[notice.started_unix_ms] = notice.software_version
        while len(self._versions) > MAX_START_COUNT:
            self._versions.popitem(last=False)

    def _is_after_gap(self, notice: EngineVersionNotice) -> bool:
        return notice.started_unix_ms >= self._gap_began_unix_ms


def _ignore_change() -> None:
    """Do nothing."""


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
