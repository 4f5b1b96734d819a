"""Tests that run a fleet under faults and check its history."""

import unittest

from wasabistream_tools.history import run_seed

# A single fault and a pair. The result does not depend on the speed of the VM,
# since the checks hold for any timing and the limits are those of the
# requirements.
SEEDS = ((101, ('kill_service_agent',)), (102, ('kill_entry', 'lose_answers')))


class HistoryTest(unittest.TestCase):
    """Guard the nine guarantees over whole runs of a fleet."""

    def test_fixed_seeds(self) -> None:
        """Guard against a broken guarantee under faults of fixed seeds."""
        for seed, faults in SEEDS:
            with self.subTest(seed=seed, faults=faults):
                _, violations = run_seed(seed, faults)
                self.assertEqual(violations, [])
