"""Tests of the fetcher and of the subsets of the VM list for agents."""

import json
import threading
import time
import unittest
from typing import Any, cast

from tests.waits import OVERTAKING_SECONDS
from wasabistream.configuration_notices import VmListDigest, VmListFetch
from wasabistream.configurations import NO_VERSION, VersionId
from wasabistream.fetchers import Fetcher
from wasabistream.links import Link
from wasabistream.messages import Message
from wasabistream.notices import Hello, VmListBody
from wasabistream.vm_list_clients import VmListClient
from wasabistream.vm_list_stores import VmListStore
from wasabistream.vm_list_subset_relays import VmListSubsetRelay
from wasabistream.vms import VmList

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


def _make_link(peer_id: str) -> Any:
    return cast(Link, RecordingLink(peer_id))


def _build_vm(name: str, data_centre: str, service: str = '') -> dict[str, Any]:
    return {
        'id': name,
        'role': 'agent',
        'address': '127.0.0.1',
        'link_port': 1,
        'data_centre': data_centre,
        'service': service,
    }


class FetcherTest(unittest.TestCase):
    """Guard against fetches of one version from several peers at once."""

    def setUp(self) -> None:
        """Announce one version from three peers."""
        self.own_version_id: VersionId = NO_VERSION
        self.fetched_links: list[Any] = []
        self.fetcher = Fetcher(
            'agent',
            lambda: self.own_version_id,
            lambda link, _: self.fetched_links.append(link),
        )
        for name in ('entry-1', 'entry-2', 'entry-3'):
            self.fetcher.record_announced_version(
                _make_link(name), (5, 'digest')
            )

    def tick_until_fetched(self, count: int) -> None:
        """Tick until a fetch was sent to that many peers."""
        for _ in range(TICK_LIMIT_COUNT):
            self.fetcher.tick()
            if len(self.fetched_links) >= count:
                return
            time.sleep(0.02)
        self.fail('no fetch was sent')

    def test_fetch_from_one_peer(self) -> None:
        """Guard against fetches from all peers, and none after a failure."""
        self.tick_until_fetched(1)
        self.fetcher.tick()
        self.assertEqual(len(self.fetched_links), 1)
        self.fetcher.failed()
        self.tick_until_fetched(2)
        self.assertIsNot(self.fetched_links[0], self.fetched_links[1])

    def test_refused_version_is_not_fetched_again(self) -> None:
        """Guard against repeated fetches of a version that is refused here."""
        self.assertEqual(self.fetcher.wanted_version(), (5, 'digest'))
        self.fetcher.ignore((5, 'digest'))
        self.assertEqual(self.fetcher.wanted_version(), NO_VERSION)


class SubsetTest(unittest.TestCase):
    """Guard the subsets of the VM list that agents receive."""

    def setUp(self) -> None:
        """Store a list with two services and engines."""
        self.vms = [
            _build_vm('booking-1', 'dc-a', 'booking'),
            _build_vm('booking-2', 'dc-b', 'booking'),
            _build_vm('stock-1', 'dc-a', 'stock'),
            _build_vm('engine-1', 'dc-a'),
            _build_vm('engine-2', 'dc-b'),
        ]
        self.store = VmListStore()
        self.relay = VmListSubsetRelay(self.store)
        self.offer(7)

    def offer(self, index: int) -> None:
        """Store the list at an index."""
        self.store.offer(json.dumps({'vms': self.vms}).encode(), index, 0)

    def fetch(self, name: str) -> VmListBody:
        """Return the subset that an agent fetches."""
        link = _make_link(name)
        self.relay.on_link_opened(link)
        self.relay.handle(link, VmListFetch(0, ''))
        announced, subset = link.sent
        client = VmListClient(name)
        self.assertIsNone(client.handle(link, announced))
        self.assertEqual(client.handle(link, subset), subset)
        # The same digest under a later index renews the age.
        renewed = client.handle(link, VmListDigest(9, announced.digest, 3.0))
        self.assertEqual(renewed, VmListBody(9, 3.0, subset.body))
        self.assertIsNone(
            client.handle(link, VmListDigest(8, announced.digest, 0.0))
        )
        return cast(VmListBody, subset)

    def test_subsets(self) -> None:
        """Guard against a subset that misses VMs or has unneeded ones."""
        for name, expected in (
            ('booking-1', ['booking-1', 'booking-2']),
            ('engine-1', ['engine-1']),
        ):
            with self.subTest(name=name):
                subset = self.fetch(name)
                vms = json.loads(subset.body)['vms']
                self.assertEqual([vm['id'] for vm in vms], expected)
                self.assertEqual(subset.list_index, 7)

    def test_other_list_of_the_same_index(self) -> None:
        """Guard against a subset of the list that had the index before."""
        before = self.store.latest_version_id
        subset = self.fetch('engine-1')
        while self.store.latest_version_id == before:
            self.vms.append(_build_vm(f'engine-{len(self.vms)}', 'dc-a'))
            self.offer(7)
        self.assertNotEqual(self.fetch('engine-1').body, subset.body)

    def test_older_list_is_ignored(self) -> None:
        """Guard against a stale read that brings back a removed VM."""
        self.vms.pop()
        self.offer(8)
        self.vms.append(_build_vm('engine-2', 'dc-b'))
        self.offer(6)
        self.assertEqual(self.store.latest_version_id[0], 8)

    def test_lists_are_passed_on_in_order(self) -> None:
        """Guard against an older VM list that is applied after a later one.

        The later one arrives while the older one is passed on.
        """
        store = VmListStore()
        body = json.dumps({'vms': self.vms}).encode()
        later = threading.Thread(target=store.offer, args=(body, 2, 0))
        received: list[int] = []

        def receive(vm_list: VmList) -> None:
            if vm_list.index == 1:
                later.start()
                later.join(OVERTAKING_SECONDS)
            received.append(vm_list.index)

        store.subscribe(receive)
        store.offer(body, 1, 0)
        later.join()
        self.assertEqual(received, [1, 2])
