"""Tests of the distribution of the document to entries and agents."""

import json
import unittest
from collections.abc import Callable
from typing import Any

import urllib3

from tests.builders import build_full_document
from tests.waits import wait_for
from wasabistream.configurations import ConfigurationStore
from wasabistream.distributors import ConfigurationDistributor
from wasabistream.http_servers import ApiServer
from wasabistream.notices import Hello
from wasabistream.settings import EntrySettings
from wasabistream.signals import document_changed
from wasabistream_tools.configuration import (
    ConfigurationFaults,
    ConfigurationStandIn,
)
from wasabistream_tools.fleet import Fleet, free_port
from wasabistream_tools.measure_config import read_announced_revision

WAIT_LIMIT_SECONDS = 30.0


def require(condition: Callable[[], object], text: str) -> None:
    """Wait until a condition holds; raises AssertionError."""
    if not wait_for(condition, WAIT_LIMIT_SECONDS):
        raise AssertionError(f'not in time: {text}')


def encode(raw: Any) -> bytes:
    """Return the JSON bytes of a value."""
    return json.dumps(raw).encode()


class DistributorEntry:
    """Run the configuration distributor of an entry without its HTTP side."""

    def __init__(self, name: str, url: str, data_centre: str = 'dc-a') -> None:
        self.name = name
        self.store = ConfigurationStore(confirmed=False)
        self.revisions_in_force: list[int] = []
        document_changed.connect(self._record, self.store)
        self.distributor = ConfigurationDistributor(
            EntrySettings(
                process_id=name,
                data_centre=data_centre,
                configuration_url=url,
                document_key='document',
                vm_list_key='vms',
            ),
            Hello(1, 1, 'entry', name, '1', data_centre),
            self.store,
        )
        self.vm = {
            'id': name,
            'role': 'entry',
            'address': '127.0.0.1',
            'link_port': self.distributor.listener.port,
            'data_centre': data_centre,
        }

    @property
    def revision(self) -> int:
        """Return the revision in force."""
        version = self.store.version
        return version.document.revision if version else 0

    @property
    def is_reader(self) -> bool:
        """Tell whether the entry reads the configuration service."""
        return bool(self.distributor.readiness()['reads_configuration'])

    def _record(self, sender: object, **sent: Any) -> None:
        # The subject of `document_changed` is the revision.
        self.revisions_in_force.append(int(sent['subject']))


