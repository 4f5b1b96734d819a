"""Consistency checks between the list entries of a document.

They read the raw JSON value and skip values of a wrong type, so that their
problems are reported together with those of the type checks.
"""

from collections.abc import Iterator
from typing import Any

from wasabistream.json_converters import describe

NAMED_LISTS = (
    'models',
    'data_centres',
    'organisations',
    'services',
    'engine_kinds',
)
# (list, field of its entries, list with the names that the field may use)
REFERENCES = (
    ('models', 'data_centres', 'data_centres'),
    ('models', 'version_by_data_centre', 'data_centres'),
    ('organisations', 'models', 'models'),
    ('organisations', 'services', 'services'),
)
# The role weights of a model are fractions that add up to 1.
ROLE_WEIGHT_SUM = 1.0
ROLE_WEIGHT_TOLERANCE = 1e-6
# (field of a service, its default, field that it must exceed, its default)
# An idempotency key carries its time of issue. A new owner refuses keys issued
# before the end of its settling time, which must therefore exceed the largest
# difference between the clocks of issuer and owner. A call that times out is repeated, and its key must still be recorded.
TIME_LOWER_BOUNDS = (
    ('settling_seconds', 10, 'clock_offset_seconds', 1),
    ('retry_horizon_seconds', 600, 'timeout_seconds', 10),
)


def cross_check(raw: Any) -> list[str]:
    """Return the inconsistencies between the list entries of a document."""
    if not isinstance(raw, dict):
        return []
    return [
        *_find_duplicate_names(raw),
        *_find_duplicate_credentials(raw),
        *_find_repeated_texts(raw),
        *_find_unknown_references(raw),
        *_find_role_problems(raw),
        *_find_class_problems(raw),
        *_find_time_problems(raw),
    ]


def _entries(raw: dict[str, Any], field: str) -> Iterator[tuple[str, Any]]:
    listed = raw.get(field)
    for index, entry in enumerate(listed if isinstance(listed, list) else ()):
        if isinstance(entry, dict):
            yield f'$.{field}[{index}]', entry


def _indexed_texts(value: Any) -> list[tuple[int, str]]:
    """Return the texts in a list or the keys of an object, with positions."""
    if not isinstance(value, (list, dict)):
        return []
    return [
        (index, text)
        for index, text in enumerate(value)
        if isinstance(text, str)
    ]


def _find_duplicate_names(raw: dict[str, Any]) -> Iterator[str]:
    for field in NAMED_LISTS:
        yield from _find_duplicates(
            _entries(raw, field), 'name', show_value=True
        )
    # Requests name a model or an adapter in the same field.
    first_paths = {
        entry['name']: f'{path}.name'
        for path, entry in _entries(raw, 'models')
        if isinstance(entry.get('name'), str)
    }
    for path, entry in _entries(raw, 'models'):
        for index, adapter in _indexed_texts(entry.get('adapters')):
            adapter_path = f'{path}.adapters[{index}]'
            first = first_paths.setdefault(adapter, adapter_path)
            if first != adapter_path:
                yield f'{adapter_path}: {describe(adapter)} is also in {first}'


def _find_duplicate_credentials(raw: dict[str, Any]) -> Iterator[str]:
    return _find_duplicates(
        _entries(raw, 'organisations'), 'credential_sha256', show_value=False
    )


def _find_duplicates(
    entries: Iterator[tuple[str, Any]], field: str, show_value: bool
) -> Iterator[str]:
    paths: dict[str, str] = {}
    for path, entry in entries:
        text = entry.get(field)
        if not isinstance(text, str):
            continue
        first = paths.setdefault(text, path)
        if first != path:
            value = describe(text) if show_value else 'the value'
            yield f'{path}.{field}: {value} is also in {first}'


def _find_repeated_texts(raw: dict[str, Any]) -> Iterator[str]:
    lists = [('$.backend_servers_out', raw.get('backend_servers_out'))]
    for field in ('models', 'organisations'):
        for path, entry in _entries(raw, field):
            lists.extend(
                (f'{path}.{name}', entry.get(name))
                for name in ('data_centres', 'models', 'services', 'classes')
            )
    for path, value in lists:
        seen: set[str] = set()
        for index, text in _indexed_texts(value):
            if text in seen:
                yield f'{path}[{index}]: {describe(text)} is listed twice'
            seen.add(text)


def _find_unknown_references(raw: dict[str, Any]) -> Iterator[str]:
    names_by_list = {
        field: {
            entry['name']
            for _, entry in _entries(raw, field)
            if isinstance(entry.get('name'), str)
        }
        for field in NAMED_LISTS
    }
    for field, reference, target in REFERENCES:
        for path, entry in _entries(raw, field):
            for index, text in _indexed_texts(entry.get(reference)):
                if text not in names_by_list[target]:
                    yield (
                        f'{path}.{reference}[{index}]: '
                        + f'{describe(text)} is not in $.{target}'
                    )


def _find_role_problems(raw: dict[str, Any]) -> Iterator[str]:
    for path, model in _entries(raw, 'models'):
        shares = [
            share
            for _, share in _entries({'roles': model.get('roles')}, 'roles')
        ]
        names = [
            share['role']
            for share in shares
            if isinstance(share.get('role'), str)
        ]
        if len(names) > len(set(names)):
            yield f'{path}.roles: a role is listed twice'
        weights = [share.get('weight') for share in shares]
        if not weights or any(
            type(weight) not in {int, float} for weight in weights
        ):
            continue
        total = sum(weights)
        if abs(total - ROLE_WEIGHT_SUM) > ROLE_WEIGHT_TOLERANCE:
            yield (
                f'{path}.roles: weights add up to {float(total):g}, expected 1'
            )


def _find_class_problems(raw: dict[str, Any]) -> Iterator[str]:
    for path, organisation in _entries(raw, 'organisations'):
        classes = organisation.get('classes')
        default = organisation.get('default_class', 'normal')
        if isinstance(classes, list) and default not in classes:
            yield f'{path}.default_class: not listed in {path}.classes'


def _find_time_problems(raw: dict[str, Any]) -> Iterator[str]:
    for path, service in _entries(raw, 'services'):
        for field, default, limit_field, limit_default in TIME_LOWER_BOUNDS:
            seconds = service.get(field, default)
            limit = service.get(limit_field, limit_default)
            if not _is_number(seconds) or not _is_number(limit):
                continue
            if seconds <= limit:
                yield (
                    f'{path}.{field}: {seconds!r} is not above '
                    + f'{limit_field} {limit!r}'
                )


def _is_number(value: Any) -> bool:
    return type(value) in {int, float}
