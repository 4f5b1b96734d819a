"""Wiring of what follows the platform's store."""

from dataclasses import dataclass

from wasabistream.fleet_views.item_appliers import ItemApplier
from wasabistream.forwarding.fleet_updaters import FleetUpdater
from wasabistream.forwarding.mirrors import StoreMirror
from wasabistream.forwarding.peer_links import PeerLinks
from wasabistream.platform.node_files import NodeSettings
from wasabistream.platform.store_decoders import CONFIGURATION_KEY
from wasabistream.platform.store_followers import (
    StoreFollower,
    build_store_follower,
)
from wasabistream.restores.restore_guards import RestoreGuard
from wasabistream.restores.restore_parts import build_restore_guard


@dataclass(frozen=True, slots=True)
class StoreParts:
    """Hold the follower of the store and the guard of what it lacks."""

    follower: StoreFollower
    restore_guard: RestoreGuard
    applier: ItemApplier

    def start(self, mirror: StoreMirror) -> None:
        """Apply the items of the mirror and follow the store."""
        self.applier.start()
        mirror.subscribe(self.restore_guard.on_items)
        self.follower.start()

    def stop(self) -> None:
        """Stop following the store."""
        self.follower.stop()
        self.applier.stop()


def build_store_parts(
    node_settings: NodeSettings,
    mirror: StoreMirror,
    peer_links: PeerLinks,
    fleet_updater: FleetUpdater,
) -> StoreParts:
    """Return what keeps the view of the fleet up to date with the store."""
    applier = ItemApplier(fleet_updater.apply_items, fleet_updater.refresh)
    restore_guard = build_restore_guard(
        peer_links,
        applier.put,
        lambda: mirror.version.epoch,
        # A version of the configuration must not go back.
        frozenset((CONFIGURATION_KEY,)),
    )
    follower = build_store_follower(
        node_settings.store,
        node_settings.bounds.recovery_seconds,
        mirror,
        applier.put_refresh,
        peer_links.relays.is_updated_by_relays,
        restore_guard,
        peer_links.relays.is_read_by_peers,
        peer_links.relays.describe,
    )
    return StoreParts(follower, restore_guard, applier)
