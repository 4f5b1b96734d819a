"""Patches between two canonical JSON objects.

Both objects have lists of entries with a `name` or an `id`; a patch holds
the fields and list entries that differ. A patch applied to a wrong base may
give a wrong result without an error, so the receiver must check the digest
of the result.
"""

import json
from typing import Any

from wasabistream.documents import canonical_json

# If a patch is larger than this fraction of the target, the target is sent
# whole, as the patch saves too little.
MAX_PATCH_RATIO = 0.5
KEY_FIELDS = ('name', 'id')


class PatchError(ValueError):
    """Report a patch that is malformed or cannot be applied to its base."""


def make_patch(base: bytes, target: bytes) -> bytes | None:
    """Return a patch from base to target; None if the target is sent whole."""
    patch = canonical_json(_build_patch(json.loads(base), json.loads(target)))
    if len(patch) > MAX_PATCH_RATIO * len(target):
        return None
    # A patch cannot express a changed order of list entries.
    return patch if apply_patch(base, patch) == target else None


def apply_patch(base: bytes, patch: bytes) -> bytes:
    """Return the canonical JSON of the target; raises PatchError."""
    try:
        return canonical_json(
            _apply_to_object(json.loads(base), json.loads(patch))
        )
    except (ValueError, LookupError, TypeError) as error:
        raise PatchError(f'{error!r}') from error


def _index_entries_by_key(entries: Any) -> dict[str, Any] | None:
    """Return list entries by name or id; None if these are not unique."""
    if not isinstance(entries, list):
        return None
    keyed: dict[str, Any] = {}
    for entry in entries:
        if not isinstance(entry, dict):
            return None
        key = next((entry[name] for name in KEY_FIELDS if name in entry), None)
        if not isinstance(key, str) or key in keyed:
            return None
        keyed[key] = entry
    return keyed


def _build_patch(
    base: dict[str, Any], target: dict[str, Any]
) -> dict[str, Any]:
    whole: dict[str, Any] = {}
    lists: dict[str, Any] = {}
    for field, after in target.items():
        if field in base and base[field] == after:
            continue
        old_entries, new_entries = (
            _index_entries_by_key(base.get(field)),
            _index_entries_by_key(after),
        )
        if old_entries is None or new_entries is None:
            whole[field] = after
            continue
        lists[field] = {
            'put': [
                entry
                for key, entry in new_entries.items()
                if old_entries.get(key) != entry
            ],
            'drop': sorted(set(old_entries) - set(new_entries)),
        }
    return {
        'whole': whole,
        'lists': lists,
        'drop': sorted(set(base) - set(target)),
    }


def _apply_to_object(base: Any, patch: Any) -> dict[str, Any]:
    if not isinstance(base, dict) or not isinstance(patch, dict):
        raise PatchError('base or patch is not an object')
    target = {**base, **patch['whole']}
    for field in patch['drop']:
        target.pop(field)
    for field, changes in dict(patch['lists']).items():
        entries = _index_entries_by_key(base[field])
        put = _index_entries_by_key(changes['put'])
        if entries is None or put is None:
            raise PatchError(
                f'{field} is not a list of objects with unique names or ids'
            )
        for key in changes['drop']:
            entries.pop(key)
        target[field] = list({**entries, **put}.values())
    return target
