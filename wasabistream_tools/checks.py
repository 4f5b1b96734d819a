"""Test runner that tolerates failures of the tests listed in KNOWN-RED.txt.

A line of that file that starts with `test:` names one test. Such a test runs,
and its failure is printed, but does not change the exit code.
"""

import pathlib
import sys
import unittest

KNOWN_RED_FILE = pathlib.Path('KNOWN-RED.txt')
TEST_PREFIX = 'test:'


def load_known_red_ids() -> frozenset[str]:
    """Return the ids of the tests that are known to fail."""
    if not KNOWN_RED_FILE.exists():
        return frozenset()
    lines = KNOWN_RED_FILE.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    )


def run() -> int:
    """Run all tests; return 0 if some ran and only known ones failed."""
    suite = unittest.defaultTestLoader.discover('tests', top_level_dir='.')
    outcome = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    known_red_ids = load_known_red_ids()
    failures = [*outcome.failures, *outcome.errors]
    red_ids = [test.id() for test, _ in failures if test.id() in known_red_ids]
    failed_count = len(failures) - len(red_ids)
    for test_id in red_ids:
        sys.stdout.write(f'known red: {test_id}\n')
    passed_count = outcome.testsRun - len(failures)
    sys.stdout.write(f'{passed_count} passed, {failed_count} failed\n')
    return 1 if failed_count or not outcome.testsRun else 0


if __name__ == '__main__':
    sys.exit(run())
