"""Differences between two documents, by the names of their entries."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from wasabistream.crosschecks import NAMED_LISTS
from wasabistream.documents import DocumentVersion

SECRET_FIELD = 'credential_sha256'
HIDDEN = '(not shown)'


@dataclass(frozen=True)
class Difference:
    """Describe one added, removed or changed field."""

    path: str
    change: str
    before: str
    after: str


def compare(
    before: DocumentVersion, after: DocumentVersion
) -> list[Difference]:
    """Return what changes from one document to the other."""
    return list(_compare('$', json.loads(before.body), json.loads(after.body)))


def _compare(path: str, before: Any, after: Any) -> Iterator[Difference]:
    if before == after:
        return
    before, after = _by_name(before), _by_name(after)
    if not isinstance(before, dict) or not isinstance(after, dict):
        yield Difference(path, 'changed', _show(before), _show(after))
        return
    for name in sorted({*before, *after}):
        inner = f'{path}.{name}'
        if name not in after:
            yield Difference(inner, 'removed', _show(before[name], name), '')
        elif name not in before:
            yield Difference(inner, 'added', '', _show(after[name], name))
        elif name != SECRET_FIELD:
            yield from _compare(inner, before[name], after[name])
        elif before[name] != after[name]:
            yield Difference(inner, 'changed', HIDDEN, HIDDEN)


def _by_name(found: Any) -> Any:
    """Return a list of named entries as an object."""
    if isinstance(found, list) and found:
        if all(isinstance(entry, dict) and 'name' in entry for entry in found):
            return {entry['name']: entry for entry in found}
    if isinstance(found, dict):
        return {
            name: {} if name in NAMED_LISTS and not inner else inner
            for name, inner in found.items()
        }
    return found


def _show(found: Any, name: str = '') -> str:
    if name == SECRET_FIELD:
        return HIDDEN
    if isinstance(found, dict):
        found = {
            name: HIDDEN if name == SECRET_FIELD else inner
            for name, inner in found.items()
        }
    return json.dumps(found, sort_keys=True)
