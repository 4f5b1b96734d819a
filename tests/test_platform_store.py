"""Tests of the client, follower and decoder of the platform's store.

Failures: the store is down, loses its history or holds malformed items.
"""

import time
import unittest
from typing import Any
from unittest.mock import patch

from tests.platform_builders import CONFIGURATION, SERVER, build_row
from tests.waits import wait_for
from wasabistream.exceptions import HistoryLostError, StoreError
from wasabistream.forwarding.endpoints import Endpoint
from wasabistream.forwarding.expiry_guards import (
    MIN_OUTAGE_SECONDS,
    REREGISTRATION_SECONDS,
)
from wasabistream.forwarding.fleets import Fleet
from wasabistream.forwarding.mirrors import StoreMirror
from wasabistream.long_polls import build_long_poll_limits
from wasabistream.platform.store_clients import StoreClient
from wasabistream.platform.store_decoders import FleetDecoder
from wasabistream.platform.store_followers import StoreFollower
from wasabistream_tools.soak.stores import StandInStore

FOLLOWER_LOGGER = 'wasabistream.platform.store_followers'
MALFORMED_SERVERS: tuple[Any, ...] = (
    {**SERVER, 'state': 'odd'},
    {**SERVER, 'address': 'nowhere'},
    {**SERVER, 'slots': 'many'},
    {**SERVER, 'service': 7},
    [],
    None,
)


