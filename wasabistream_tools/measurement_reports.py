"""Rows of a measurement, as JSON lines or as a table."""

import json
import sys
from typing import Any


class MeasurementReport:
    """Print measured rows for programs or for people."""

    def __init__(self, as_json: bool) -> None:
        self._as_json = as_json
        self.rows: list[dict[str, Any]] = []

    def add(self, **row: Any) -> None:
        """Add a row; with JSON it is printed at once."""
        self.rows.append(row)
        if self._as_json:
            self._print(json.dumps(row))

    def progress(self, line: str) -> None:
        """Tell a person how far the measurement is."""
        sys.stderr.write(f'{line}\n')

    def close(self) -> None:
        """Print the table unless the rows were printed as JSON."""
        if self._as_json or not self.rows:
            return
        names = list(self.rows[0])
        table = [
            names,
            *[[_text(row.get(name)) for name in names] for row in self.rows],
        ]
        widths = [
            max(len(cells[column]) for cells in table)
            for column in range(len(names))
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


def _text(cell: Any) -> str:
    return f'{cell:.3f}' if isinstance(cell, float) else str(cell)
