"""Tests of structured logs."""

import contextlib
import io
import json
import logging
import unittest

from wasabistream.exceptions import LinkError
from wasabistream.logs import configure_logs


class LogFieldsTest(unittest.TestCase):
    """Guard the fields by which operators search for a failure."""

    def test_error_fields(self) -> None:
        """Guard against a failure whose step and peer are only in the text."""
        root = logging.getLogger()
        handlers, level = root.handlers, root.level
        self.addCleanup(setattr, root, 'handlers', handlers)
        self.addCleanup(root.setLevel, level)
        written = io.StringIO()
        with contextlib.redirect_stderr(written):
            configure_logs('INFO', 'entry-1')
        error = LinkError('peer is silent', 'receive', 'engine-1')
        logging.getLogger('test').info('link: %s', error)
        line = json.loads(written.getvalue())
        self.assertEqual(
            (line['process_id'], line['step'], line['peer']),
            ('entry-1', 'receive', 'engine-1'),
        )