class StoreTest(unittest.TestCase):
    """Guard against a fleet that is late, outdated or empty."""

    def setUp(self) -> None:
        """Start a store with a configuration and three servers."""
        self.relayed = False
        self.store = StandInStore()
        self.addCleanup(self.store.stop)
        self.store.put(build_row('op/config', 2, CONFIGURATION))
        for number in range(3):
            self.store.put(build_row(f'servers/s{number}', 3 + number, SERVER))
        self.limits = build_long_poll_limits(3.0)
        self.client = StoreClient(
            Endpoint('127.0.0.1', self.store.port), self.limits.timeout_seconds
        )

    def follow(self) -> tuple[StoreFollower, StoreMirror]:
        """Start a follower and wait until its mirror holds all items."""
        mirror = StoreMirror()
        follower = StoreFollower(
            self.client,
            mirror,
            self.limits,
            lambda: None,
            lambda: self.relayed,
        )
        follower.start()
        self.addCleanup(follower.stop)
        self.assertTrue(wait_for(lambda: len(mirror.items()) == 4))
        return follower, mirror

    def test_all_pages_are_read(self) -> None:
        """Guard against reading only the first page of a listing."""
        listing = self.client.read_all('')
        self.assertEqual(len(listing.items), 4)

    def test_lost_history(self) -> None:
        """Guard against treating a lost history as no changes."""
        self.store.forgotten_revision = 5
        with self.assertRaises(HistoryLostError):
            self.client.watch('', 1, 0.1)

    def test_refused_call(self) -> None:
        """Guard against an empty list when the store refuses."""
        self.store.failing_status = 503
        with self.assertRaises(StoreError):
            self.client.read_all('')

    def test_changes_arrive(self) -> None:
        """Guard against a follower that reads only once."""
        _, mirror = self.follow()
        self.store.remove('servers/s1')
        self.assertTrue(wait_for(lambda: len(mirror.items()) == 3))

    def test_history_lost_while_following(self) -> None:
        """Guard against missing changes for ever after a lost history."""
        _, mirror = self.follow()
        self.store.remove('servers/s1')
        self.store.changes.clear()
        self.store.revision += 1
        self.store.forgotten_revision = self.store.revision
        self.assertTrue(wait_for(lambda: len(mirror.items()) == 3))

    def test_outage_is_reported(self) -> None:
        """Guard against an outage that is not reported or never ends."""
        follower, mirror = self.follow()
        self.store.failing_status = 503
        self.assertTrue(wait_for(lambda: follower.lost_at_seconds is not None))
        self.assertEqual(len(mirror.items()), 4)
        with self.assertLogs(FOLLOWER_LOGGER, 'INFO') as logs:
            self.assertTrue(
                wait_for(lambda: 'store: still lost' in str(logs.output))
            )
            fields = logs.records[0].__dict__
        self.assertGreater(fields['answer_age_seconds'], 0)
        self.store.failing_status = 0
        self.assertTrue(wait_for(lambda: follower.lost_at_seconds is None))

    def test_relays_replace_the_watch(self) -> None:
        """Guard against a watch of each entry, which costs a call a change."""
        follower, mirror = self.follow()
        self.relayed = True
        self.assertTrue(wait_for(lambda: follower._was_relayed))
        call_count = len(self.store.calls)
        self.store.remove('servers/s1')
        self.assertFalse(
            wait_for(lambda: len(self.store.calls) > call_count, 0.5)
        )
        self.assertEqual(len(mirror.items()), 4)
        self.assertFalse(follower.is_lost)
        self.relayed = False
        self.assertTrue(wait_for(lambda: len(mirror.items()) == 3))

    def test_removals_held_back_before_relays_take_over(self) -> None:
        """Guard against a server that left and stays listed.

        Its removal is held back after an outage, and relays keep the entry
        current from then on; they have applied the removal before.
        """
        follower, mirror = self.follow()
        self.store.failing_status = 503
        self.assertTrue(
            wait_for(lambda: follower.away_seconds > MIN_OUTAGE_SECONDS)
        )
        self.store.remove('servers/s1')
        self.store.failing_status = 0
        self.assertTrue(wait_for(lambda: follower.lost_at_seconds is None))
        self.relayed = True
        self.assertEqual(len(mirror.items()), 4)
        self.assertTrue(
            wait_for(
                lambda: len(mirror.items()) == 3, 2 * REREGISTRATION_SECONDS
            )
        )

    def test_pause_makes_the_mirror_outdated(self) -> None:
        """Guard against a paused process whose peers copy its old items."""
        follower, _ = self.follow()
        self.assertFalse(follower.is_lost)
        limit_seconds = self.limits.max_answer_age_seconds
        later_seconds = time.monotonic() + 2 * limit_seconds
        with patch.object(time, 'monotonic', return_value=later_seconds):
            self.assertTrue(follower.is_lost)

    def decode(self) -> Fleet:
        """Return the fleet decoded from the store's items."""
        mirror = StoreMirror()
        listing = self.client.read_all('')
        mirror.replace(listing.items, listing.version)
        return FleetDecoder().decode(
            {mirror_item.key: mirror_item for mirror_item in mirror.items()}
        )

    def test_malformed_servers_are_left_out(self) -> None:
        """Guard against a malformed item that hides the valid ones."""
        for number, fields in enumerate(MALFORMED_SERVERS):
            self.store.put(build_row(f'servers/bad{number}', 9, fields))
        self.assertEqual(set(self.decode().servers), {'s0', 's1', 's2'})

    def test_evacuation(self) -> None:
        """Guard against using servers of an evacuated data centre."""
        self.store.put(build_row('op/evacuate/dc-a', 9, {}))
        fleet = self.decode()
        self.assertEqual(fleet.usable_servers('writer'), [])

    def test_bad_configuration_changes_nothing(self) -> None:
        """Guard against an invalid configuration that replaces a valid one."""
        decoder = FleetDecoder()
        valid_items = {
            mirror_item.key: mirror_item
            for mirror_item in self.client.read_all('').items
        }
        before = decoder.decode(valid_items)
        self.store.put(build_row('op/config', 9, {'version': 8}))
        invalid_items = {
            mirror_item.key: mirror_item
            for mirror_item in self.client.read_all('').items
        }
        self.assertIs(
            decoder.decode(invalid_items).configuration,
            before.configuration,
        )

    def test_older_version_changes_nothing(self) -> None:
        """Guard against going back to an older configuration version."""
        decoder = FleetDecoder()
        valid_items = {
            mirror_item.key: mirror_item
            for mirror_item in self.client.read_all('').items
        }
        decoder.decode(valid_items)
        older = {**CONFIGURATION, 'version': 6}
        self.store.put(build_row('op/config', 9, older))
        items = {
            mirror_item.key: mirror_item
            for mirror_item in self.client.read_all('').items
        }
        configuration = decoder.decode(items).configuration
        self.assertEqual(configuration.version if configuration else 0, 7)
