"""Tests of the ports that test fleets choose before their processes bind them.

Failure pattern: the system gives a port that was chosen to a socket that binds
any port, or to an outgoing connection, and the process cannot bind it.
"""

import unittest
from pathlib import Path

from tests.resume_fleets import find_shared_port
from wasabistream_tools.fleet import free_port

EPHEMERAL_RANGE = Path('/proc/sys/net/ipv4/ip_local_port_range')
DRAW_COUNT = 30


class PortChoiceTest(unittest.TestCase):
    """Guard against ports that the system may give away meanwhile."""

    def test_range(self) -> None:
        """Guard against ports out of the range that the system uses."""
        lowest, highest = map(int, EPHEMERAL_RANGE.read_text().split())
        for choose in (find_shared_port, free_port):
            for _ in range(DRAW_COUNT):
                self.assertNotIn(choose(), range(lowest, highest + 1))


if __name__ == '__main__':
    unittest.main()
