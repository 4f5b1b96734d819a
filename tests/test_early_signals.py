"""Tests of signals that reach a process while it starts.

Failure pattern: the settings of a process change right after its start, and
the SIGHUP that tells of it ends the process.
"""

import signal
import time
import unittest
from functools import partial
from pathlib import Path

from tests.builders import wait_until
from tests.daemon_processes import DaemonCase

# Both daemons load it long before they handle signals.
LOADED_LIBRARY = 'msgpack'
SIGNAL_COUNT = 20
SIGNAL_INTERVAL_SECONDS = 0.03


def is_library_loaded(maps: Path) -> bool:
    """Return whether a process has loaded the library."""
    return LOADED_LIBRARY in maps.read_text(encoding='utf-8')


class EarlySignalTest(DaemonCase):
    """Guard against a process that a reload of its settings ends."""

    def test_reloads_during_the_start(self) -> None:
        """Guard against SIGHUP before the application handles it."""
        settings = {
            'agent_daemon': {'app': '127.0.0.1:9', 'service': 'writer'},
            'entry_daemon': {},
        }
        for module, extra in settings.items():
            daemon = self.start_daemon(module, **extra)
            maps = Path(f'/proc/{daemon.process.pid}/maps')
            wait_until(partial(is_library_loaded, maps))
            for _ in range(SIGNAL_COUNT):
                daemon.process.send_signal(signal.SIGHUP)
                time.sleep(SIGNAL_INTERVAL_SECONDS)
            self.assertIsNone(daemon.process.poll(), module)
        wait_until(daemon.is_ready)


if __name__ == '__main__':
    unittest.main()
