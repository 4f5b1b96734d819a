"""Tests of the fault soak with fixed seeds, short enough for CI."""

import subprocess
import sys
import unittest
from collections.abc import Sequence

TIMEOUT_SECONDS = 120
COMMAND = (sys.executable, '-m', 'wasabistream_tools.soak')
STOPS = (
    *('--seed', '4', '--seeds', '2', '--seconds', '8'),
    *('--entries', '2', '--clients', '5', '--faults'),
    'sigterm,repeated_sigterm,sighup_around_stop,configurations,agent_sigterm',
)
# This seed draws each of the faults at least once.
DISTURBANCES = (
    *('--seed', '10661', '--seconds', '20', '--entries', '4'),
    *('--clients', '3', '--data_centres', '2', '--routes', '100'),
    *('--servers', '10', '--pages', 'platform', '--probes', '1', '--faults'),
    'burst,configurations,engine_crash,links_cut,links_silent,links_slow,'
    'pause,store_silent_for_some,store_slow_for_some',
)
# This seed draws each of the faults once, and streams that leaving engines stop.
LAST_ORDERS = (
    *('--seed', '132', '--seconds', '7', '--entries', '3'),
    *('--clients', '8', '--faults'),
    'agent_returns,agent_killed,odd_orders',
)
# Answers without a length whose plain servers crash or reach their deadlines.
UNFRAMED = (
    *('--seed', '9712', '--seconds', '8', '--entries', '3'),
    *('--clients', '8', '--faults', 'plain_crash,configurations'),
)


class SoakTest(unittest.TestCase):
    """Guard against broken promises while faults are played."""

    def test_stops_and_configurations(self) -> None:
        """Guard against answers that are lost while daemons are stopped."""
        self.run_soak(STOPS, seed_count=2)

    def test_disturbances(self) -> None:
        """Guard against entries that disturbances of others lead astray."""
        self.run_soak(DISTURBANCES, seed_count=1)

    def test_last_orders(self) -> None:
        """Guard against stopped streams that end as complete after a part."""
        self.run_soak(LAST_ORDERS, seed_count=1)

    def test_unframed_answers(self) -> None:
        """Guard against parts of answers that pass for whole ones."""
        self.run_soak(UNFRAMED, seed_count=1)

    def run_soak(self, options: Sequence[str], seed_count: int) -> None:
        """Run a soak; all of its seeds must hold."""
        outcome = subprocess.run(
            (*COMMAND, *options),
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
            check=False,
        )
        self.assertTrue(
            outcome.stdout.endswith(f'{seed_count} passed, 0 failed\n'),
            outcome.stdout + outcome.stderr,
        )
        self.assertEqual(outcome.returncode, 0)
