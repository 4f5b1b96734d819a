"""Operator and servers that write to the store, with and without faults."""

import random
import threading
from collections.abc import Iterable
from typing import Any

from wasabistream_tools.soak import sites
from wasabistream_tools.soak.records import (
    Configuration,
    Leaving,
    Recorder,
    StoreOutage,
    now,
)
from wasabistream_tools.soak.servers import StandInServer
from wasabistream_tools.soak.stores import StandInStore

CONFIGURATION_KEY = 'op/config'
SERVER_PREFIX = 'servers/'
RETRY_SECONDS = 0.05
UNAVAILABLE_STATUS = 503
# Requests on routes and with keys that were changed within this time are sent.
CHANGE_INTEREST_SECONDS = 10.0
# What the store has lost is written again after a time in this range.
REWRITE_SECONDS = (1.0, 3.0)
MAX_VERSION_STEP = 9


class Operator:
    """Write configurations and server items, and disturb the store."""

    def __init__(
        self,
        store: StandInStore,
        recorder: Recorder,
        random_source: random.Random,
        filler_route_count: int = 0,
    ) -> None:
        self._store = store
        self._filler_route_count = filler_route_count
        self._recorder = recorder
        self._random = random_source
        self._write_lock = threading.Lock()
        self._change_lock = threading.Lock()
        # One disturbance of the store at a time.
        self.store_lock = threading.Lock()
        self._servers: dict[str, StandInServer] = {}
        self._configurations: list[Configuration] = []
        # Part of prompts that crashes engines, while clients send it.
        self.crashing_part = ''
        self._change_count = 0
        self._stopped = threading.Event()

    def start(self) -> None:
        """Write the first configuration and keep the items of servers alive."""
        services = {kind.prefix: kind.service for kind in sites.BASE_KINDS}
        self._publish(services, frozenset((sites.BASE_KEY,)))
        threading.Thread(target=self._write_heartbeats, daemon=True).start()

    def stop(self) -> None:
        """Write nothing more."""
        self._stopped.set()

    def servers(self) -> list[StandInServer]:
        """Return the servers that have not left."""
        return list(self._servers.values())

    def add_server(self, server: StandInServer) -> None:
        """Write the item of a new server."""
        self._servers[server.server_id] = server
        self._write_server(server)

    def announce_leaving(self, server: StandInServer) -> None:
        """Write that a server is draining."""
        server.is_draining = True
        if server.server_id in self._servers:
            self._write_server(server)
        self._recorder.add(Leaving(server.server_id, now()))

    def remove_server(self, server: StandInServer) -> bool:
        """Remove the item of a server; return False if it was removed."""
        if self._servers.pop(server.server_id, None) is None:
            return False
        self._write(f'{SERVER_PREFIX}{server.server_id}', None)
        return True

    def change_configuration(self) -> None:
        """Write a configuration with one change."""
        with self._change_lock:
            last = self._configurations[-1]
            services = dict(last.services_by_prefix)
            api_keys = set(last.api_keys)
            self._change_count += 1
            number = self._change_count
            added = [name for name in services if name.startswith('/added-')]
            match self._random.choice(('add', 'add', 'remove', 'move', 'key')):
                case 'remove' if added:
                    services.pop(self._random.choice(added))
                case 'move':
                    prefix = sites.MOVING.prefix
                    moved_from = services[prefix]
                    services[prefix] = next(
                        name
                        for name in sites.PLAIN_SERVICES
                        if name != moved_from
                    )
                case 'key':
                    extra = sorted(api_keys - {sites.BASE_KEY})
                    if extra and self._random.getrandbits(1):
                        api_keys.discard(self._random.choice(extra))
                    else:
                        api_keys.add(f'key-{number}')
                case _:
                    services[f'/added-{number}/'] = sites.LOOKUP.service
            self._publish(services, frozenset(api_keys))

    def changing_prefixes(self) -> list[str]:
        """Return the added routes of recent configurations."""
        return sorted(
            {
                prefix
                for configuration in self._recent_configurations()
                for prefix in configuration.services_by_prefix
                if prefix.startswith('/added-')
            }
        )

    def changing_keys(self) -> list[str]:
        """Return the added keys of recent configurations."""
        return sorted(
            {
                api_key
                for configuration in self._recent_configurations()
                for api_key in configuration.api_keys
                if api_key != sites.BASE_KEY
            }
        )

    def fail_store(self, seconds: float) -> None:
        """Have the store answer 503 for a time."""
        began_at_seconds = now()
        self._store.failing_status = UNAVAILABLE_STATUS
        self._stopped.wait(seconds)
        self._store.failing_status = 0
        self._recorder.add(StoreOutage(began_at_seconds, now()))

    def silence_store(self, seconds: float) -> None:
        """Have the store answer nothing for a time."""
        began_at_seconds = now()
        self._store.silent = True
        self._stopped.wait(seconds)
        self._store.silent = False
        self._recorder.add(StoreOutage(began_at_seconds, now()))

    def silence_for_some(self, callers: Iterable[str], seconds: float) -> None:
        """Have the store answer nothing to some entries for a time."""
        began_at_seconds = now()
        self._store.silent_callers.update(callers)
        self._stopped.wait(seconds)
        self._store.silent_callers.difference_update(callers)
        # A silence to some is a disruption of the store for all.
        self._recorder.add(StoreOutage(began_at_seconds, now()))

    def slow_for_some(
        self, callers: Iterable[str], rate: float, seconds: float
    ) -> None:
        """Limit the bytes per second of answers to some entries for a time."""
        began_at_seconds = now()
        rates = self._store.bytes_per_second
        usual = {caller: rates.get(caller) for caller in callers}
        rates.update(dict.fromkeys(usual, rate))
        self._stopped.wait(seconds)
        for caller, usual_rate in usual.items():
            if usual_rate is None:
                rates.pop(caller)
            else:
                rates[caller] = usual_rate
        self._recorder.add(StoreOutage(began_at_seconds, now()))

    def restore_store(self, age_seconds: float, seconds: float) -> None:
        """Take the store away and bring it back from an older copy."""
        copied = self._store.copy()
        self._stopped.wait(age_seconds)
        began_at_seconds = now()
        self._store.failing_status = UNAVAILABLE_STATUS
        self._stopped.wait(seconds)
        with self._write_lock:
            self._store.restore(copied)
            self._store.failing_status = 0
        self._stopped.wait(self._random.uniform(*REWRITE_SECONDS))
        self._rewrite()
        self._recorder.add(StoreOutage(began_at_seconds, now()))

    def _rewrite(self) -> None:
        with self._change_lock:
            configuration = self._configurations[-1]
            self._write(
                CONFIGURATION_KEY,
                sites.build_document(
                    configuration.version,
                    configuration.services_by_prefix,
                    configuration.api_keys,
                    self._filler_route_count,
                ),
            )
        for key in list(self._store.items):
            server_id = key.removeprefix(SERVER_PREFIX)
            if key.startswith(SERVER_PREFIX) and server_id not in self._servers:
                self._write(key, None)

    def _publish(
        self, services_by_prefix: dict[str, str], api_keys: frozenset[str]
    ) -> None:
        version = self._random.randint(1, MAX_VERSION_STEP)
        if self._configurations:
            version += self._configurations[-1].version
        document = sites.build_document(
            version, services_by_prefix, api_keys, self._filler_route_count
        )
        sent_at_seconds = now()
        self._write(CONFIGURATION_KEY, document)
        configuration = Configuration(
            version, sent_at_seconds, now(), services_by_prefix, api_keys
        )
        self._configurations.append(configuration)
        self._recorder.add(configuration)

    def _recent_configurations(self) -> list[Configuration]:
        since_seconds = now() - CHANGE_INTEREST_SECONDS
        recent = [
            configuration
            for configuration in self._configurations
            if configuration.sent_at_seconds > since_seconds
        ]
        return recent or self._configurations[-1:]

    def _write_server(self, server: StandInServer) -> None:
        self._write(f'{SERVER_PREFIX}{server.server_id}', server.build_item())

    def _write_heartbeats(self) -> None:
        while not self._stopped.wait(sites.HEARTBEAT_SECONDS):
            for server in self.servers():
                if self._is_available() and server.server_id in self._servers:
                    self._write_server(server)

    def _is_available(self) -> bool:
        return not (self._store.failing_status or self._store.silent)

    def _write(self, key: str, fields: dict[str, Any] | None) -> None:
        """Write or remove an item; returns when the store has accepted it."""
        while not self._stopped.is_set():
            with self._write_lock:
                if self._is_available():
                    self._write_now(key, fields)
                    return
            self._stopped.wait(RETRY_SECONDS)

    def _write_now(self, key: str, fields: dict[str, Any] | None) -> None:
        if fields is not None:
            revision = self._store.revision + 1
            self._store.put(sites.build_row(key, revision, fields))
        elif key in self._store.items:
            self._store.remove(key)
