"""Exchange of store contents between entries."""

import logging
from collections.abc import Iterable, Iterator

from wasabistream.forwarding.mirror_rows import (
    Row,
    decode_items,
    decode_rows,
    encode_row,
)
from wasabistream.forwarding.mirrors import (
    MirrorChange,
    MirrorDifference,
    MirrorItem,
    StoreMirror,
)
from wasabistream.forwarding.peer_messages import (
    MirrorPart,
    MirrorQuery,
    MirrorUpdate,
)
from wasabistream.links import Link
from wasabistream.restores.store_versions import StoreVersion

logger = logging.getLogger(__name__)

# Items are batched into parts of up to this size.
PART_BYTES = 256 * 1024


class MirrorExchange:
    """Split the mirror into parts for a peer and join a peer's parts."""

    def __init__(self, mirror: StoreMirror) -> None:
        self._mirror = mirror
        self._collected: dict[Link, list[MirrorItem]] = {}

    def parts_after(self, query: MirrorQuery) -> Iterator[MirrorPart]:
        """Yield all items if the peer's version is older, else nothing."""
        own, items = self._mirror.snapshot()
        if query.version >= own:
            return
        compresses = query.takes_compressed
        batches = list(_batch_rows(items, compresses=compresses)) or [[]]
        for number, rows in enumerate(batches, start=1):
            yield MirrorPart(
                own.revision,
                rows,
                last=number == len(batches),
                epoch=own.epoch,
                is_compressed=compresses,
            )

    def split_difference(
        self, difference: MirrorDifference, *, compresses: bool
    ) -> Iterator[MirrorUpdate]:
        """Yield the updates of a difference; only the last raises the revision.

        The one of a new epoch has no rows. It is a gap for each peer that does
        not know these contents.
        """
        epoch = difference.version.epoch
        revision = difference.version.revision
        if difference.before_version.epoch != epoch:
            yield MirrorUpdate(revision, revision, [], epoch)
            return
        before_revision = difference.before_version.revision
        batches = list(
            _batch_rows(difference.changes, compresses=compresses)
        ) or [[]]
        for number, rows in enumerate(batches, start=1):
            is_last = number == len(batches)
            yield MirrorUpdate(
                before_revision,
                revision if is_last else before_revision,
                rows,
                epoch,
                is_compressed=compresses,
            )

    def apply_update(self, update: MirrorUpdate) -> bool:
        """Apply a peer's update; return whether the mirror has a gap."""
        try:
            changes = decode_rows(
                update.rows, is_compressed=update.is_compressed
            )
        except (TypeError, ValueError) as error:
            logger.warning('peer: update is malformed: %r', error)
            return True
        return not self._mirror.apply_difference(
            MirrorDifference(
                StoreVersion(update.epoch, update.before_revision),
                update.version,
                tuple(changes),
            )
        )

    def collect(self, link: Link, part: MirrorPart) -> list[MirrorItem] | None:
        """Add a part; return all items once the last part has arrived."""
        items = self._collected.setdefault(link, [])
        try:
            items.extend(
                decode_items(part.rows, is_compressed=part.is_compressed)
            )
        except (TypeError, ValueError) as error:
            logger.warning('peer: listing is malformed: %r', error)
            self.discard_parts(link)
            return None
        if not part.last:
            return None
        self.discard_parts(link)
        return items

    def discard_parts(self, link: Link) -> None:
        """Discard the parts that a link has sent so far."""
        self._collected.pop(link, None)


def _batch_rows(
    changes: Iterable[MirrorChange], *, compresses: bool
) -> Iterator[list[Row]]:
    rows: list[Row] = []
    size_bytes = 0
    for change in changes:
        row_bytes = len(change.content) if isinstance(change, MirrorItem) else 0
        if rows and size_bytes + row_bytes > PART_BYTES:
            yield rows
            rows, size_bytes = [], 0
        rows.append(encode_row(change, compresses=compresses))
        size_bytes += row_bytes
    if rows:
        yield rows
