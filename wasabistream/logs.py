"""Structured logs of a process."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from wasabistream.exceptions import WasabiError


class ErrorFieldsFilter(logging.Filter):
    """Add step and peer of a logged error as fields of the line."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Pass every record on."""
        arguments = record.args if isinstance(record.args, tuple) else ()
        for argument in arguments:
            if isinstance(argument, WasabiError):
                record.step = argument.step
                record.peer = argument.peer
        return True


def configure_logs(level: str, process_id: str) -> None:
    """Write JSON lines with the process id to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            '%(asctime)s %(levelname)s %(name)s %(message)s',
            static_fields={'process_id': process_id},
        )
    )
    handler.addFilter(ErrorFieldsFilter())
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
