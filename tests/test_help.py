"""Tests of the help of the command line."""

import subprocess
import sys
import unittest


class HelpTest(unittest.TestCase):
    """Guard against commands that the help does not show."""

    def test_help_lists_commands(self) -> None:
        """Guard against a help that lists only groups of commands."""
        for arguments, names in (
            (('--help',), ('entry', 'status', 'route', 'losses', 'measure')),
            (('measure', '--help'), ('relay', 'state')),
        ):
            finished = subprocess.run(
                (sys.executable, '-m', 'wasabistream', *arguments),
                check=True,
                capture_output=True,
                text=True,
            )
            listed = (finished.stdout + finished.stderr).split()
            self.assertLessEqual(set(names), set(listed))
