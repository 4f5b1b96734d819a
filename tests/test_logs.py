"""Tests of structured logs."""

import contextlib
import io
import json
import logging
import unittest
from unittest.mock import Mock, patch

from wasabistream.exceptions import LinkError
from wasabistream.log_queues import MAX_QUEUED_LINE_COUNT, BoundedLogHandler
from wasabistream.logs import configure_logs


class LogFieldsTest(unittest.TestCase):
    """Guard the log fields by which operators search for a failure."""

    def test_error_fields(self) -> None:
        """Guard against a failure whose step and peer are only in the text."""
        root = logging.getLogger()
        handlers, level = root.handlers, root.level
        self.addCleanup(setattr, root, 'handlers', handlers)
        self.addCleanup(root.setLevel, level)
        written = io.StringIO()
        with contextlib.redirect_stdout(written):
            handler = configure_logs('INFO', 'entry-1')
        error = LinkError('peer is silent', 'receive', 'engine-1')
        logging.getLogger('test').info('link: %s', error)
        handler.stop()
        line = json.loads(written.getvalue())
        self.assertEqual(
            (line['process_id'], line['step'], line['peer']),
            ('entry-1', 'receive', 'engine-1'),
        )


class BoundedLogTest(unittest.TestCase):
    """Guard against a process that blocks on the reader of its log."""

    def test_lines_are_dropped_and_counted(self) -> None:
        """Guard against a log that grows without bound under load."""
        written: list[logging.LogRecord] = []
        output = Mock(level=logging.INFO, handle=written.append)
        handler = BoundedLogHandler(output)
        for number in range(MAX_QUEUED_LINE_COUNT + 10):
            handler.enqueue(build_record(number))
        handler.start()
        handler.stop()
        self.assertLessEqual(len(written), MAX_QUEUED_LINE_COUNT)
        self.assertGreater(len(written), 0)

    def test_next_line_counts_dropped_lines(self) -> None:
        """Guard against dropped lines that nobody notices."""
        handler = BoundedLogHandler(Mock())
        with patch.object(
            handler, '_try_take_allowance', side_effect=(False, True)
        ):
            handler.enqueue(build_record(1))
            record = build_record(2)
            handler.enqueue(record)
        self.assertEqual(record.__dict__['dropped_count'], 1)


def build_record(number: int) -> logging.LogRecord:
    """Return one log record."""
    return logging.makeLogRecord({'msg': f'line {number}'})
