"""Reading of structured log lines from files."""

import json
import sys
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from datetime import datetime
from typing import Any

from wasabistream.exceptions import InspectionError

# Longer lines are not written by any process of the system.
MAX_LINE_CHARACTERS = 256 * 1024
STANDARD_INPUT = '-'
LINE_ERRORS = (ValueError, KeyError, TypeError, RecursionError)


@dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one structured log line."""

    process_id: str
    message: str
    time_text: str
    fields: dict[str, Any]

    @property
    def request_id(self) -> str:
        """Return the id of the request that the line is about, or ''."""
        return str(self.fields.get('request_id') or '')

    @property
    def time_seconds(self) -> float:
        """Return the time of the line; 0 if it cannot be read."""
        try:
            return datetime.fromisoformat(
                self.time_text.replace(',', '.')
            ).timestamp()
        except ValueError:
            return 0


def read_log_lines(paths: Sequence[str]) -> Iterator[LogLine]:
    """Yield the log lines of files, one at a time; '-' is standard input.

    A malformed line is reported on standard error with its number. Raises
    InspectionError when a file cannot be read.
    """
    for path in paths:
        try:
            yield from _read_file(path)
        except OSError as error:
            raise InspectionError(str(error), 'read logs', path) from error


def _read_file(path: str) -> Iterator[LogLine]:
    if path == STANDARD_INPUT:
        yield from _read_stream(sys.stdin, path)
        return
    with open(path, encoding='utf-8', errors='replace') as stream:
        yield from _read_stream(stream, path)


def _read_stream(stream: Any, path: str) -> Iterator[LogLine]:
    number = 0
    while text := stream.readline(MAX_LINE_CHARACTERS):
        number += 1
        # A collector may put its own prefix in front.
        start = text.find('{')
        if start < 0:
            continue
        try:
            yield _decode_line(text[start:])
        except LINE_ERRORS as error:
            sys.stderr.write(f'{path}:{number}: malformed line: {error!r}\n')


def _decode_line(text: str) -> LogLine:
    fields = json.loads(text)
    return LogLine(
        process_id=str(fields.get('process_id', '')),
        message=str(fields['message']),
        time_text=str(fields['asctime']),
        fields=fields,
    )
