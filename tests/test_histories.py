"""Tests that run short histories under faults."""

import unittest

from wasabistream_tools.history import run_seed

# One fault alone and one pair; the verdict does not depend on speed, since
# the checks hold for any timing and the limits are those of the requirements.
SEEDS = ((101, ('kill_service_agent',)), (102, ('kill_entry', 'lose_answers')))


class HistoryTest(unittest.TestCase):
    """Guard the nine guarantees over whole runs."""

    def test_fixed_seeds(self) -> None:
        """Guard against any violation in the fixed seeds."""
        for seed, faults in SEEDS:
            with self.subTest(seed=seed, faults=faults):
                _, violations = run_seed(seed, faults)
                self.assertEqual(violations, [])
