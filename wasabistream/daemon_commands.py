"""Commands that query running daemons: status and audit."""

import json
import sys
from datetime import UTC, datetime
from typing import Any

import urllib3

from wasabistream.applications import EXIT_DONE, EXIT_FAILED
from wasabistream.tables import write_rows

TIMEOUT_SECONDS = 3.0
DONE_STATUS = 200
# With this status a daemon states that it is not ready, and why.
NOT_READY_STATUS = 503
STATUS_FIELDS = (
    'process_id',
    'role',
    'ready',
    'draining',
    'revision',
    'digest',
    'error',
)


def status(urls: str, as_json: bool) -> int:
    """Print readiness and document digest of daemons; returns the exit code."""
    rows = []
    for url in split_urls(urls):
        report, error = _fetch_json(
            url, '/readyz', dict, (DONE_STATUS, NOT_READY_STATUS)
        )
        report = {**report, 'error': error} if error else report
        columns = {name: report.get(name, '') for name in STATUS_FIELDS}
        rows.append({'url': url, **columns})
    write_rows(rows, as_json)
    return EXIT_FAILED if any(row['error'] for row in rows) else EXIT_DONE


def audit(urls: str, as_json: bool) -> int:
    """Print the audit records of all daemons by time; returns the exit code."""
    rows: list[dict[str, Any]] = []
    failed = False
    for url in split_urls(urls):
        records, error = _fetch_json(url, '/audit', list, (DONE_STATUS,))
        if error:
            failed = True
            sys.stderr.write(f'{url}: {error}\n')
            continue
        rows.extend({'url': url, **entry} for entry in records)
    rows.sort(key=lambda row: float(row['at_unix_seconds']))
    if not as_json:
        rows = [_format_row(row) for row in rows]
    write_rows(rows, as_json)
    return EXIT_FAILED if failed else EXIT_DONE


def split_urls(urls: str | tuple[str, ...]) -> list[str]:
    """Return the URLs of a comma-separated list, without closing slashes."""
    # The parser of the command line turns a comma-separated list into a tuple.
    parts = urls.split(',') if isinstance(urls, str) else urls
    return [part.strip().rstrip('/') for part in parts]


def _fetch_json(
    url: str, path: str, expected: type, statuses: tuple[int, ...]
) -> tuple[Any, str]:
    try:
        response = urllib3.request(
            'GET', url + path, timeout=TIMEOUT_SECONDS, retries=False
        )
        answer = json.loads(response.data)
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        return {}, str(error)
    if response.status not in statuses:
        return {}, f'status {response.status}'
    if not isinstance(answer, expected):
        return {}, f'answer is {type(answer).__name__}'
    return answer, ''


def _format_row(row: dict[str, Any]) -> dict[str, Any]:
    at = datetime.fromtimestamp(row['at_unix_seconds'], UTC)
    time_column = {'time': at.isoformat(timespec='milliseconds')}
    other_columns = {
        name: text for name, text in row.items() if name != 'at_unix_seconds'
    }
    return {**time_column, **other_columns, 'digest': row['digest'][:12]}
