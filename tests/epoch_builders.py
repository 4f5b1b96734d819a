"""Builders of a followed store that may return from an older copy."""

from collections.abc import Callable
from typing import Any

from tests.platform_builders import CONFIGURATION, SERVER, build_row
from wasabistream.forwarding.announced_engines import AnnouncedEngines
from wasabistream.forwarding.endpoints import Endpoint
from wasabistream.forwarding.fleet_updaters import FleetUpdater
from wasabistream.forwarding.fleets import Fleet, FleetHolder
from wasabistream.forwarding.mirrors import StoreMirror
from wasabistream.long_polls import build_long_poll_limits
from wasabistream.platform.store_clients import StoreClient
from wasabistream.platform.store_decoders import FleetDecoder
from wasabistream.platform.store_followers import StoreFollower
from wasabistream_tools.soak.stores import StandInStore


def build_configuration_row(
    revision: int, version: int, **fields: Any
) -> dict[str, Any]:
    """Return a configuration in the format of the store's answers."""
    document = {**CONFIGURATION, 'version': version, **fields}
    return build_row('op/config', revision, document)


def build_server_row(revision: int, server_id: str) -> dict[str, Any]:
    """Return a backend server in the format of the store's answers."""
    return build_row(f'servers/{server_id}', revision, SERVER)


class FollowedStore:
    """Follow a store and record the configuration versions in force."""

    def __init__(
        self,
        guard: Any = None,
        is_read_by_peers: Callable[[], bool] = bool,
    ) -> None:
        self.guard = guard
        self.store = StandInStore()
        self.mirror = StoreMirror()
        self.fleet = FleetHolder()
        self.versions: list[int] = []
        updater = FleetUpdater(
            self.fleet, FleetDecoder().decode, AnnouncedEngines(), bool
        )
        updater.subscribe(self._record_version)
        self.mirror.subscribe(updater.apply_items)
        limits = build_long_poll_limits(3.0)
        self.follower = StoreFollower(
            StoreClient(
                Endpoint('127.0.0.1', self.store.port), limits.timeout_seconds
            ),
            self.mirror,
            limits,
            lambda: None,
            bool,
            guard,
            is_read_by_peers,
        )

    def stop(self) -> None:
        """Stop the follower and the store."""
        self.follower.stop()
        self.store.stop()

    def has(self, version: int, *server_ids: str) -> bool:
        """Return whether a version and exactly these servers are in force."""
        servers = set(self.fleet.current.servers)
        return self.versions[-1:] == [version] and servers == set(server_ids)

    def _record_version(self, fleet: Fleet) -> None:
        if fleet.configuration is not None:
            self.versions.append(fleet.configuration.version)
