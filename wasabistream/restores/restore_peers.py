"""Holds passed on to entries that started around a return of the store."""

import logging
import math
import threading
import time
from collections.abc import Callable, Collection, Iterable, Iterator, Sequence
from typing import Any, Protocol

from wasabistream.forwarding.mirrors import MirrorItem
from wasabistream.frames import MAX_FRAME_BYTES
from wasabistream.messages import Message
from wasabistream.notices import Hello
from wasabistream.restores.pending_holds import size_of
from wasabistream.restores.restore_guards import RestoreGuard
from wasabistream.restores.restore_messages import HeldItems
from wasabistream.restores.restored_items import Hold
from wasabistream.units import MILLISECONDS_PER_SECOND

logger = logging.getLogger(__name__)

# Entries that send their holds to a new one, each maybe the configuration.
SENDER_COUNT = 3
# An entry that has run for longer has seen by itself what the copy lacks.
NEW_PEER_SECONDS = 60.0
# Rows are batched into messages of up to this size.
PART_BYTES = 256 * 1024
# Numbers and the framing of a row.
ROW_OVERHEAD_BYTES = 64
MAX_ROW_BYTES = MAX_FRAME_BYTES - 1024
LASTING_MS = -1


class RestoreLinks(Protocol):
    """Send messages to other entries."""

    def send_to_some(
        self, notice: Message, is_receiver: Callable[[Hello], bool]
    ) -> None:
        """Send a message once to some of the linked entries."""


class RestorePeers:
    """Exchange holds with entries that are linked anew.

    `is_sender` returns whether this entry is one of those that send to a peer.
    """

    def __init__(
        self,
        guard: RestoreGuard,
        links: RestoreLinks,
        is_sender: Callable[[str], bool],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._guard = guard
        self._links = links
        self._is_sender = is_sender
        self._clock = clock
        self._lock = threading.Lock()
        # Until when each peer counts as new.
        self._new_until_seconds: dict[str, float] = {}
        guard.subscribe(self._send_to_new_peers)

    def describe(self, peer: Hello) -> Sequence[Message]:
        """Return the holds for an entry that has just been linked."""
        now = self._clock()
        with self._lock:
            self._new_until_seconds[peer.peer_id] = now + NEW_PEER_SECONDS
            for peer_id, until in list(self._new_until_seconds.items()):
                if until <= now:
                    self._new_until_seconds.pop(peer_id)
        epoch, holds = self._guard.current_holds()
        if not holds or not self._is_sender(peer.peer_id):
            return ()
        return list(self._build_messages(epoch, holds))

    def on_held_items(self, message: HeldItems) -> None:
        """Take the holds of another entry."""
        now = self._clock()
        try:
            holds = [_parse_row(row, now) for row in message.rows]
        except (TypeError, ValueError) as error:
            logger.warning('peer: held items are malformed: %r', error)
            return
        self._guard.add_peer_holds(message.epoch, holds)

    def _send_to_new_peers(self, epoch: int, holds: Sequence[Hold]) -> None:
        now = self._clock()
        with self._lock:
            peer_ids = {
                peer_id
                for peer_id, until in self._new_until_seconds.items()
                if until > now and self._is_sender(peer_id)
            }
        if not peer_ids:
            return
        is_receiver = _match_peers(peer_ids)
        for message in self._build_messages(epoch, holds):
            self._links.send_to_some(message, is_receiver)

    def _build_messages(
        self, epoch: int, holds: Iterable[Hold]
    ) -> Iterator[HeldItems]:
        now = self._clock()
        rows: list[list[object]] = []
        size_bytes = 0
        for hold in holds:
            row_bytes = size_of(hold) + ROW_OVERHEAD_BYTES
            if row_bytes > MAX_ROW_BYTES:
                logger.warning(
                    'peer: held item is too large to be passed on',
                    extra={'key': hold.key, 'size_bytes': row_bytes},
                )
                continue
            if rows and size_bytes + row_bytes > PART_BYTES:
                yield HeldItems(epoch, rows)
                rows, size_bytes = [], 0
            rows.append(_build_row(hold, now))
            size_bytes += row_bytes
        if rows:
            yield HeldItems(epoch, rows)


def _match_peers(peer_ids: Collection[str]) -> Callable[[Hello], bool]:
    return lambda peer: peer.peer_id in peer_ids


def _build_row(hold: Hold, now_seconds: float) -> list[object]:
    remaining_ms = LASTING_MS
    if math.isfinite(hold.until_seconds):
        remaining_seconds = max(hold.until_seconds - now_seconds, 0)
        remaining_ms = round(remaining_seconds * MILLISECONDS_PER_SECOND)
    return [
        hold.key,
        hold.listed_revision,
        None if hold.known is None else hold.known.content,
        0 if hold.known is None else hold.known.revision,
        remaining_ms,
    ]


def _parse_row(row: Sequence[Any], now_seconds: float) -> Hold:
    key, listed_revision, *held, remaining_ms = row
    content, revision = held
    known = None
    if content is not None:
        known = MirrorItem(str(key), _parse_content(content), int(revision))
    until_seconds = math.inf
    if remaining_ms != LASTING_MS:
        until_seconds = now_seconds + remaining_ms / MILLISECONDS_PER_SECOND
    return Hold(str(key), int(listed_revision), known, until_seconds)


def _parse_content(content: Any) -> bytes:
    # bytes(5) would be five zero bytes.
    if not isinstance(content, bytes):
        raise TypeError(f'content is {type(content).__name__}')
    return content
