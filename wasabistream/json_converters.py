"""Strict conversion of JSON values to data classes.

cattrs alone converts the string '3' to a number and a string to a list of
characters, so every conversion first checks the exact JSON type.
"""

import re
from collections.abc import Callable
from dataclasses import is_dataclass
from typing import Annotated, Any, get_args, get_origin

import cattrs
from cattrs.gen import make_dict_structure_fn

from wasabistream.rules import Rule

MAX_VALUE_CHARACTERS = 60
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
    """Report a value whose type or content its field does not accept."""

    def __init__(
        self, value: object, expected: str, secret: bool = False
    ) -> None:
        description = describe_secret(value) if secret else describe(value)
        super().__init__(f'{description} is not {expected}')


def describe(value: object) -> str:
    """Return a short text of a value; what resembles a digest is hidden."""
    if isinstance(value, (dict, list)):
        kind = 'an object' if isinstance(value, dict) else 'a list'
        return f'{kind} of length {len(value)}'
    text = ascii(value)
    # A credential digest may have been entered in the wrong field.
    if re.search('[0-9A-Fa-f]{32}', text):
        return describe_secret(value)
    if len(text) > MAX_VALUE_CHARACTERS:
        return f'{text[:MAX_VALUE_CHARACTERS]}...'
    return text


def describe_secret(value: object) -> str:
    """Describe a value by type and length without its content."""
    if isinstance(value, str):
        return f'a text of {len(value)} characters'
    return f'a value of type {type(value).__name__}'


def check_type(value: object, expected: object, secret: bool = False) -> None:
    """Check the exact JSON type; raises MismatchError."""
    if type(value) not in JSON_TYPES[expected]:
        raise MismatchError(value, JSON_NAMES[expected], secret)


def structure(value: object, expected: type) -> Any:
    """Convert a JSON value to a data class.

    Raises cattrs.BaseValidationError or ValueError.
    """
    return _converter.structure(value, expected)


def list_problems(error: Exception, path: str) -> list[str]:
    """Return one line per problem of a failed conversion, with its path."""
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


def _make_primitive_hook(expected: Any) -> Callable[[object, object], object]:
    def convert(value: object, _: object) -> object:
        check_type(value, expected)
        return value

    return convert


def _make_annotated_hook(
    annotated: Any,
) -> Callable[[object, object], object]:
    base, rule = get_args(annotated)

    def convert(value: Any, _: object) -> object:
        _check_value(value, base, rule)
        return float(value) if base is float else value

    return convert


def _check_value(value: Any, base: type, rule: Rule) -> None:
    secret = getattr(rule, 'secret', False)
    check_type(value, base, secret)
    if not rule.accepts(value):
        raise MismatchError(value, rule.meaning, secret)


def _make_container_hook(
    expected: Any, converter: cattrs.Converter
) -> Callable[[object, object], object]:
    origin = get_origin(expected)
    convert_items = _make_items_hook(expected, converter)

    def convert(value: object, _: object) -> object:
        check_type(value, origin)
        return convert_items(value, expected)

    return convert


def _make_items_hook(expected: Any, converter: cattrs.Converter) -> Any:
    if get_origin(expected) is dict:
        return converter.gen_structure_mapping(expected)
    list_type = list.__class_getitem__(get_args(expected)[0])
    convert_list = converter.get_structure_hook(list_type)
    return lambda value, _: tuple(convert_list(value, list_type))


def _make_class_hook(
    expected: Any, converter: cattrs.Converter
) -> Callable[[object, object], object]:
    convert_fields = make_dict_structure_fn(
        expected, converter, _cattrs_forbid_extra_keys=True
    )

    def convert(value: Any, _: object) -> object:
        check_type(value, dict)
        return convert_fields(value, expected)

    return convert


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for primitive in (str, int, float, bool):
        converter.register_structure_hook(
            primitive, _make_primitive_hook(primitive)
        )
    converter.register_structure_hook_factory(is_dataclass)(_make_class_hook)
    converter.register_structure_hook_factory(
        lambda expected: get_origin(expected) in {tuple, dict}
    )(_make_container_hook)
    converter.register_structure_hook_factory(
        lambda expected: get_origin(expected) is Annotated
    )(_make_annotated_hook)
    return converter


_converter = _make_converter()
