"""Tests of a store that returns from an older copy.

Failure pattern: what the store acknowledged since the copy is gone, and its
revisions are given out again for other contents.
"""

import base64
import unittest

from tests.epoch_builders import (
    FollowedStore,
    build_configuration_row,
    build_server_row,
)
from tests.waits import wait_for
from wasabistream.forwarding.mirrors import MirrorItem
from wasabistream.platform.store_decoders import FleetDecoder

# Time in which a change must be in force after its acknowledgement.
APPLY_SECONDS = 2.0


class RestoredStoreTest(unittest.TestCase):
    """Guard against changes after a return that are not in force in time."""

    def setUp(self) -> None:
        """Return to a copy after version 9 and two servers were written."""
        self.followed = FollowedStore()
        self.addCleanup(self.followed.stop)
        self.store = self.followed.store
        self.store.put(build_configuration_row(2, 7))
        self.store.put(build_server_row(3, 'kept'))
        self.followed.follower.start()
        self.assertTrue(wait_for(lambda: self.followed.has(7, 'kept')))
        copied = self.store.copy()
        self.store.put(build_configuration_row(4, 9))
        self.store.put(build_server_row(5, 'lost'))
        self.store.put(build_server_row(30, 'left'))
        self.assertTrue(
            wait_for(lambda: self.followed.has(9, 'kept', 'lost', 'left'))
        )
        self.store.calls.clear()
        self.store.restore(copied)
        # The copy is read before anything is written again.
        self.assertTrue(wait_for(lambda: '/-/kv-range' in self.store.calls))

    def test_reused_revisions(self) -> None:
        """Guard against changes that are skipped for their low revisions.

        Version 7 of the copy must not come into force again.
        """
        self.store.put(build_server_row(4, 'new'))
        self.store.put(build_configuration_row(5, 11))
        self.store.remove('servers/kept')
        self.assertTrue(
            wait_for(lambda: self.followed.has(11, 'new'), APPLY_SECONDS),
            self.followed.versions,
        )
        self.assertEqual(self.followed.versions, sorted(self.followed.versions))


class DecodedRevisionTest(unittest.TestCase):
    """Guard against contents that are skipped as their revision is known."""

    def test_configuration_with_a_reused_revision(self) -> None:
        """Guard against a version that is taken for the one in force."""
        decoder = FleetDecoder()
        for version, expected in ((7, 7), (9, 9), (8, 9), (11, 11)):
            fleet = decoder.decode({'op/config': _build_item(version)})
            configuration = fleet.configuration
            self.assertEqual(configuration and configuration.version, expected)


def _build_item(version: int) -> MirrorItem:
    row = build_configuration_row(4, version)
    return MirrorItem(row['key'], base64.b64decode(row['value']), 4)
