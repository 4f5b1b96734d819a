"""Structured JSON logs of a process."""

import atexit
import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from wasabistream.exceptions import WasabiError
from wasabistream.log_queues import BoundedLogHandler


class ErrorFieldsFilter(logging.Filter):
    """Add the step and peer of a logged error as fields of its line."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Add the fields; keeps every record."""
        arguments = record.args if isinstance(record.args, tuple) else ()
        for argument in arguments:
            if isinstance(argument, WasabiError):
                record.step = argument.step
                record.peer = argument.peer
        return True


def configure_logs(level: str, process_id: str) -> BoundedLogHandler:
    """Write JSON lines with the process id to standard output.

    A slow or missing reader of the output blocks no thread: lines are dropped
    and counted.
    """
    output = logging.StreamHandler(sys.stdout)
    output.setFormatter(
        JsonFormatter(
            '%(asctime)s %(levelname)s %(name)s %(message)s',
            static_fields={'process_id': process_id},
        )
    )
    handler = BoundedLogHandler(output)
    handler.addFilter(ErrorFieldsFilter())
    handler.start()
    atexit.register(handler.stop)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    return handler
