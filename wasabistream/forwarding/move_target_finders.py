"""Search for move targets: engines that can take over generations."""

import logging
import random
import threading
import time
from collections.abc import Callable
from enum import StrEnum

from wasabistream.continuations.stream_origins import StreamOrigin
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


class MoveShortage(StrEnum):
    """Why there is no move target for a generation."""

    version_unknown = 'software version unknown'
    no_engine_of_version = 'no engine of the software version'
    no_memory = 'no memory'


def _never() -> bool:
    return False


class MoveTargetFinder:
    """Find move targets from the reports of the entries.

    Only engines of the own engine's software version are used. Entries leave
    out others, but those of earlier builds do not, and an entry may answer by
    a list that is out of date.
    """

    def __init__(
        self,
        find_origin: Callable[[], StreamOrigin],
        data_centre: str,
        broadcast: Callable[[Message], None],
        spreads_targets: Callable[[], bool] = _never,
    ) -> None:
        # Returns the origin of the streams that the engine begins.
        self._find_origin = find_origin
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
            targets = self._select_usable(
                decode_move_targets(
                    report.rows,
                    report.full_data_centres,
                    report.software_versions,
                    report.starts_unix_ms,
                )
            )
        except (TypeError, ValueError) as error:
            logger.warning('mover: move target report is malformed: %r', error)
            return
        if len(targets) >= len(self._targets) or self._is_outdated():
            self._targets = targets
            self._updated_seconds = time.monotonic()
        if self._targets:
            # Others may list usable ones if this report does not.
            self._report_received.set()

    def is_remote(self, target: MoveTarget) -> bool:
        """Return whether a move target is in another data centre."""
        return target.data_centre != self._data_centre

    def find(
        self, run: EngineRun, reserve_tokens: int, *, remote_affordable: bool
    ) -> MoveTarget | None:
        """Return a target with memory for a generation plus a reserve."""
        origin = self._find_origin()
        if not origin.software_version:
            return None
        if self._is_outdated():
            self._report_received.clear()
            self._broadcast(
                MoveTargetQuery(origin.service, origin.software_version)
            )
            self._report_received.wait(REPORT_WAIT_SECONDS)
        return choose_move_target(
            self._select_usable(self._targets),
            self._data_centre,
            run.memory_tokens + reserve_tokens,
            remote_affordable=remote_affordable,
            generator=self._generator if self._spreads_targets() else None,
        )

    def find_any(self) -> MoveTarget | None:
        """Return the least busy target, whether it has room or not."""
        return min(
            self._select_usable(self._targets),
            key=lambda target: target.request_count,
            default=None,
        )

    def find_shortage(self) -> MoveShortage:
        """Return why the last search has found no target."""
        if not self._find_origin().software_version:
            return MoveShortage.version_unknown
        if not self._select_usable(self._targets):
            return MoveShortage.no_engine_of_version
        return MoveShortage.no_memory

    def _select_usable(self, targets: list[MoveTarget]) -> list[MoveTarget]:
        version = self._find_origin().software_version
        return [
            target
            for target in targets
            if version and target.software_version == version
        ]

    def _is_outdated(self) -> bool:
        return time.monotonic() - self._updated_seconds > REPORT_MAX_AGE_SECONDS
