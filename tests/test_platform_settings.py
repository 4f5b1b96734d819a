"""Tests of a settings file that changes while a process runs."""

import os
import signal
import tempfile
import threading
import unittest
from pathlib import Path
from unittest.mock import Mock, patch

import yaml

from tests.platform_builders import NODE
from wasabistream.applications import Application
from wasabistream.platform.node_applications import (
    NodeApplication,
    ProcessOptions,
)
from wasabistream.platform.node_files import NodeSettings, read_node_file

WAIT_SECONDS = 10
MODULE = 'wasabistream.platform.node_applications'


class ReloadRecorder(NodeApplication):
    """Record the settings that it applies."""

    def __init__(self, path: str) -> None:
        super().__init__(read_node_file(path), ProcessOptions(path, 0))
        self.taken: list[NodeSettings] = []
        self.changed = threading.Event()

    def on_reload(self, node_settings: NodeSettings) -> None:
        """Record settings."""
        self.taken.append(node_settings)
        self.changed.set()


class ReloadTest(unittest.TestCase):
    """Guard against changed settings that are ignored or stop a process."""

    def setUp(self) -> None:
        """Run a process that watches a settings file."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name, 'node.yaml')
        self.path.write_text(yaml.safe_dump(NODE))
        self.process = ReloadRecorder(str(self.path))
        with (
            patch(f'{MODULE}.start_http_server', Mock()),
            patch.object(Application, 'run', Mock()),
        ):
            self.process.run()
        self.addCleanup(signal.signal, signal.SIGHUP, signal.SIG_DFL)

    def test_signal(self) -> None:
        """Guard against new seeds that are ignored after SIGHUP."""
        seeds = ['10.9.9.9:8748']
        self.path.write_text(yaml.safe_dump({**NODE, 'seeds': seeds}))
        os.kill(os.getpid(), signal.SIGHUP)
        self.assertTrue(self.process.changed.wait(WAIT_SECONDS))
        latest = self.process.taken[-1]
        self.assertEqual(latest.seeds[0].address, '10.9.9.9')

    def test_change_without_a_signal(self) -> None:
        """Guard against a change that is ignored without SIGHUP."""
        self.path.write_text(yaml.safe_dump({**NODE, 'zone': 'dc-b'}))
        self.assertTrue(self.process.changed.wait(WAIT_SECONDS))

    def test_broken_file_changes_nothing(self) -> None:
        """Guard against a half-written file that stops the reloading."""
        self.path.write_text('node_name: [')
        os.kill(os.getpid(), signal.SIGHUP)
        self.path.write_text(yaml.safe_dump({**NODE, 'zone': 'dc-b'}))
        self.assertTrue(self.process.changed.wait(WAIT_SECONDS))
        self.assertEqual(self.process.node_settings.data_centre, 'dc-b')
