"""Command that asks entries where a request would go."""

import json
import os
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import urllib3

from wasabistream.applications import EXIT_BAD_SETTINGS, EXIT_DONE, EXIT_FAILED
from wasabistream.daemon_commands import TIMEOUT_SECONDS, split_urls
from wasabistream.exceptions import RequestError
from wasabistream.platform.header_names import CALLER_KEY
from wasabistream.route_queries.operator_keys import OPERATOR_KEY_VARIABLE
from wasabistream.route_queries.pages import DONE_STATUS, ROUTE_PATH
from wasabistream.route_queries.queries import (
    BAD_QUERY_STATUS,
    VISIBLE_ASCII,
    SelectionQuery,
    check_fields,
    encode_query,
)
from wasabistream.tables import write_rows

# Answers with this status or a higher one are faults of the entry; other
# refusals are those of the input.
SERVER_ERROR = 500
# What entries must say alike to agree, and what of each server.
COMPARED_FIELDS = (
    'service',
    'route',
    'organisation',
    'priority',
    'version',
    'scheduled',
    'decision',
    'server',
)
COMPARED_SERVER_FIELDS = ('excluded', 'software_version')
TABLE_FIELDS = (
    'server',
    'data_centre',
    'software_version',
    'chance',
    'cost',
    'loss',
    'first_event_seconds',
    'waiting_count',
    'running_count',
    'memory_used_ratio',
    'remote_loss',
    'share',
    'report_age_seconds',
    'excluded',
)


@dataclass(frozen=True)
class EntryAnswer:
    """Hold what one entry answered, or the error and its exit code."""

    url: str
    answer: Mapping[str, Any]
    error: str = ''
    exit_code: int = EXIT_DONE


def route(urls: str, options: Mapping[str, object], as_json: bool) -> int:
    """Print where a request would go; returns the exit code."""
    texts = {name: str(option) for name, option in options.items()}
    operator_key = texts.pop('operator_key', '') or os.environ.get(
        OPERATOR_KEY_VARIABLE, ''
    )
    api_key = texts.pop('key', '')
    try:
        query = check_fields(texts, api_key)
        headers = _build_headers(query, operator_key)
    except RequestError as error:
        sys.stderr.write(f'{error.reason}\n')
        return EXIT_BAD_SETTINGS
    answers = [_ask(url, query, headers) for url in split_urls(urls)]
    for failed in answers:
        if failed.error:
            sys.stderr.write(f'{failed.url}: {failed.error}\n')
    given = [entry for entry in answers if not entry.error]
    for answered in given:
        _write_answer(answered, as_json)
    if len(answers) > 1:
        _write_comparison(given, len(answers), as_json)
    return max(entry.exit_code for entry in answers)


def find_differences(answers: Sequence[EntryAnswer]) -> list[dict[str, Any]]:
    """Return each field in which entries differ, with the values by URL."""
    differing = []
    values_by_field = {
        field: {entry.url: entry.answer.get(field) for entry in answers}
        for field in COMPARED_FIELDS
    }
    for name in COMPARED_SERVER_FIELDS:
        known = [
            {row['endpoint']: row.get(name) for row in entry.answer['servers']}
            for entry in answers
        ]
        for endpoint in sorted(set().union(*known)):
            values_by_field[f'{endpoint} {name}'] = {
                entry.url: by_endpoint.get(endpoint, 'not listed')
                for entry, by_endpoint in zip(answers, known)
            }
    for field, values in values_by_field.items():
        if len({json.dumps(value) for value in values.values()}) > 1:
            differing.append({'field': field, 'values': values})
    return differing


def _build_headers(query: SelectionQuery, operator_key: str) -> dict[str, str]:
    headers = {}
    if query.api_key:
        headers[CALLER_KEY] = query.api_key
    if operator_key:
        if not VISIBLE_ASCII.fullmatch(operator_key):
            reason = 'operator_key: not visible ASCII'
            raise RequestError(reason, BAD_QUERY_STATUS, 'query')
        headers['Authorization'] = f'Bearer {operator_key}'
    return headers


def _ask(
    url: str, query: SelectionQuery, headers: Mapping[str, str]
) -> EntryAnswer:
    address = f'{url}{ROUTE_PATH}?{encode_query(query)}'
    try:
        response = urllib3.request(
            'GET',
            address,
            headers=headers,
            timeout=TIMEOUT_SECONDS,
            retries=False,
            redirect=False,
        )
        answer = json.loads(response.data)
    except (urllib3.exceptions.LocationValueError, UnicodeError) as error:
        return EntryAnswer(url, {}, f'no URL: {error}', EXIT_BAD_SETTINGS)
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        return EntryAnswer(url, {}, str(error), EXIT_FAILED)
    if not isinstance(answer, dict):
        return EntryAnswer(url, {}, 'answer is not an object', EXIT_FAILED)
    if response.status == DONE_STATUS and 'servers' in answer:
        return EntryAnswer(url, answer)
    failed = response.status >= SERVER_ERROR or response.status == DONE_STATUS
    return EntryAnswer(
        url,
        {},
        f'{response.status}: {answer.get("error", "no answer to the query")}',
        EXIT_FAILED if failed else EXIT_BAD_SETTINGS,
    )


def _write_answer(entry: EntryAnswer, as_json: bool) -> None:
    if as_json:
        write_rows([{'url': entry.url, **entry.answer}], as_json=True)
        return
    answer = entry.answer
    sys.stdout.write(
        f'{entry.url} ({answer["process_id"]}): {answer["decision"]}'
        f' {answer["server"]}'.rstrip()
        + f': {answer["reason"]}\n'
        + f'route {answer["route"]}, service {answer["service"]},'
        f' organisation {answer["organisation"] or "none"},'
        f' priority {answer["priority"]}, version {answer["version"]},'
        f' {answer["scheduled_reason"]}\n'
    )
    rows = [
        {name: _format_cell(row.get(name)) for name in TABLE_FIELDS}
        for row in answer['servers']
    ]
    used_names = [
        name for name in TABLE_FIELDS if any(row[name] for row in rows)
    ]
    write_rows(
        [{name: row[name] or '-' for name in used_names} for row in rows],
        as_json=False,
    )


def _write_comparison(
    answers: Sequence[EntryAnswer], asked_count: int, as_json: bool
) -> None:
    differences = find_differences(answers)
    if as_json:
        comparison = {
            'asked_count': asked_count,
            'answered_count': len(answers),
            'agree': not differences,
            'differences': differences,
        }
        write_rows([comparison], as_json=True)
        return
    verdict = 'differ' if differences else 'agree'
    sys.stdout.write(f'{len(answers)} of {asked_count} entries {verdict}\n')
    for row in differences:
        values = ', '.join(
            f'{url}: {value}' for url, value in row['values'].items()
        )
        sys.stdout.write(f'  {row["field"]}: {values}\n')


def _format_cell(value: object) -> str:
    return '' if value is None else str(value)
