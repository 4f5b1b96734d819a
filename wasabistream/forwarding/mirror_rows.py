"""Rows of store items and removals in the messages between entries.

A configuration has hundreds of kilobytes, and a relay sends each change of it
to all entries of its data centre. On a link of 10 Mbit/s, six copies of 400 KB
took 1.9 s, and later changes waited behind them.
"""

import zlib
from collections.abc import Iterable

from wasabistream.forwarding.mirrors import MirrorChange, MirrorItem, Removal

# Configurations repeat the same fields; higher levels take longer for little.
COMPRESSION_LEVEL = 1
# More than the largest value of the store.
MAX_CONTENT_BYTES = 8 * 1024 * 1024

Row = list[object]


def encode_row(change: MirrorChange, *, compresses: bool) -> Row:
    """Return the row of an item or a removal, whose content is None."""
    if isinstance(change, Removal):
        return [change.key, None, change.revision]
    content = change.content
    if compresses:
        content = zlib.compress(content, COMPRESSION_LEVEL)
    return [change.key, content, change.revision]


def decode_rows(
    rows: Iterable[Row], *, is_compressed: bool
) -> list[MirrorChange]:
    """Return the items and removals; raises ValueError and TypeError."""
    return [
        _decode_row(*row, is_compressed=is_compressed)  # type: ignore[arg-type]
        for row in rows
    ]


def decode_items(
    rows: Iterable[Row], *, is_compressed: bool
) -> list[MirrorItem]:
    """Return the items; raises ValueError and TypeError."""
    changes = decode_rows(rows, is_compressed=is_compressed)
    items = [change for change in changes if isinstance(change, MirrorItem)]
    if len(items) < len(changes):
        raise ValueError('listing has removals')
    return items


def _decode_row(
    key: str, content: bytes | None, revision: int, *, is_compressed: bool
) -> MirrorChange:
    if content is None:
        return Removal(str(key), int(revision))
    raw = _decompress(content) if is_compressed else bytes(content)
    return MirrorItem(str(key), raw, int(revision))


def _decompress(content: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(content, MAX_CONTENT_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not decompressor.eof:
        raise ValueError('content is cut off or too long')
    return raw
