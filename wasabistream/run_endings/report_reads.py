"""Reads of engines' reports, which may be late."""

import logging
from collections.abc import Callable

from wasabistream.exceptions import BackendTimeoutError
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.engine_states import EngineState
from wasabistream.run_endings.interfaces import EngineReports

logger = logging.getLogger(__name__)


def read_late_report(
    engines: EngineReports,
    server: BackendServer,
    may_read_again: Callable[[], bool],
) -> EngineState:
    """Return the state of an engine, read again while it does not answer in time.

    A busy engine, unlike one that has ended, may answer the next query. Raises
    BackendError.
    """
    while True:
        try:
            return engines.read(server)
        except BackendTimeoutError as error:
            if not may_read_again():
                raise
            logger.info('engine: is read again: %s', error)
