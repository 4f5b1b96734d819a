"""Queries where a request would go."""

import re
import urllib.parse
from collections.abc import Mapping
from dataclasses import dataclass

from wasabistream.exceptions import RequestError
from wasabistream.prompt_parts import MAX_ID_LENGTH, MAX_PART_COUNT

BAD_QUERY_STATUS = 400
MAX_HOST_LENGTH = 255
MAX_PATH_LENGTH = 4096
MAX_KEY_LENGTH = 512
# Above the context length of any engine.
MAX_TOKEN_COUNT = 10_000_000
VISIBLE_ASCII = re.compile(r'[\x21-\x7e]+')
HOST = re.compile(r'[A-Za-z0-9._-]+(:[0-9]{1,5})?')
# A comma and a colon separate parts and token counts on the wire.
PART_ID = re.compile(r'[\x21-\x2b\x2d-\x39\x3b-\x7e]+')
TOKEN_COUNT = re.compile(r'[0-9]{1,8}')
FIELD_NAMES = (
    'host',
    'path',
    'prompt_tokens',
    'output_tokens',
    'parts',
    'software_version',
)
MAX_VERSION_LENGTH = 512


@dataclass(frozen=True, slots=True)
class SelectionQuery:
    """Describe a request whose selection is to be explained."""

    host: str
    # Path of the request, with its query string if it has one.
    path: str
    # Empty if the caller sends none.
    api_key: str = ''
    # None if the request states no tokens.
    prompt_tokens: int | None = None
    output_tokens: int = 0
    # Ids of the parts of its prompt that other requests share.
    parts: tuple[str, ...] = ()
    # Version that began the stream which the request goes on with; empty if the
    # request begins one.
    software_version: str = ''


def decode_query(query_string: str, api_key: str) -> SelectionQuery:
    """Return the query of a URL's query string; raises RequestError."""
    try:
        pairs = urllib.parse.parse_qsl(
            query_string,
            keep_blank_values=True,
            strict_parsing=True,
            errors='strict',
            max_num_fields=len(FIELD_NAMES),
        )
    except ValueError as error:
        raise _build_error([f'query string: {error}']) from error
    fields = dict(pairs)
    if len(fields) < len(pairs):
        raise _build_error(['query string: a field occurs twice'])
    return check_fields(fields, api_key)


def check_fields(fields: Mapping[str, str], api_key: str) -> SelectionQuery:
    """Return the query with these fields; raises RequestError with all faults."""
    problems = [
        f'{name!r}: unknown field, use {", ".join(FIELD_NAMES)}'
        for name in fields
        if name not in FIELD_NAMES
    ]
    host = fields.get('host', '')
    if len(host) > MAX_HOST_LENGTH or not HOST.fullmatch(host):
        problems.append(f'host: {host!r:.80} is no host name')
    path = fields.get('path', '')
    if (
        not path.startswith('/')
        or len(path) > MAX_PATH_LENGTH
        or not VISIBLE_ASCII.fullmatch(path)
    ):
        problems.append(
            f'path: {path!r:.80} does not begin with a slash, is too long or'
            ' has bytes other than visible ASCII'
        )
    # The key itself must not get into messages.
    if api_key and (
        len(api_key) > MAX_KEY_LENGTH or not VISIBLE_ASCII.fullmatch(api_key)
    ):
        problems.append('key: too long or not visible ASCII')
    counts = {
        name: _check_count(name, fields[name], problems)
        for name in ('prompt_tokens', 'output_tokens')
        if fields.get(name)
    }
    parts = _check_parts(fields.get('parts', ''), problems)
    software_version = fields.get('software_version', '')
    if len(software_version) > MAX_VERSION_LENGTH:
        problems.append('software_version: too long')
    if problems:
        raise _build_error(problems)
    return SelectionQuery(
        host=host,
        path=path,
        api_key=api_key,
        prompt_tokens=counts.get('prompt_tokens', 0) if counts else None,
        output_tokens=counts.get('output_tokens', 0),
        parts=parts,
        software_version=software_version,
    )


def encode_query(query: SelectionQuery) -> str:
    """Return the query string of a query; it leaves out the API key."""
    fields = {'host': query.host, 'path': query.path}
    if query.prompt_tokens is not None:
        fields['prompt_tokens'] = str(query.prompt_tokens)
        fields['output_tokens'] = str(query.output_tokens)
    if query.parts:
        fields['parts'] = ','.join(query.parts)
    if query.software_version:
        fields['software_version'] = query.software_version
    return urllib.parse.urlencode(fields)


def _check_count(name: str, text: str, problems: list[str]) -> int:
    if not TOKEN_COUNT.fullmatch(text) or int(text) > MAX_TOKEN_COUNT:
        problems.append(
            f'{name}: {text!r:.80} is no whole number up to {MAX_TOKEN_COUNT}'
        )
        return 0
    return int(text)


def _check_parts(text: str, problems: list[str]) -> tuple[str, ...]:
    if not text:
        return ()
    parts = tuple(text.split(','))
    if len(parts) > MAX_PART_COUNT:
        problems.append(f'parts: more than {MAX_PART_COUNT}')
    for part in parts[:MAX_PART_COUNT]:
        if len(part) > MAX_ID_LENGTH or not PART_ID.fullmatch(part):
            problems.append(f'parts: {part!r:.80} is no id of a part')
    return parts


def _build_error(problems: list[str]) -> RequestError:
    return RequestError('; '.join(problems), BAD_QUERY_STATUS, 'query')
