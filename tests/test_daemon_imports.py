"""Tests of what the platform's daemons load before they serve.

Failure pattern: processes that hold memory for unused libraries and serve
late after a loss of power.
"""

import json
import os
import subprocess
import sys
import unittest
from unittest.mock import patch

from wasabistream.exceptions import SettingsError
from wasabistream.platform.daemons import (
    METRICS_PORT_VARIABLE,
    read_metrics_port,
)

LIST_PACKAGES = (
    'import importlib, json, sys; importlib.import_module(sys.argv[1]); '
    'print(json.dumps(sorted({name.split(".")[0] for name in sys.modules})))'
)
# Compiled modules of msgpack and yaml need cython_runtime.
AGENT_PACKAGES = frozenset(
    (
        'cython_runtime',
        'msgpack',
        'prometheus_client',
        'pythonjsonlogger',
        'urllib3',
        'yaml',
    )
)
# cheroot needs jaraco and more_itertools.
ENTRY_PACKAGES = AGENT_PACKAGES | frozenset(
    ('cheroot', 'jaraco', 'more_itertools', 'xxhash')
)
# Large modules of the standard library that no daemon uses.
UNUSED_MODULES = frozenset(
    ('asyncio', 'multiprocessing', 'sqlite3', 'unittest')
)


def list_packages(module: str) -> frozenset[str]:
    """Return the top-level packages that a new process loads."""
    finished = subprocess.run(
        (sys.executable, '-c', LIST_PACKAGES, module),
        check=True,
        capture_output=True,
    )
    return frozenset(json.loads(finished.stdout))


class DaemonImportTest(unittest.TestCase):
    """Guard against libraries that a daemon does not need."""

    def assert_loads_only(
        self, module: str, allowed_packages: frozenset[str]
    ) -> None:
        """Check the third-party packages that a program loads."""
        loaded = list_packages(module)
        bare = list_packages('sys')
        third_party = {
            name
            for name in loaded - bare - sys.stdlib_module_names
            if not name.startswith('_') and name != 'wasabistream'
        }
        self.assertEqual(third_party - allowed_packages, set())
        self.assertEqual(loaded & UNUSED_MODULES, set())

    def test_entry(self) -> None:
        """Guard against an entry that loads a command line library."""
        self.assert_loads_only(
            'wasabistream.platform.entry_daemon', ENTRY_PACKAGES
        )

    def test_agent(self) -> None:
        """Guard against an agent that loads the callers' side."""
        self.assert_loads_only(
            'wasabistream.platform.agent_daemon', AGENT_PACKAGES
        )

    def test_metrics_port(self) -> None:
        """Guard against a daemon that starts with an invalid port."""
        for text in ('', 'x', '0', '70000', '-1'):
            with patch.dict(os.environ, {METRICS_PORT_VARIABLE: text}):
                with self.assertRaises(SettingsError, msg=text):
                    read_metrics_port()
        with patch.dict(os.environ, {METRICS_PORT_VARIABLE: '9465'}):
            self.assertEqual(read_metrics_port(), 9465)
