"""Output of a measurement's rows as JSON lines or as a table."""

import json
import sys
from typing import Any


class MeasurementReport:
    """Print rows as JSON lines for programs or as a table for people."""

    def __init__(self, as_json: bool) -> None:
        self._as_json = as_json
        self.rows: list[dict[str, Any]] = []

    def add_row(self, **row: Any) -> None:
        """Add a row; with JSON it is printed at once."""
        self.rows.append(row)
        if self._as_json:
            self._print(json.dumps(row))

    def print_progress(self, line: str) -> None:
        """Print a line of progress to standard error."""
        sys.stderr.write(f'{line}\n')

    def close(self) -> None:
        """Print the table unless the rows were printed as JSON."""
        if self._as_json or not self.rows:
            return
        columns = list(self.rows[0])
        table = [
            columns,
            *[
                [_format_cell(row.get(name)) for name in columns]
                for row in self.rows
            ],
        ]
        widths = [
            max(len(cells[index]) for cells in table)
            for index in range(len(columns))
        ]
        for cells in table:
            self._print(
                '  '.join(
                    cell.rjust(width) for cell, width in zip(cells, widths)
                )
            )

    def _print(self, line: str) -> None:
        sys.stdout.write(f'{line}\n')
        sys.stdout.flush()


def _format_cell(cell: Any) -> str:
    return f'{cell:.3f}' if isinstance(cell, float) else str(cell)
