"""Commands that read log files: explain and losses."""

import sys
from collections.abc import Sequence
from dataclasses import asdict

from wasabistream.exceptions import InspectionError
from wasabistream.inspection.log_lines import read_log_lines
from wasabistream.inspection.loss_tables import LossCounter
from wasabistream.inspection.stories import tell_story
from wasabistream.tables import write_rows

EXIT_DONE = 0
EXIT_FAILED = 1


def explain(request_id: str, paths: Sequence[str], *, as_json: bool) -> int:
    """Print the story of a request; return 1 if no line is about it."""
    try:
        rows = tell_story(request_id, read_log_lines(paths))
    except InspectionError as error:
        return _fail(str(error))
    if not rows:
        return _fail(f'no line is about request {request_id}')
    write_rows([asdict(row) for row in rows], as_json)
    return EXIT_DONE


def losses(paths: Sequence[str], worths_text: str, *, as_json: bool) -> int:
    """Print the requests that were not in time, by route and cause."""
    try:
        counter = LossCounter(parse_worths(worths_text))
        counter.add(read_log_lines(paths))
    except InspectionError as error:
        return _fail(str(error))
    write_rows([asdict(row) for row in counter.rows()], as_json)
    if counter.skipped_count:
        sys.stderr.write(f'{counter.skipped_count} losses are not counted\n')
    return EXIT_DONE


def parse_worths(text: str) -> dict[str, float]:
    """Return the worth of a request by route; raises InspectionError."""
    worths = {}
    for part in filter(None, text.split(',')):
        route, _, number = part.partition('=')
        try:
            worths[route.strip()] = float(number)
        except ValueError as error:
            raise InspectionError(
                f'{part!r} is not ROUTE=NUMBER', 'read worths'
            ) from error
    return worths


def _fail(reason: str) -> int:
    sys.stderr.write(f'{reason}\n')
    return EXIT_FAILED
