"""Ids of the parts of a prompt that several requests may share."""

from collections.abc import Iterable

from wasabistream.digests import hash64

# Bounds what is kept about one request; further parts are not looked at.
MAX_PART_COUNT = 64
MAX_ID_LENGTH = 64


def limit_parts(part_ids: Iterable[str]) -> tuple[str, ...]:
    """Return the first part ids; long ones are replaced by their hash."""
    limited: list[str] = []
    for part_id in part_ids:
        if len(limited) == MAX_PART_COUNT:
            break
        if len(part_id) > MAX_ID_LENGTH:
            part_id = f'{hash64(part_id):016x}'
        limited.append(part_id)
    return tuple(limited)
