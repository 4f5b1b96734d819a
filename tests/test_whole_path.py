"""Tests of the whole path with separate processes."""

import unittest

from wasabistream_tools import demo


class WholePathTest(unittest.TestCase):
    """Guard the path from a caller through entry and agent and back."""

    def test_demo(self) -> None:
        """Guard against a broken path or a booking that runs twice."""
        self.assertEqual(demo.run(), 0)
