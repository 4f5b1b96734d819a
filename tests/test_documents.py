"""Tests of the checks of the configuration document."""

import json
import re
import unittest
from typing import Any

import jsonschema
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.builders import build_full_document
from wasabistream.documents import DocumentError, parse_document
from wasabistream.schemas import SCHEMA_FILE, document_schema, schema_text

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=5,
)


def _encode(raw: Any) -> bytes:
    return json.dumps(raw).encode()


def _problems(raw: Any) -> tuple[str, ...]:
    try:
        parse_document(_encode(raw))
    except DocumentError as error:
        return error.problems
    return ()


def _list_positions(raw: Any) -> list[tuple[Any, Any]]:
    """Return every container of a value with each of its keys."""
    if not isinstance(raw, (dict, list)):
        return []
    keys = list(raw if isinstance(raw, dict) else range(len(raw)))
    positions = [(raw, key) for key in keys]
    for key in keys:
        positions.extend(_list_positions(raw[key]))
    return positions


class DocumentTest(unittest.TestCase):
    """Guard against a document that processes cannot apply."""

    def test_all_problems_at_once(self) -> None:
        """Guard against a check that reports only the first problem."""
        raw = build_full_document()
        raw['revision'] = True
        raw['models'][0]['weight'] = 0
        raw['models'][0]['version_by_data_centre'] = {'dc-x': '1'}
        raw['models'][0]['surprise'] = 1
        raw['organisations'][0]['models'] = ['nothing']
        raw['services'][0]['timeout_seconds'] = '10'
        raw['data_centres'].append({'name': 'dc-a'})
        paths = [problem.partition(': ')[0] for problem in _problems(raw)]
        self.assertCountEqual(
            paths,
            [
                '$.revision',
                '$.models[0]',
                '$.models[0].weight',
                # Keys of an object are reported by position.
                '$.models[0].version_by_data_centre[0]',
                '$.organisations[0].models[0]',
                '$.services[0].timeout_seconds',
                '$.data_centres[2].name',
            ],
        )

    def test_horizon_below_timeout(self) -> None:
        """Guard against idempotency keys that expire before a repeat.

        A call is repeated after its timeout; its key is recorded for the
        retry horizon.
        """
        raw = build_full_document()
        raw['services'][0]['retry_horizon_seconds'] = 4
        self.assertEqual(
            _problems(raw),
            (
                '$.services[0].retry_horizon_seconds: 4 is not above '
                + 'timeout_seconds 10',
            ),
        )

    def test_credentials_are_not_shown(self) -> None:
        """Guard against credential digests in logs and error texts."""
        raw = build_full_document()
        digest = raw['organisations'][0]['credential_sha256']
        raw['organisations'].append({**raw['organisations'][0]})
        raw['organisations'][1].update(
            name=digest, credential_sha256=digest.upper(), models=[digest]
        )
        raw['organisations'].append({'credential_sha256': digest})
        text = '\n'.join(_problems(raw))
        self.assertIn('$.organisations[1].credential_sha256', text)
        self.assertIn('$.organisations[2].credential_sha256', text)
        self.assertNotIn(digest[:32], text.lower())

    def test_broken_bytes(self) -> None:
        """Guard against errors other than DocumentError for malformed bytes."""
        for body in (
            b'', b'\xff', b'{', b'[' * 100000, b'{"a": 1, "a": 2}',
            b'{"revision": NaN}', b'9' * 5000, b' ' * 2**21, b'null',
        ):  # fmt: skip
            with self.subTest(body=body[:10]), self.assertRaises(DocumentError):
                parse_document(body)

    def test_formatting_keeps_digest(self) -> None:
        """Guard against different digests for equal documents."""
        raw = build_full_document()
        spaced = json.dumps(raw, indent=4).encode()
        self.assertEqual(
            parse_document(spaced).version_id,
            parse_document(_encode(raw)).version_id,
        )

    @settings(max_examples=300, deadline=None)
    @given(st.data())
    def test_mutations(self, data: st.DataObject) -> None:
        """Guard against crashes, and a schema that refuses valid documents."""
        raw = build_full_document()
        for _ in range(data.draw(st.integers(1, 3))):
            container, key = data.draw(st.sampled_from(_list_positions(raw)))
            if data.draw(st.booleans()):
                container[key] = data.draw(JSON_VALUES)
            else:
                container.pop(key)
        problems = _problems(raw)
        for problem in problems:
            self.assertRegex(problem, re.compile(r'^\$[^:]*: .', re.DOTALL))
        if not problems:
            jsonschema.validate(raw, document_schema())


class SchemaTest(unittest.TestCase):
    """Guard the published JSON Schema of the document."""

    def test_committed_schema_is_current(self) -> None:
        """Guard against a schema that differs from the data classes."""
        self.assertEqual(SCHEMA_FILE.read_text(encoding='utf-8'), schema_text())

    def test_schema_is_valid_and_strict(self) -> None:
        """Guard against a schema that accepts what the checks refuse."""
        schema = document_schema()
        jsonschema.Draft202012Validator.check_schema(schema)
        raw = build_full_document()
        jsonschema.validate(raw, schema)
        raw['organisations'][0]['surprise'] = 1
        with self.assertRaises(jsonschema.ValidationError):
            jsonschema.validate(raw, schema)
