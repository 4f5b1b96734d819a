"""Tests of watches whose answers are lost.

Failure pattern: a store drops the calls that wait while it is silent. To their
callers they look like calls that wait for a change.
"""

import time
import unittest
from unittest.mock import Mock

from tests.platform_builders import CONFIGURATION, build_row
from tests.waits import wait_for
from wasabistream.entry_peers import EntryPeer
from wasabistream.forwarding.endpoints import Endpoint
from wasabistream.forwarding.mirrors import StoreMirror
from wasabistream.http_servers import ApiServer
from wasabistream.long_polls import build_long_poll_limits
from wasabistream.platform.store_clients import StoreClient
from wasabistream.platform.store_followers import StoreFollower
from wasabistream.vms import Role, Vm
from wasabistream.watchers import ValueWatcher
from wasabistream_tools.configuration import (
    ConfigurationFaults,
    ConfigurationStandIn,
)
from wasabistream_tools.soak.stores import StandInStore

# Time after a disruption in which an entry must hold the newest configuration
# again; `stable_window_ms` of the platform.
STABLE_WINDOW_SECONDS = 3.0
SHORT_SILENCE_SECONDS = 0.3
# Time in which a document must be in force in every process.
IN_FORCE_SECONDS = 8.0
DOCUMENT_KEY = 'document'


class StoreSilenceTest(unittest.TestCase):
    """Guard against entries that answer as an outdated configuration says."""

    def setUp(self) -> None:
        """Follow a store that holds a configuration."""
        self.store = StandInStore()
        self.addCleanup(self.store.stop)
        self.store.put(build_row('op/config', 2, CONFIGURATION))
        self.mirror = StoreMirror()
        limits = build_long_poll_limits(STABLE_WINDOW_SECONDS)
        self.follower = StoreFollower(
            StoreClient(
                Endpoint('127.0.0.1', self.store.port), limits.timeout_seconds
            ),
            self.mirror,
            limits,
            lambda: None,
            bool,
        )
        self.follower.start()
        self.addCleanup(self.follower.stop)
        self.assertTrue(wait_for(self.is_current))

    def is_current(self) -> bool:
        """Return whether the mirror has the newest revision of the store."""
        return self.mirror.version.revision == self.store.revision

    def change_during_silence(self) -> None:
        """Change the configuration unseen, then let the store answer again."""
        self.store.put(build_row('op/config', 9, CONFIGURATION))
        self.store.silent = False

    def test_watch_lost_in_a_short_silence(self) -> None:
        """Guard against waiting for a lost watch longer than the bound."""
        self.store.silent = True
        time.sleep(SHORT_SILENCE_SECONDS)
        self.change_during_silence()
        self.assertTrue(wait_for(self.is_current, STABLE_WINDOW_SECONDS))

    def test_watch_lost_after_a_failed_call(self) -> None:
        """Guard against a long watch as the first call after a failed one."""
        self.store.silent = True
        self.assertTrue(
            wait_for(lambda: self.follower.lost_at_seconds is not None)
        )
        time.sleep(SHORT_SILENCE_SECONDS)
        self.change_during_silence()
        self.assertTrue(wait_for(self.is_current, STABLE_WINDOW_SECONDS))

    def test_connection_silent_for_good(self) -> None:
        """Guard against a connection that is waited for once it is dead.

        A change right after it must be known within the stable window, also
        when the next connection goes silent too.
        """
        for revision in (9, 10):
            self.store.silence_connections()
            self.store.put(build_row('op/config', revision, CONFIGURATION))
            self.assertTrue(wait_for(self.is_current, STABLE_WINDOW_SECONDS))


class ConfigurationServiceSilenceTest(unittest.TestCase):
    """Guard against documents that are in force later than promised."""

    def test_watch_lost_in_a_short_silence(self) -> None:
        """Guard against waiting for a lost watch longer than the promise."""
        service = ConfigurationStandIn()
        server = ApiServer('127.0.0.1', 0, service.handle, 8)
        server.run_in_thread()
        self.addCleanup(server.stop)
        self.addCleanup(service.inject, ConfigurationFaults(down=True))
        received: list[bytes] = []
        service.publish(DOCUMENT_KEY, b'before')
        watcher = ValueWatcher(
            f'http://127.0.0.1:{server.port}',
            DOCUMENT_KEY,
            lambda body, index: received.append(body),
        )
        watcher.start()
        self.addCleanup(watcher.stop)
        self.assertTrue(wait_for(lambda: service.read_count == 2))
        service.inject(ConfigurationFaults(silent=True))
        time.sleep(SHORT_SILENCE_SECONDS)
        service.publish(DOCUMENT_KEY, b'after')
        service.inject(ConfigurationFaults())
        self.assertTrue(
            wait_for(lambda: received[-1] == b'after', IN_FORCE_SECONDS)
        )

    def test_reader_without_answers_is_replaced(self) -> None:
        """Guard against readers that are kept although they read nothing."""
        vm = Vm('entry-a', Role.entry, '127.0.0.1', 1, 'dc-a')
        reader = EntryPeer(vm, {Mock()}, read_age_seconds=0)
        self.assertTrue(reader.is_usable(0))
        self.assertFalse(reader.is_usable(IN_FORCE_SECONDS))
