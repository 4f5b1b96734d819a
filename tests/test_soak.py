"""Test of the fault soak with fixed seeds, short enough for CI."""

import subprocess
import sys
import unittest

TIMEOUT_SECONDS = 120
COMMAND = (
    *(
        sys.executable,
        '-m',
        'wasabistream_tools.soak',
        '--seed',
        '4',
        '--seeds',
        '2',
    ),
    *('--seconds', '8', '--entries', '2', '--clients', '5', '--faults'),
    'sigterm,repeated_sigterm,sighup_around_stop,configurations,agent_sigterm',
)


class SoakTest(unittest.TestCase):
    """Guard against answers that are lost while daemons are stopped."""

    def test_stops_and_configurations(self) -> None:
        """Guard against a broken promise around planned work."""
        outcome = subprocess.run(
            COMMAND,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
            check=False,
        )
        self.assertTrue(
            outcome.stdout.endswith('2 passed, 0 failed\n'),
            outcome.stdout + outcome.stderr,
        )
        self.assertEqual(outcome.returncode, 0)
