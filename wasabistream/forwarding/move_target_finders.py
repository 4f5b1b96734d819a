"""Search for move targets: engines that can take over generations."""

import logging
import random
import threading
import time
from collections.abc import Callable

from wasabistream.forwarding.engine_states import EngineRun
from wasabistream.forwarding.move_messages import (
    MoveTargetQuery,
    MoveTargetReport,
)
from wasabistream.forwarding.move_targets import (
    MoveTarget,
    choose_move_target,
    decode_move_targets,
)
from wasabistream.messages import Message

logger = logging.getLogger(__name__)

# Time to wait for reports; entries answer within one round trip in the region.
REPORT_WAIT_SECONDS = 0.05
# Entries are asked again when the last report is older.
REPORT_MAX_AGE_SECONDS = 0.3


def _never() -> bool:
    return False


class MoveTargetFinder:
    """Find move targets from the reports of the entries."""

    def __init__(
        self,
        service: str,
        data_centre: str,
        broadcast: Callable[[Message], None],
        spreads_targets: Callable[[], bool] = _never,
    ) -> None:
        self._service = service
        # Returns whether to sample targets, as for scheduled services.
        self._spreads_targets = spreads_targets
        self._generator = random.Random()
        self._data_centre = data_centre
        self._broadcast = broadcast
        self._targets: list[MoveTarget] = []
        self._updated_seconds = 0.0
        self._report_received = threading.Event()

    def on_report(self, report: MoveTargetReport) -> None:
        """Use the targets in a report unless a recent one lists more."""
        try:
            targets = decode_move_targets(report.rows, report.full_data_centres)
        except (TypeError, ValueError) as error:
            logger.warning('mover: move target report is malformed: %r', error)
            return
        if len(targets) >= len(self._targets) or self._is_outdated():
            self._targets = targets
            self._updated_seconds = time.monotonic()
        self._report_received.set()

    def is_remote(self, target: MoveTarget) -> bool:
        """Return whether a move target is in another data centre."""
        return target.data_centre != self._data_centre

    def find(
        self, run: EngineRun, reserve_tokens: int, *, remote_affordable: bool
    ) -> MoveTarget | None:
        """Return a target with memory for a generation plus a reserve."""
        if self._is_outdated():
            self._report_received.clear()
            self._broadcast(MoveTargetQuery(self._service))
            self._report_received.wait(REPORT_WAIT_SECONDS)
        return choose_move_target(
            self._targets,
            self._data_centre,
            run.memory_tokens + reserve_tokens,
            remote_affordable=remote_affordable,
            generator=self._generator if self._spreads_targets() else None,
        )

    def _is_outdated(self) -> bool:
        return time.monotonic() - self._updated_seconds > REPORT_MAX_AGE_SECONDS
