"""Strict conversion of JSON values to data classes.

cattrs alone turns the text '3' into a number and a text into a list of
letters, so every conversion first checks the exact JSON type.
"""

import re
from collections.abc import Callable
from dataclasses import is_dataclass
from typing import Annotated, Any, get_args, get_origin

import cattrs
from cattrs.gen import make_dict_structure_fn

from wasabistream.rules import Rule

MAX_SHOWN_CHARACTERS = 60
JSON_TYPES: dict[object, tuple[type, ...]] = {
    str: (str,),
    int: (int,),
    float: (int, float),
    bool: (bool,),
    tuple: (list,),
    dict: (dict,),
}
JSON_NAMES: dict[object, str] = {
    str: 'a text',
    int: 'an integer',
    float: 'a number',
    bool: 'true or false',
    tuple: 'a list',
    dict: 'an object',
}


class MismatchError(ValueError):
    """Report a value that does not fit its field."""

    def __init__(
        self, found: object, expected: str, secret: bool = False
    ) -> None:
        shown = describe_secret(found) if secret else describe(found)
        super().__init__(f'{shown} is not {expected}')


def describe(found: object) -> str:
    """Show a value in at most one short line."""
    if isinstance(found, (dict, list)):
        kind = 'an object' if isinstance(found, dict) else 'a list'
        return f'{kind} of {len(found)}'
    text = ascii(found)
    # A credential digest may stand in a wrong field.
    if re.search('[0-9A-Fa-f]{32}', text):
        return describe_secret(found)
    if len(text) > MAX_SHOWN_CHARACTERS:
        return f'{text[:MAX_SHOWN_CHARACTERS]}...'
    return text


def describe_secret(found: object) -> str:
    """Describe a value without showing any of it."""
    if isinstance(found, str):
        return f'a text of {len(found)} characters'
    return f'a value of type {type(found).__name__}'


def check_type(found: object, expected: object, secret: bool = False) -> None:
    """Check the exact JSON type; raises MismatchError."""
    if type(found) not in JSON_TYPES[expected]:
        raise MismatchError(found, JSON_NAMES[expected], secret)


def structure(found: object, expected: type) -> Any:
    """Convert a value; raises cattrs.BaseValidationError or ValueError."""
    return _converter.structure(found, expected)


def problems_of(error: Exception, path: str) -> list[str]:
    """Return one line for each problem that a conversion met."""
    if isinstance(error, MismatchError):
        return [f'{path}: {error}']
    return [
        '{1}: {0}'.format(*line.rsplit(' @ ', 1))
        for line in cattrs.transform_error(error, path, _format_problem)
    ]


def _format_problem(error: BaseException, expected: type | None) -> str:
    match error:
        case KeyError():
            return 'required field is missing'
        case cattrs.ForbiddenExtraKeysError():
            names = ', '.join(
                sorted(describe(key) for key in error.extra_fields)
            )
            return f'unknown fields {names}'
    return str(error)


def _make_primitive(expected: Any) -> Callable[[object, object], object]:
    def convert(found: object, _: object) -> object:
        check_type(found, expected)
        return found

    return convert


def _make_annotated(
    annotated: Any,
) -> Callable[[object, object], object]:
    base, rule = get_args(annotated)

    def convert(found: Any, _: object) -> object:
        _check_rule(found, base, rule)
        return float(found) if base is float else found

    return convert


def _check_rule(found: Any, base: type, rule: Rule) -> None:
    secret = getattr(rule, 'secret', False)
    check_type(found, base, secret)
    if not rule.accepts(found):
        raise MismatchError(found, rule.meaning, secret)


def _make_container(
    expected: Any, converter: cattrs.Converter
) -> Callable[[object, object], object]:
    origin = get_origin(expected)
    convert_plain = _plain_converter(expected, converter)

    def convert(found: object, _: object) -> object:
        check_type(found, origin)
        return convert_plain(found, expected)

    return convert


def _plain_converter(expected: Any, converter: cattrs.Converter) -> Any:
    if get_origin(expected) is dict:
        return converter.gen_structure_mapping(expected)
    list_type = list.__class_getitem__(get_args(expected)[0])
    convert_list = converter.get_structure_hook(list_type)
    return lambda found, _: tuple(convert_list(found, list_type))


def _make_class(
    expected: Any, converter: cattrs.Converter
) -> Callable[[object, object], object]:
    convert_fields = make_dict_structure_fn(
        expected, converter, _cattrs_forbid_extra_keys=True
    )

    def convert(found: Any, _: object) -> object:
        check_type(found, dict)
        return convert_fields(found, expected)

    return convert


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for primitive in (str, int, float, bool):
        converter.register_structure_hook(primitive, _make_primitive(primitive))
    converter.register_structure_hook_factory(is_dataclass)(_make_class)
    converter.register_structure_hook_factory(
        lambda expected: get_origin(expected) in {tuple, dict}
    )(_make_container)
    converter.register_structure_hook_factory(
        lambda expected: get_origin(expected) is Annotated
    )(_make_annotated)
    return converter


_converter = _make_converter()
