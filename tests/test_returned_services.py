"""Tests of a configuration service that returns from an older copy.

Failure pattern: the service gives indexes out again, and what is written there
is taken for old, or the older copy for new.
"""

import unittest

from tests.builders import build_full_document
from tests.test_distributors import DistributorEntry, encode, require
from wasabistream.http_servers import ApiServer
from wasabistream_tools.configuration import (
    ConfigurationFaults,
    ConfigurationStandIn,
)


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

    def publish_vms(self) -> int:
        """Publish the VM list and return its index."""
        vms = [entry.vm for entry in self.entries]
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

    def require_revision(self, revision: int) -> None:
        """Wait until a document is in force at all entries."""
        require(
            lambda: all(entry.revision == revision for entry in self.entries),
            f'revision {revision}',
        )


if __name__ == '__main__':
    unittest.main()