class DistributorTest(unittest.TestCase):
    """Guard the distribution of the document among entries."""

    def setUp(self) -> None:
        """Start the service stand-in and five entries."""
        self.service = ConfigurationStandIn()
        self.server = ApiServer('127.0.0.1', 0, self.service.handle, 32)
        self.server.run_in_thread()
        self.addCleanup(self.server.stop)
        # Ends pending watches before the server stops, so that it stops at once.
        self.addCleanup(self.service.inject, ConfigurationFaults(down=True))
        host, port = self.server.bind_addr
        self.url = f'http://{host}:{port}'
        self.entries = [
            self.make_entry(f'entry-{number}') for number in range(5)
        ]
        self.publish(1)
        self.publish_vms()
        for entry in self.entries:
            entry.distributor.start()
        require(lambda: self.in_force(1), 'first document')
        require(lambda: len(self.readers()) == 2, 'two readers')

    def make_entry(
        self, name: str, url: str = '', data_centre: str = 'dc-a'
    ) -> DistributorEntry:
        """Return an entry that stops with the test."""
        entry = DistributorEntry(name, url or self.url, data_centre)
        self.addCleanup(entry.distributor.stop)
        return entry

    def publish(self, revision: Any, **changes: Any) -> int:
        """Publish a document."""
        raw = build_full_document(revision=revision, **changes)
        return self.service.publish('document', encode(raw))

    def publish_vms(self) -> None:
        """Publish the VM list."""
        vms = [entry.vm for entry in self.entries]
        self.service.publish('vms', encode({'vms': vms}))

    def in_force(self, revision: int) -> bool:
        """Tell whether all entries have a revision in force."""
        return all(entry.revision == revision for entry in self.entries)

    def readers(self) -> list[DistributorEntry]:
        """Return the entries that read the configuration service."""
        return [entry for entry in self.entries if entry.is_reader]

    def test_stopped_readers_are_replaced(self) -> None:
        """Guard against a change that nobody reads when all readers stop."""
        for entry in self.readers():
            entry.distributor.stop()
            self.entries.remove(entry)
        self.publish(2)
        require(lambda: self.in_force(2), 'document after take-over')
        require(lambda: len(self.readers()) == 2, 'two new readers')

    def test_data_centre_without_service(self) -> None:
        """Guard against a data centre without a document.

        Its entry cannot reach the configuration service, and gets documents
        from entries of another data centre.
        """
        unreachable_url = f'http://127.0.0.1:{free_port()}'
        entry = self.make_entry('entry-b', unreachable_url, 'dc-b')
        self.entries.append(entry)
        self.publish_vms()
        entry.distributor.start()
        require(lambda: self.in_force(1), 'document by another data centre')
        self.publish(2)
        require(lambda: self.in_force(2), 'change by another data centre')

    def test_refused_document_is_known_everywhere(self) -> None:
        """Guard against a refusal that only the readers report."""
        self.publish('two')
        require(
            lambda: all(entry.store.refusal for entry in self.entries),
            'refusal',
        )
        self.assertTrue(self.in_force(1))
        self.publish(2)
        require(lambda: self.in_force(2), 'document after refusal')
        self.assertFalse(any(entry.store.refusal for entry in self.entries))

    def test_restart_ignores_stale_read(self) -> None:
        """Guard against an older document that a restart brings into force."""
        index = self.service.publish('vms', encode({'vms': []}))
        self.publish_vms()
        # Reads as of the full VM list, then as of the empty one before it.
        for stale_index in (index + 1, index):
            with self.subTest(stale_index=stale_index):
                self.restart_with_stale_service(stale_index)

    def restart_with_stale_service(self, stale_index: int) -> None:
        """Restart an entry whose reads give revision 1, with or without VMs."""
        self.service.inject(ConfigurationFaults())
        self.publish(2)
        require(lambda: self.in_force(2), 'second document')
        old = self.entries[0]
        old.distributor.stop()
        # Every reader of the service gets revision 1 from now on.
        self.service.inject(ConfigurationFaults(stale_index=stale_index))
        new = self.make_entry(old.name)
        new.distributor.start()
        # An entry with an empty VM list is dialled by the entries that list it.
        self.entries[0] = new
        for entry in self.entries[1:]:
            entry.distributor.lists.offer(
                encode({'vms': [item.vm for item in self.entries]}),
                # Above every index of the service, and higher in the second
                # run, so that the list is taken. Its read is 0 s old.
                1000 - stale_index,
                0,
            )
        require(lambda: new.revision, 'a document after the restart')
        require(lambda: new.revision == 2, 'the current document')
        # A document is visible before its change is announced.
        require(lambda: new.revisions_in_force, 'an announced document')
        self.assertEqual(new.revisions_in_force, [2])


class FleetTest(unittest.TestCase):
    """Guard the distribution between an entry and an agent process."""

    def test_restarted_entry_takes_document_from_agent(self) -> None:
        """Guard against a stale read that a restarted entry puts in force.

        No other entry has the later document, only an agent.
        """
        with Fleet() as fleet:
            self.start_entry_and_agent(fleet)
            fleet.publish_document(build_full_document(revision=2))
            agent = fleet.processes['agent-1']
            require(
                lambda: read_announced_revision(agent.link_port) == 2, 'agent'
            )
            # Revision 1 had index 1, the VM list 2 and revision 2 index 3.
            url = f'{fleet.configuration.url}/stand-in/faults?stale_index=2'
            fleet.http.request('GET', url)
            fleet.processes['entry-1'].process.kill()
            fleet.restart('entry-1')
            require(lambda: self.report(fleet).get('ready'), 'restart')
            self.assertEqual(self.report(fleet)['revision'], 2)
            # Number of peers that announced a document: the agent.
            self.assertEqual(self.report(fleet)['document_confirmed_by'], 1)

    def start_entry_and_agent(self, fleet: Fleet) -> None:
        """Start a data centre with revision 1 in force."""
        fleet.add_service('agent-1', 'dc-a', 'booking')
        fleet.add_entry('entry-1', 'dc-a')
        fleet.publish_document(build_full_document(revision=1))
        fleet.publish_vms()
        # The agent is the only backend server.
        fleet.wait_until_ready(1)

    def report(self, fleet: Fleet) -> dict[str, Any]:
        """Return the readiness report of the entry."""
        url = f'{fleet.processes["entry-1"].url}/readyz'
        try:
            response = fleet.http.request('GET', url)
        except urllib3.exceptions.HTTPError:
            return {}
        return dict(response.json())
