"""Tests of fetches from one peer and of parts of the VM list."""

import json
import time
import unittest
from typing import Any, cast

from wasabistream.configuration_notices import VmListDigest, VmListFetch
from wasabistream.configurations import NO_VERSION, VersionId
from wasabistream.fetchers import Fetcher
from wasabistream.links import Link
from wasabistream.messages import Message
from wasabistream.notices import Hello, VmListBody
from wasabistream.vm_list_clients import VmListClient
from wasabistream.vm_list_stores import VmListStore
from wasabistream.vm_list_subset_relays import VmListSubsetRelay

TICK_LIMIT_COUNT = 200


class RecordingLink:
    """Record what is sent to a peer."""

    def __init__(self, peer_id: str) -> None:
        self.peer = Hello(1, 1, 'agent', peer_id, '1', 'dc-a')
        self.closed = False
        self.sent: list[Message] = []

    def send(self, message: Message) -> None:
        """Record a message."""
        self.sent.append(message)


def _link(peer_id: str) -> Any:
    return cast(Link, RecordingLink(peer_id))


def _vm(name: str, data_centre: str, service: str = '') -> dict[str, Any]:
    return {
        'id': name,
        'role': 'agent',
        'address': '127.0.0.1',
        'link_port': 1,
        'data_centre': data_centre,
        'service': service,
    }


class FetcherTest(unittest.TestCase):
    """Guard the budget: a value comes from one peer, not from all."""

    def setUp(self) -> None:
        """Offer one value from three peers."""
        self.held: VersionId = NO_VERSION
        self.asked: list[Any] = []
        self.fetcher = Fetcher(
            'agent', lambda: self.held, lambda link, _: self.asked.append(link)
        )
        for name in ('entry-1', 'entry-2', 'entry-3'):
            self.fetcher.offer(_link(name), (5, 'digest'))

    def tick_until_asked(self, count: int) -> None:
        """Tick until that many peers were asked."""
        for _ in range(TICK_LIMIT_COUNT):
            self.fetcher.tick()
            if len(self.asked) >= count:
                return
            time.sleep(0.02)
        self.fail('no peer was asked')

    def test_one_peer_is_asked(self) -> None:
        """Guard against a fetch from every peer, and against a dead end."""
        self.tick_until_asked(1)
        self.fetcher.tick()
        self.assertEqual(len(self.asked), 1)
        self.fetcher.failed()
        self.tick_until_asked(2)
        self.assertIsNot(self.asked[0], self.asked[1])

    def test_invalid_value_is_not_asked_again(self) -> None:
        """Guard against endless fetches of what is not valid here."""
        self.assertEqual(self.fetcher.wanted(), (5, 'digest'))
        self.fetcher.ignore((5, 'digest'))
        self.assertEqual(self.fetcher.wanted(), NO_VERSION)


class PartTest(unittest.TestCase):
    """Guard what agents learn of the VM list."""

    def setUp(self) -> None:
        """Hold a list with two services and engines."""
        self.vms = [
            _vm('booking-1', 'dc-a', 'booking'),
            _vm('booking-2', 'dc-b', 'booking'),
            _vm('stock-1', 'dc-a', 'stock'),
            _vm('engine-1', 'dc-a'),
            _vm('engine-2', 'dc-b'),
        ]
        self.store = VmListStore()
        self.relay = VmListSubsetRelay(self.store)
        self.offer(7)

    def offer(self, index: int) -> None:
        """Hold the list under an index."""
        self.store.offer(json.dumps({'vms': self.vms}).encode(), index, 0)

    def fetch(self, name: str) -> VmListBody:
        """Return the part that an agent gets."""
        link = _link(name)
        self.relay.on_link_opened(link)
        self.relay.handle(link, VmListFetch(0, ''))
        announced, part = link.sent
        client = VmListClient(name)
        self.assertIsNone(client.handle(link, announced))
        self.assertEqual(client.handle(link, part), part)
        # The same digest under a later index renews the age.
        renewed = client.handle(link, VmListDigest(9, announced.digest, 3.0))
        self.assertEqual(renewed, VmListBody(9, 3.0, part.body))
        self.assertIsNone(
            client.handle(link, VmListDigest(8, announced.digest, 0.0))
        )
        return cast(VmListBody, part)

    def test_parts(self) -> None:
        """Guard owners and placement against a missing or a foreign VM."""
        for name, expected in (
            ('booking-1', ['booking-1', 'booking-2']),
            ('engine-1', ['engine-1']),
        ):
            with self.subTest(name=name):
                part = self.fetch(name)
                vms = json.loads(part.body)['vms']
                self.assertEqual([vm['id'] for vm in vms], expected)
                self.assertEqual(part.list_index, 7)

    def test_list_never_goes_back(self) -> None:
        """Guard against a member that a stale read brings back."""
        self.vms.pop()
        self.offer(8)
        self.vms.append(_vm('engine-2', 'dc-b'))
        self.offer(6)
        self.assertEqual(self.store.latest_version_id[0], 8)
