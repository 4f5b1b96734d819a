"""Whether an engine goes on with a run, by its reports."""

import logging
import time
from collections.abc import Callable
from typing import Protocol

from wasabistream.exceptions import BackendError, BackendTimeoutError
from wasabistream.forwarding.engine_states import EngineState
from wasabistream.run_endings.endings import lists_run

# An engine may list a run for a moment after it has closed its connection.
LISTED_RUN_SECONDS = 0.2
POLL_INTERVAL_SECONDS = 0.02
# An engine that leaves and breaks its runs off mostly ends within this time.
LAST_RUNS_SECONDS = 0.2
# The same where several runs have ended at one moment, as runs that are done rarely
# do. Such an engine may report for a while before its process ends.
BROKEN_OFF_SECONDS = 1.0

logger = logging.getLogger(__name__)


class PolledEngine(Protocol):
    """An engine whose state can be read."""

    def state(self) -> EngineState:
        """Return the engine's state; raises BackendError."""


def is_still_listed(
    engine: PolledEngine,
    run_id: str,
    clock: Callable[[], float] = time.monotonic,
) -> bool:
    """Return whether an engine lists a run and goes on to do so.

    Raises BackendError.
    """
    give_up_at_seconds = clock() + LISTED_RUN_SECONDS
    while lists_run(_read_state(engine), run_id):
        if clock() >= give_up_at_seconds:
            return True
        time.sleep(POLL_INTERVAL_SECONDS)
    return False


def outlives_its_runs(
    engine: PolledEngine, has_concurrent_ends: Callable[[], bool]
) -> bool:
    """Return whether an engine serves on after the end of a run.

    One that leaves is asked again: its last runs may end with it. `has_concurrent_ends`
    tells whether other runs have ended at the same moment; the outcome of an order
    may show that it has stopped these.
    """
    try:
        state = _read_state(engine)
        if not state.leaving:
            return True
        time.sleep(LAST_RUNS_SECONDS)
        later_state = _read_state(engine)
        if _holds(has_concurrent_ends, BROKEN_OFF_SECONDS - LAST_RUNS_SECONDS):
            later_state = _read_state(engine)
    except BackendError as error:
        logger.info('engine: has ended after a run: %s', error)
        return False
    return later_state.started_unix_ms == state.started_unix_ms


def _holds(condition: Callable[[], bool], seconds: float) -> bool:
    """Return whether a condition holds for a time; returns once it does not."""
    give_up_at_seconds = time.monotonic() + seconds
    while condition():
        if time.monotonic() >= give_up_at_seconds:
            return True
        time.sleep(POLL_INTERVAL_SECONDS)
    return False


def _read_state(engine: PolledEngine) -> EngineState:
    """Return the state of an engine, which may be late once as it is busy.

    Raises BackendError.
    """
    try:
        return engine.state()
    except BackendTimeoutError as error:
        logger.info('engine: is read again: %s', error)
        return engine.state()
