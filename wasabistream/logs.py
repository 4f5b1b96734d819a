"""Structured logs of a process."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter


def configure_logs(level: str, process_id: str) -> None:
    """Write JSON lines with the process id to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            '%(asctime)s %(levelname)s %(name)s %(message)s',
            static_fields={'process_id': process_id},
        )
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
