"""Tests of the whole request path with separate processes."""

import unittest

from wasabistream_tools import demo


class WholePathTest(unittest.TestCase):
    """Guard the path of requests from caller to backend server and back."""

    def test_demo(self) -> None:
        """Guard against lost answers and a repeated booking that runs twice."""
        self.assertEqual(demo.run(), 0)
