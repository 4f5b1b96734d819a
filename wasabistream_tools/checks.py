"""Test runner that tolerates failures of the tests listed in KNOWN-RED.txt.

A line of that file that starts with `test:` names one test. Such a test runs,
and its failure is printed, but does not change the exit code. The last lines
name all tests that failed, as readers may get only the end of a long output.
"""

import pathlib
import re
import sys
import unittest
from typing import TextIO

KNOWN_RED_FILE = pathlib.Path('KNOWN-RED.txt')
TEST_PREFIX = 'test:'
# Lines at the end of each trace that the summary repeats.
TRACE_LINE_COUNT = 12
# With `buffer`, a trace is followed by what its test printed.
OUTPUT_HEADING = re.compile(r'^Std(?:out|err):$', re.MULTILINE)


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


def write_summary(
    outcome: unittest.TestResult,
    known_red_ids: frozenset[str],
    output: TextIO,
) -> int:
    """Write which tests failed; return the number that are not known to."""
    failures = [*outcome.failures, *outcome.errors]
    failed_count = 0
    for test, trace in failures:
        if test.id() in known_red_ids:
            output.write(f'known red: {test.id()}\n')
            continue
        failed_count += 1
        trace_alone = OUTPUT_HEADING.split(trace)[0].strip()
        lines = trace_alone.splitlines()[-TRACE_LINE_COUNT:]
        output.write('\n'.join((f'failed: {test.id()}', *lines, '')))
    passed_count = outcome.testsRun - len(failures)
    output.write(f'{passed_count} passed, {failed_count} failed\n')
    return failed_count


def run() -> int:
    """Run all tests; return 0 if some ran and only known ones failed."""
    suite = unittest.defaultTestLoader.discover('tests', top_level_dir='.')
    outcome = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    failed_count = write_summary(outcome, load_known_red_ids(), sys.stdout)
    return 1 if failed_count or not outcome.testsRun else 0


if __name__ == '__main__':
    sys.exit(run())
