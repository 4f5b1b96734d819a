"""Exchange of store contents between entries."""

import logging
from collections.abc import Iterator

from wasabistream.forwarding.mirrors import (
    MirrorDifference,
    MirrorItem,
    Removal,
    StoreMirror,
)
from wasabistream.forwarding.peer_messages import MirrorPart, MirrorUpdate
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

    def parts_after(self, version: StoreVersion) -> Iterator[MirrorPart]:
        """Yield all items if the peer's version is older, else nothing."""
        own, items = self._mirror.snapshot()
        if version >= own:
            return
        rows: list[list[object]] = []
        size_bytes = 0
        for item in items:
            size_bytes += len(item.content)
            if rows and size_bytes > PART_BYTES:
                yield MirrorPart(
                    own.revision, rows, last=False, epoch=own.epoch
                )
                rows, size_bytes = [], len(item.content)
            rows.append([item.key, item.content, item.revision])
        yield MirrorPart(own.revision, rows, last=True, epoch=own.epoch)

    def split_difference(
        self, difference: MirrorDifference
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
        rows: list[list[object]] = []
        size_bytes = 0
        for change in difference.changes:
            content = change.content if isinstance(change, MirrorItem) else None
            size_bytes += len(content or b'')
            if rows and size_bytes > PART_BYTES:
                yield MirrorUpdate(
                    before_revision, before_revision, rows, epoch
                )
                rows, size_bytes = [], len(content or b'')
            rows.append([change.key, content, change.revision])
        yield MirrorUpdate(before_revision, revision, rows, epoch)

    def apply_update(self, update: MirrorUpdate) -> bool:
        """Apply a peer's update; return whether the mirror has a gap."""
        try:
            changes = tuple(
                Removal(str(key), int(revision))
                if content is None
                else MirrorItem(str(key), bytes(content), int(revision))
                for key, content, revision in update.rows
            )
        except (TypeError, ValueError) as error:
            logger.warning('peer: update is malformed: %r', error)
            return True
        return not self._mirror.apply_difference(
            MirrorDifference(
                StoreVersion(update.epoch, update.before_revision),
                update.version,
                changes,
            )
        )

    def collect(self, link: Link, part: MirrorPart) -> list[MirrorItem] | None:
        """Add a part; return all items once the last part has arrived."""
        items = self._collected.setdefault(link, [])
        try:
            items.extend(
                MirrorItem(str(key), bytes(content), int(revision))
                for key, content, revision in part.rows
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
