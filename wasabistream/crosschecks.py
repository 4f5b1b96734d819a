"""Checks across the entries of a document.

They read the raw JSON value and pass over what has a wrong type, so that
they report their problems together with those of the types.
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
# Field of an entry, and the list that holds the names it may use.
REFERENCES = (
    ('models', 'data_centres', 'data_centres'),
    ('models', 'version_by_data_centre', 'data_centres'),
    ('organisations', 'models', 'models'),
    ('organisations', 'services', 'services'),
)
# Role shares of a model are parts of one whole.
ROLE_WEIGHT_SUM = 1.0
ROLE_WEIGHT_TOLERANCE = 1e-6
# A time of a service with its default, and the one that it must exceed. The
# settling time bounds how old a clock reading in a key may be. A call that
# runs into its timeout is repeated, and its key must still be remembered.
TIME_ORDER = (
    ('settling_seconds', 10, 'clock_offset_seconds', 1),
    ('retry_horizon_seconds', 600, 'timeout_seconds', 10),
)


def cross_check(raw: Any) -> list[str]:
    """Return the problems between the entries of a document."""
    if not isinstance(raw, dict):
        return []
    return [
        *_duplicate_names(raw),
        *_duplicate_credentials(raw),
        *_repeated_texts(raw),
        *_unknown_references(raw),
        *_role_problems(raw),
        *_class_problems(raw),
        *_time_problems(raw),
    ]


def _entries(raw: dict[str, Any], field: str) -> Iterator[tuple[str, Any]]:
    listed = raw.get(field)
    for index, entry in enumerate(listed if isinstance(listed, list) else ()):
        if isinstance(entry, dict):
            yield f'$.{field}[{index}]', entry


def _texts(found: Any) -> list[tuple[int, str]]:
    """Return the texts of a list or the keys of an object by position."""
    if not isinstance(found, (list, dict)):
        return []
    return [
        (index, text)
        for index, text in enumerate(found)
        if isinstance(text, str)
    ]


def _duplicate_names(raw: dict[str, Any]) -> Iterator[str]:
    for field in NAMED_LISTS:
        yield from _repeated(_entries(raw, field), 'name', shown=True)
    # A caller names a model or an adapter in one field.
    places = {
        entry['name']: f'{path}.name'
        for path, entry in _entries(raw, 'models')
        if isinstance(entry.get('name'), str)
    }
    for path, entry in _entries(raw, 'models'):
        for index, adapter in _texts(entry.get('adapters')):
            place = f'{path}.adapters[{index}]'
            first = places.setdefault(adapter, place)
            if first != place:
                yield f'{place}: {describe(adapter)} is also in {first}'


def _duplicate_credentials(raw: dict[str, Any]) -> Iterator[str]:
    return _repeated(
        _entries(raw, 'organisations'), 'credential_sha256', shown=False
    )


def _repeated(
    entries: Iterator[tuple[str, Any]], field: str, shown: bool
) -> Iterator[str]:
    paths: dict[str, str] = {}
    for path, entry in entries:
        text = entry.get(field)
        if not isinstance(text, str):
            continue
        first = paths.setdefault(text, path)
        if first != path:
            found = describe(text) if shown else 'the value'
            yield f'{path}.{field}: {found} is also in {first}'


def _repeated_texts(raw: dict[str, Any]) -> Iterator[str]:
    lists = [('$.backend_servers_out', raw.get('backend_servers_out'))]
    for field in ('models', 'organisations'):
        for path, entry in _entries(raw, field):
            lists.extend(
                (f'{path}.{name}', entry.get(name))
                for name in ('data_centres', 'models', 'services', 'classes')
            )
    for path, found in lists:
        seen: set[str] = set()
        for index, text in _texts(found):
            if text in seen:
                yield f'{path}[{index}]: {describe(text)} is listed twice'
            seen.add(text)


def _unknown_references(raw: dict[str, Any]) -> Iterator[str]:
    known = {
        field: {
            entry['name']
            for _, entry in _entries(raw, field)
            if isinstance(entry.get('name'), str)
        }
        for field in NAMED_LISTS
    }
    for field, reference, target in REFERENCES:
        for path, entry in _entries(raw, field):
            for index, text in _texts(entry.get(reference)):
                if text not in known[target]:
                    yield (
                        f'{path}.{reference}[{index}]: '
                        + f'{describe(text)} is not in $.{target}'
                    )


def _role_problems(raw: dict[str, Any]) -> Iterator[str]:
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


def _class_problems(raw: dict[str, Any]) -> Iterator[str]:
    for path, organisation in _entries(raw, 'organisations'):
        classes = organisation.get('classes')
        default = organisation.get('default_class', 'normal')
        if isinstance(classes, list) and default not in classes:
            yield f'{path}.default_class: not listed in {path}.classes'


def _time_problems(raw: dict[str, Any]) -> Iterator[str]:
    for path, service in _entries(raw, 'services'):
        for field, default, limit_field, limit_default in TIME_ORDER:
            seconds = service.get(field, default)
            limit = service.get(limit_field, limit_default)
            if not _is_number(seconds) or not _is_number(limit):
                continue
            if seconds <= limit:
                yield (
                    f'{path}.{field}: {seconds!r} is not above '
                    + f'{limit_field} {limit!r}'
                )


def _is_number(found: Any) -> bool:
    return type(found) in {int, float}
