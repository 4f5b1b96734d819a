"""Holds of peers that have seen a return of the store earlier."""

import logging
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from wasabistream.restores.restored_items import Hold

logger = logging.getLogger(__name__)

PENDING_SECONDS = 5.0
# Several configurations of 1 MB, or thousands of servers.
MAX_PENDING_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class _PendingHold:
    """Keep a hold until the own items have its epoch."""

    epoch: int
    hold: Hold
    until_seconds: float


class PendingHolds:
    """Keep the holds of epochs that this entry has not seen, for a while."""

    def __init__(self) -> None:
        self._pending: list[_PendingHold] = []

    def add(
        self, epoch: int, holds: Sequence[Hold], now_seconds: float
    ) -> None:
        """Keep holds, up to a limit of bytes."""
        self._remove_expired(now_seconds)
        size_bytes = sum(size_of(kept.hold) for kept in self._pending)
        for hold in holds:
            size_bytes += size_of(hold)
            if size_bytes > MAX_PENDING_BYTES:
                logger.warning('store: too many holds from peers wait')
                return
            self._pending.append(
                _PendingHold(epoch, hold, now_seconds + PENDING_SECONDS)
            )

    def pop_epoch(self, epoch: int, now_seconds: float) -> Iterable[Hold]:
        """Return the holds of an epoch; forget them and those before it."""
        if not self._pending:
            return ()
        self._remove_expired(now_seconds)
        holds = [kept.hold for kept in self._pending if kept.epoch == epoch]
        self._pending = [kept for kept in self._pending if kept.epoch > epoch]
        return holds

    def _remove_expired(self, now_seconds: float) -> None:
        self._pending = [
            kept for kept in self._pending if kept.until_seconds > now_seconds
        ]


def size_of(hold: Hold) -> int:
    """Return the bytes of a hold's key and content."""
    content = b'' if hold.known is None else hold.known.content
    return len(hold.key) + len(content)
