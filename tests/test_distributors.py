"""Tests of the way of a document through entries and agents."""

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


class EntryNode:
    """Run the configuration part of one entry without its HTTP side."""

    def __init__(self, name: str, url: str, data_centre: str = 'dc-a') -> None:
        self.name = name
        self.store = ConfigurationStore(confirmed=False)
        self.forced: list[int] = []
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
    def reads(self) -> bool:
        """Tell whether the entry reads the service."""
        return bool(self.distributor.readiness()['reads_configuration'])

    def _record(self, sender: object, **sent: Any) -> None:
        self.forced.append(int(sent['subject']))


class DistributorTest(unittest.TestCase):
    """Guard the way of a document through the entries of a data centre."""

    def setUp(self) -> None:
        """Start the service stand-in and five entries."""
        self.service = ConfigurationStandIn()
        self.server = ApiServer('127.0.0.1', 0, self.service.handle, 32)
        self.server.run_in_thread()
        self.addCleanup(self.server.stop)
        self.addCleanup(self.service.inject, ConfigurationFaults(down=True))
        host, port = self.server.bind_addr
        self.url = f'http://{host}:{port}'
        self.nodes = [self.make_node(f'entry-{number}') for number in range(5)]
        self.publish(1)
        self.publish_vms()
        for node in self.nodes:
            node.distributor.start()
        require(lambda: self.in_force(1), 'first document')
        require(lambda: len(self.readers()) == 2, 'two readers')

    def make_node(
        self, name: str, url: str = '', data_centre: str = 'dc-a'
    ) -> EntryNode:
        """Return an entry that stops with the test."""
        node = EntryNode(name, url or self.url, data_centre)
        self.addCleanup(node.distributor.stop)
        return node

    def publish(self, revision: Any, **changes: Any) -> int:
        """Publish a document."""
        raw = build_full_document(revision=revision, **changes)
        return self.service.publish('document', encode(raw))

    def publish_vms(self) -> None:
        """Publish the VM list."""
        vms = [node.vm for node in self.nodes]
        self.service.publish('vms', encode({'vms': vms}))

    def in_force(self, revision: int) -> bool:
        """Tell whether all entries have a revision in force."""
        return all(node.revision == revision for node in self.nodes)

    def readers(self) -> list[EntryNode]:
        """Return the entries that read the service."""
        return [node for node in self.nodes if node.reads]

    def test_silent_readers_are_replaced(self) -> None:
        """Guard against a document that stops with its readers."""
        for node in self.readers():
            node.distributor.stop()
            self.nodes.remove(node)
        self.publish(2)
        require(lambda: self.in_force(2), 'document after take-over')
        require(lambda: len(self.readers()) == 2, 'two new readers')

    def test_data_centre_without_service(self) -> None:
        """Guard a data centre that is cut off from the service."""
        nowhere = f'http://127.0.0.1:{free_port()}'
        node = self.make_node('entry-b', nowhere, 'dc-b')
        self.nodes.append(node)
        self.publish_vms()
        node.distributor.start()
        require(lambda: self.in_force(1), 'document by another data centre')
        self.publish(2)
        require(lambda: self.in_force(2), 'change by another data centre')

    def test_refused_document_is_known_everywhere(self) -> None:
        """Guard against a refusal that only the readers report."""
        self.publish('two')
        require(
            lambda: all(node.store.refusal for node in self.nodes), 'refusal'
        )
        self.assertTrue(self.in_force(1))
        self.publish(2)
        require(lambda: self.in_force(2), 'document after refusal')
        self.assertFalse(any(node.store.refusal for node in self.nodes))

    def test_restart_does_not_believe_stale_read(self) -> None:
        """Guard against a document that reverts after a restart."""
        index = self.service.publish('vms', encode({'vms': []}))
        self.publish_vms()
        for stale_index in (index + 1, index):
            with self.subTest(stale_index=stale_index):
                self.restart_with_stale_service(stale_index)

    def restart_with_stale_service(self, stale_index: int) -> None:
        """Restart an entry that reads revision 1, with or without VMs."""
        self.service.inject(ConfigurationFaults())
        self.publish(2)
        require(lambda: self.in_force(2), 'second document')
        old = self.nodes[0]
        old.distributor.stop()
        # Every reader of the service gets revision 1 from now on.
        self.service.inject(ConfigurationFaults(stale_index=stale_index))
        new = self.make_node(old.name)
        new.distributor.start()
        # A newcomer with an empty list is dialed by those that know it.
        self.nodes[0] = new
        for node in self.nodes[1:]:
            node.distributor.lists.offer(
                encode({'vms': [item.vm for item in self.nodes]}),
                1000 - stale_index,
                0,
            )
        require(lambda: new.revision, 'a document after the restart')
        require(lambda: new.revision == 2, 'the current document')
        self.assertEqual(new.forced, [2])


class FleetTest(unittest.TestCase):
    """Guard the document in separate processes."""

    def test_agents_confirm_restarted_entry(self) -> None:
        """Guard a data centre with one entry against a stale service."""
        with Fleet() as fleet:
            self.start_entry_and_agent(fleet)
            fleet.publish_document(build_full_document(revision=2))
            agent = fleet.processes['agent-1']
            require(
                lambda: read_announced_revision(agent.link_port) == 2, 'agent'
            )
            url = f'{fleet.configuration.url}/stand-in/faults?stale_index=2'
            fleet.http.request('GET', url)
            fleet.processes['entry-1'].process.kill()
            fleet.restart('entry-1')
            require(lambda: self.report(fleet).get('ready'), 'restart')
            self.assertEqual(self.report(fleet)['revision'], 2)
            self.assertEqual(self.report(fleet)['document_confirmed_by'], 1)

    def start_entry_and_agent(self, fleet: Fleet) -> None:
        """Start a data centre with revision 1 in force."""
        fleet.add_service('agent-1', 'dc-a', 'booking')
        fleet.add_entry('entry-1', 'dc-a')
        fleet.publish_document(build_full_document(revision=1))
        fleet.publish_vms()
        fleet.wait_until_ready(1)

    def report(self, fleet: Fleet) -> dict[str, Any]:
        """Return the readiness report of the entry."""
        url = f'{fleet.processes["entry-1"].url}/readyz'
        try:
            response = fleet.http.request('GET', url)
        except urllib3.exceptions.HTTPError:
            return {}
        return dict(response.json())
