"""Output of rows as a text table or as JSON lines."""

import json
import sys
from collections.abc import Sequence
from typing import Any


def write_rows(rows: Sequence[dict[str, Any]], as_json: bool) -> None:
    """Write rows to standard output as JSON lines or as one text table."""
    lines = [json.dumps(row) for row in rows] if as_json else _table(rows)
    for line in lines:
        sys.stdout.write(f'{line}\n')


def _table(rows: Sequence[dict[str, Any]]) -> list[str]:
    if not rows:
        return []
    names = list(rows[0])
    cells = [names, *[[str(row[name]) for name in names] for row in rows]]
    widths = [
        max(len(line[column]) for line in cells) for column in range(len(names))
    ]
    return [
        '  '.join(
            text.ljust(width) for text, width in zip(line, widths)
        ).rstrip()
        for line in cells
    ]
