"""Tests of a configuration service that returns from an older copy.

Failure pattern: the service gives indexes out again, and what is written there
is taken for old, or the older copy for new.
"""

import time
import unittest
from dataclasses import asdict

from tests.builders import build_full_document, build_vm
from tests.test_distributors import DistributorEntry, encode, require
from wasabistream.http_servers import ApiServer
from wasabistream.restores.vm_list_reads import (
    RETURN_CONFIRM_SECONDS,
    VmListReads,
)
from wasabistream.vm_list_stores import VmListStore
from wasabistream.vms import VmList
from wasabistream_tools.configuration import (
    ConfigurationFaults,
    ConfigurationStandIn,
)


def build_row(name: str) -> dict[str, object]:
    """Return an agent's row of the VM list."""
    return asdict(build_vm(name))


class ReturnedServiceTest(unittest.TestCase):
    """Guard entries against a service that has lost its last writes."""

    def setUp(self) -> None:
        """Start the service and two entries."""
        self.service = ConfigurationStandIn()
        server = ApiServer('127.0.0.1', 0, self.service.handle, 32)
        server.run_in_thread()
        self.addCleanup(server.stop)
        # Ends pending watches before the server stops, so that it stops at once.
        self.addCleanup(self.service.inject, ConfigurationFaults(down=True))
        url = f'http://127.0.0.1:{server.port}'
        self.entries = [DistributorEntry(name, url) for name in 'ab']
        self.publish_document(1)
        for entry in self.entries:
            self.addCleanup(entry.distributor.stop)
            entry.distributor.start()

    def publish_document(self, revision: int) -> int:
        """Publish a document and return its index."""
        raw = build_full_document(revision=revision)
        return self.service.publish('document', encode(raw))

    def publish_vms(self, *servers: dict[str, object]) -> int:
        """Publish the entries and some servers; return the index."""
        vms = [*(entry.vm for entry in self.entries), *servers]
        return self.service.publish('vms', encode({'vms': vms}))

    def test_document_at_a_known_index(self) -> None:
        """Guard against a document that is taken for the one before it."""
        self.publish_vms()
        index = self.publish_document(2)
        self.require_revision(2)
        self.service.inject(ConfigurationFaults(down=True))
        self.service.restore(index - 1)
        self.assertEqual(self.publish_document(3), index)
        self.service.inject(ConfigurationFaults())
        self.require_revision(3)

    def test_vm_list_at_lower_indexes(self) -> None:
        """Guard against changes that are ignored, and copies that are not.

        A server that has left must not return with the copy.
        """
        copied_index = self.publish_vms(build_row('left'))
        self.require_vms('a', 'b', 'left')
        for _ in range(3):
            self.publish_document(1)
        received: list[VmList] = []
        for entry in self.entries:
            entry.distributor.lists.subscribe(received.append)
        index = self.publish_vms()
        self.require_vms('a', 'b')
        # A list is stored before it is delivered.
        require(
            lambda: (
                [each.index for each in received].count(index)
                == len(self.entries)
            ),
            'delivery',
        )
        received.clear()
        self.service.restore(copied_index)
        time.sleep(RETURN_CONFIRM_SECONDS * 2)
        self.assertEqual(received, [])
        for name in ('c', 'd'):
            self.publish_vms(build_row(name))
            self.require_vms('a', 'b', name)

    def require_vms(self, *names: str) -> None:
        """Wait until all entries have the VMs with these names."""

        def have_vms() -> bool:
            versions = [
                entry.distributor.lists.latest for entry in self.entries
            ]
            return (
                versions[0] is not None
                and tuple(versions[0].vm_list.vms_by_id) == names
                and versions[0] == versions[1]
            )

        require(have_vms, f'VMs {names}')

    def require_revision(self, revision: int) -> None:
        """Wait until a document is in force at all entries."""
        require(
            lambda: all(entry.revision == revision for entry in self.entries),
            f'revision {revision}',
        )


class VmListReadsTest(unittest.TestCase):
    """Guard the order of the lists that one entry reads."""

    def test_order(self) -> None:
        """Guard against older lists that replace later ones, and the reverse."""
        now = 0.0
        store = VmListStore()
        reads = VmListReads(store, lambda: now)
        for seconds, index, name, expected in (
            (0, 2, 'first', 'first'),
            (0, 5, 'second', 'second'),
            # A replica that lags, then one that is up to date.
            (0, 2, 'first', 'second'),
            (1, 3, 'skipped', 'second'),
            (0, 5, 'second', 'second'),
            (9, 3, 'skipped', 'second'),
            # An index is given out again, which proves the return.
            (0, 5, 'third', 'third'),
            (0, 6, 'fourth', 'fourth'),
            # A second return, to a list that was stored under another index.
            (0, 5, 'third', 'fourth'),
            (0, 6, 'fifth', 'fifth'),
            # A third one, to indexes that were not seen.
            (0, 3, 'skipped', 'fifth'),
            (1, 4, 'sixth', 'fifth'),
            (2, 4, 'sixth', 'sixth'),
        ):
            now += seconds
            reads.receive(encode({'vms': [build_row(name)]}), index, 0)
            latest = store.latest
            self.assertEqual(
                latest and latest.vm_list.vms[0].id, expected, (index, name)
            )


if __name__ == '__main__':
    unittest.main()
