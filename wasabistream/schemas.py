"""JSON Schema of the document, generated from its data classes."""

import json
import pathlib
import types
from dataclasses import MISSING, fields, is_dataclass
from typing import Annotated, Any, get_args, get_origin

from wasabistream.documents import Document
from wasabistream.rules import Bounds, Choice, Pattern, Rule

SCHEMA_FILE = pathlib.Path(__file__).with_name('document.schema.json')
DIALECT = 'https://json-schema.org/draft/2020-12/schema'
TYPE_NAMES = types.MappingProxyType(
    {str: 'string', int: 'integer', float: 'number', bool: 'boolean'}
)


def document_schema() -> dict[str, Any]:
    """Return the JSON Schema of the document."""
    return {
        '$schema': DIALECT,
        'title': 'wasabistream configuration document',
        **_type_schema(Document),
    }


def schema_text() -> str:
    """Return the content of the schema file in the repository."""
    return json.dumps(document_schema(), indent=2) + '\n'


def _type_schema(expected: Any) -> dict[str, Any]:
    if is_dataclass(expected):
        return _class_schema(expected)
    origin = get_origin(expected)
    if origin is Annotated:
        base, rule = get_args(expected)
        return {'type': TYPE_NAMES[base], **_rule_schema(rule)}
    if origin is tuple:
        return {'type': 'array', 'items': _type_schema(get_args(expected)[0])}
    if origin is dict:
        key, mapped_type = get_args(expected)
        return {
            'type': 'object',
            'propertyNames': _type_schema(key),
            'additionalProperties': _type_schema(mapped_type),
        }
    return {'type': TYPE_NAMES[expected]}


def _class_schema(expected: Any) -> dict[str, Any]:
    return {
        'type': 'object',
        'description': expected.__doc__,
        'properties': {
            item.name: _type_schema(item.type) for item in fields(expected)
        },
        'required': [
            item.name
            for item in fields(expected)
            if item.default is MISSING and item.default_factory is MISSING
        ],
        'additionalProperties': False,
    }


def _rule_schema(rule: Rule) -> dict[str, Any]:
    match rule:
        case Bounds():
            lower = 'exclusiveMinimum' if rule.above else 'minimum'
            return {lower: rule.minimum, 'maximum': rule.maximum}
        case Pattern():
            return {'pattern': rule.expression}
        case Choice():
            return {'enum': list(rule.names)}


if __name__ == '__main__':
    SCHEMA_FILE.write_text(schema_text(), encoding='utf-8')
