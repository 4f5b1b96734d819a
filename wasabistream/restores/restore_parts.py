"""Wiring of the holds of an entry."""

from collections.abc import Callable, Mapping

from wasabistream.forwarding.mirrors import MirrorItem
from wasabistream.forwarding.peer_links import PeerLinks
from wasabistream.restores.restore_guards import RestoreGuard
from wasabistream.restores.restore_messages import HeldItems
from wasabistream.restores.restore_peers import SENDER_COUNT, RestorePeers


def build_restore_guard(
    peer_links: PeerLinks,
    apply: Callable[[Mapping[str, MirrorItem]], None],
    epoch: Callable[[], int],
    lasting_keys: frozenset[str],
) -> RestoreGuard:
    """Return a guard that exchanges its holds with the other entries."""
    guard = RestoreGuard(apply, epoch, lasting_keys)
    peers = RestorePeers(
        guard,
        peer_links,
        lambda peer_id: peer_links.shares.is_among_first(peer_id, SENDER_COUNT),
    )
    peer_links.subscriptions.add_for_each_peer(
        HeldItems, peers.on_held_items, peers.describe
    )
    return guard
