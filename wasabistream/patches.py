"""Patches between two canonical JSON objects.

An object has lists of entries with a `name` or an `id`; a patch holds the
entries that differ. Whoever applies a patch checks the digest.
"""

import json
from typing import Any

from wasabistream.documents import canonical_json

# A patch above this part of the target saves too little.
MAX_PATCH_RATIO = 0.5
KEY_FIELDS = ('name', 'id')


class PatchError(ValueError):
    """Report a patch that does not fit its base."""


def make_patch(base: bytes, target: bytes) -> bytes | None:
    """Return a small patch from base to target, or None."""
    patch = canonical_json(_differences(json.loads(base), json.loads(target)))
    if len(patch) > MAX_PATCH_RATIO * len(target):
        return None
    # The order of entries may have changed, which a patch cannot say.
    return patch if apply_patch(base, patch) == target else None


def apply_patch(base: bytes, patch: bytes) -> bytes:
    """Return the bytes of the target; raises PatchError."""
    try:
        return canonical_json(_apply(json.loads(base), json.loads(patch)))
    except (ValueError, LookupError, TypeError) as error:
        raise PatchError(f'{error!r}') from error


def _keyed(entries: Any) -> dict[str, Any] | None:
    """Return the entries of a list by key, or None for another value."""
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


def _differences(
    base: dict[str, Any], target: dict[str, Any]
) -> dict[str, Any]:
    whole: dict[str, Any] = {}
    lists: dict[str, Any] = {}
    for field, after in target.items():
        if field in base and base[field] == after:
            continue
        old, new = _keyed(base.get(field)), _keyed(after)
        if old is None or new is None:
            whole[field] = after
            continue
        lists[field] = {
            'put': [
                entry for key, entry in new.items() if old.get(key) != entry
            ],
            'drop': sorted(set(old) - set(new)),
        }
    return {
        'whole': whole,
        'lists': lists,
        'drop': sorted(set(base) - set(target)),
    }


def _apply(base: Any, patch: Any) -> dict[str, Any]:
    if not isinstance(base, dict) or not isinstance(patch, dict):
        raise PatchError('base or patch is not an object')
    target = {**base, **patch['whole']}
    for field in patch['drop']:
        target.pop(field)
    for field, changes in dict(patch['lists']).items():
        entries = _keyed(base[field])
        put = _keyed(changes['put'])
        if entries is None or put is None:
            raise PatchError(f'{field} is not a list of entries')
        for key in changes['drop']:
            entries.pop(key)
        target[field] = list({**entries, **put}.values())
    return target
