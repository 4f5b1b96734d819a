"""Differences between two documents, with list entries matched by name."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from wasabistream.crosschecks import NAMED_LISTS
from wasabistream.documents import DocumentVersion

SECRET_FIELD = 'credential_sha256'
SECRET_PLACEHOLDER = '(not shown)'


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
    """Return the differences from one document to the other."""
    return list(_compare('$', json.loads(before.body), json.loads(after.body)))


def _compare(path: str, before: Any, after: Any) -> Iterator[Difference]:
    if before == after:
        return
    before, after = _key_by_name(before), _key_by_name(after)
    if not isinstance(before, dict) or not isinstance(after, dict):
        yield Difference(
            path, 'changed', _format_value(before), _format_value(after)
        )
        return
    for name in sorted({*before, *after}):
        child_path = f'{path}.{name}'
        if name not in after:
            yield Difference(
                child_path, 'removed', _format_value(before[name], name), ''
            )
        elif name not in before:
            yield Difference(
                child_path, 'added', '', _format_value(after[name], name)
            )
        elif name != SECRET_FIELD:
            yield from _compare(child_path, before[name], after[name])
        elif before[name] != after[name]:
            yield Difference(
                child_path, 'changed', SECRET_PLACEHOLDER, SECRET_PLACEHOLDER
            )


def _key_by_name(value: Any) -> Any:
    """Return a list of named entries as an object by name."""
    if isinstance(value, list) and value:
        if all(isinstance(entry, dict) and 'name' in entry for entry in value):
            return {entry['name']: entry for entry in value}
    if isinstance(value, dict):
        return {
            name: {} if name in NAMED_LISTS and not child else child
            for name, child in value.items()
        }
    return value


def _format_value(value: Any, name: str = '') -> str:
    if name == SECRET_FIELD:
        return SECRET_PLACEHOLDER
    if isinstance(value, dict):
        value = {
            name: SECRET_PLACEHOLDER if name == SECRET_FIELD else child
            for name, child in value.items()
        }
    return json.dumps(value, sort_keys=True)
