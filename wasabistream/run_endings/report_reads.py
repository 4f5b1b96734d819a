"""Reads of engines' reports, which may be late."""

import logging
import time
from collections.abc import Callable

from wasabistream.exceptions import BackendTimeoutError
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.engine_states import EngineState
from wasabistream.run_endings.interfaces import EngineReports

logger = logging.getLogger(__name__)

# Time in which a report that is late is read again where a stream depends on it.
LATE_REPORT_SECONDS = 0.5


def _goes_on() -> bool:
    return False


def read_late_report(
    engines: EngineReports,
    server: BackendServer,
    is_ended: Callable[[], bool] = _goes_on,
    limit_seconds: float = LATE_REPORT_SECONDS,
) -> EngineState:
    """Return the state of an engine, read again while it does not answer in time.

    A busy engine, unlike one that has ended, may answer the next query. Raises
    BackendError.
    """
    give_up_at_seconds = time.monotonic() + limit_seconds
    while True:
        try:
            return engines.read(server)
        except BackendTimeoutError as error:
            if is_ended() or time.monotonic() >= give_up_at_seconds:
                raise
            logger.info('engine: is read again: %s', error)
