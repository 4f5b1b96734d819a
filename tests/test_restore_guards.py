"""Tests of the items held when the store returns from an older copy.

Failures: the store loses what it acknowledged last, gives revisions out again
and gets it back from its writers only some seconds later.
"""

import unittest
from collections.abc import Callable, Mapping

from tests.forwarding_builders import Clock, build_item
from wasabistream.forwarding.entry_shares import EntryShares
from wasabistream.forwarding.mirrors import MirrorItem
from wasabistream.frames import FrameReader, encode_frame
from wasabistream.messages import Message
from wasabistream.metrics import HELD_STORE_ITEMS
from wasabistream.notices import Hello
from wasabistream.restores.pending_holds import PENDING_SECONDS
from wasabistream.restores.restore_guards import RestoreGuard
from wasabistream.restores.restore_messages import HeldItems
from wasabistream.restores.restore_peers import (
    NEW_PEER_SECONDS,
    PART_BYTES,
    SENDER_COUNT,
    RestorePeers,
)
from wasabistream.restores.restored_items import (
    RESTORE_HOLD_SECONDS,
    SUPERSEDED_MEMORY_SECONDS,
)

GUARD_LOGGER = 'wasabistream.restores.restore_guards'
CONFIGURATION = 'op/config'
LASTING_KEYS = frozenset((CONFIGURATION,))
EVACUATION = 'op/evacuate/dc-a'
SERVER = 'servers/a'
OLD, NEW = build_item(SERVER, 5, b'ready'), build_item(SERVER, 7, b'draining')
PEER = Hello(1, 2, 'entry', 'entry-b', 'i', 'dc-a')


class GuardedEntry:
    """Feed a guard and its exchange as a mirror and a peer do."""

    def __init__(self, clock: Clock, *items: MirrorItem) -> None:
        self.clock = clock
        self.epoch = 1
        self.items: dict[str, MirrorItem] = {}
        self.effective: dict[str, MirrorItem] = {}
        self.sent: list[Message] = []
        self.is_sender = True
        self.guard = RestoreGuard(
            self._apply, lambda: self.epoch, LASTING_KEYS, clock
        )
        self.peers = RestorePeers(
            self.guard, self, lambda _: self.is_sender, clock
        )
        if items:
            self.relist(*items)

    def relist(self, *items: MirrorItem, epoch: int = 1) -> None:
        """Replace all items by a listing."""
        self.epoch = epoch
        self.items = {item.key: item for item in items}
        self.guard.on_items(self.items)

    def write(self, *items: MirrorItem) -> None:
        """Change items in place, as the mirror does."""
        self.items.update({item.key: item for item in items})
        self.guard.on_items(self.items)

    def remove(self, key: str) -> None:
        """Remove an item."""
        self.items.pop(key)
        self.guard.on_items(self.items)

    def wait(self, seconds: float = RESTORE_HOLD_SECONDS) -> None:
        """Let time pass and end the holds that are due."""
        self.clock.advance(seconds)
        self.guard.apply_due()

    def send_to_some(
        self, notice: Message, is_receiver: Callable[[Hello], bool]
    ) -> None:
        """Record what goes to the peer."""
        if is_receiver(PEER):
            self.sent.append(notice)

    def receive(self, *messages: Message) -> None:
        """Take messages as they arrive over a link."""
        for message in messages:
            for received in FrameReader('').feed(encode_frame(message)):
                assert isinstance(received, HeldItems)
                self.peers.on_held_items(received)

    def _apply(self, items: Mapping[str, MirrorItem]) -> None:
        self.effective = dict(items)


class RestoreGuardTest(unittest.TestCase):
    """Guard against taking the state of an older copy for the newest one."""

    def setUp(self) -> None:
        """Start an entry before the return."""
        self.clock = Clock()
        self.entry = GuardedEntry(self.clock, build_item('servers/z', 1))

    def assert_effective(self, *items: MirrorItem) -> None:
        """Check the items in effect, but for one that never changes."""
        effective = dict(self.entry.effective)
        effective.pop('servers/z', None)
        self.assertEqual(effective, {item.key: item for item in items})

    def return_with(self, *items: MirrorItem, epoch: int = 2) -> None:
        """Let the store return from an older copy."""
        self.entry.relist(build_item('servers/z', 1), *items, epoch=epoch)

    def test_first_listing_and_same_epoch(self) -> None:
        """Guard against holding removed servers when nothing was restored."""
        self.entry.write(OLD)
        self.entry.relist(build_item('servers/z', 1))
        self.assert_effective()
        first = GuardedEntry(self.clock)
        first.relist(OLD, epoch=4)
        self.assertFalse(first.guard.waiting)

    def test_server_that_registered_after_the_copy(self) -> None:
        """Guard against losing a server until it registers again."""
        self.entry.write(OLD)
        with self.assertLogs(GUARD_LOGGER, 'INFO') as logs:
            self.return_with()
            self.assert_effective(OLD)
            self.assertEqual(HELD_STORE_ITEMS._value.get(), 1)
            self.entry.wait(RESTORE_HOLD_SECONDS - 0.1)
            self.assert_effective(OLD)
            self.entry.wait(0.2)
            made, ended = (record.__dict__ for record in logs.records)
        self.assert_effective()
        self.assertFalse(self.entry.guard.waiting)
        self.assertEqual((made['keys'], ended['reason']), ([SERVER], 'time'))

    def test_server_that_left_after_the_copy(self) -> None:
        """Guard against sending to a server that has left.

        One that the store still lists after the hold sends heartbeats.
        """
        self.entry.write(OLD)
        self.entry.remove(SERVER)
        self.return_with(OLD)
        self.assert_effective()
        self.entry.wait()
        self.assert_effective(OLD)

    def test_draining_server(self) -> None:
        """Guard against taking a draining server for a ready one.

        The outage lasts longer than the memory of superseded items.
        """
        self.entry.write(OLD)
        self.entry.write(NEW)
        self.clock.advance(2 * SUPERSEDED_MEMORY_SECONDS)
        self.return_with(OLD)
        self.assert_effective(NEW)
        rewritten = build_item(SERVER, 6, b'draining')
        self.entry.write(rewritten)
        self.assert_effective(rewritten)
        self.entry.remove(SERVER)
        self.assert_effective()

    def test_evacuations(self) -> None:
        """Guard against losing an evacuation or repeating a lifted one."""
        evacuation = build_item(EVACUATION, 5)
        self.entry.write(evacuation)
        self.return_with()
        self.assert_effective(evacuation)
        self.entry.write(build_item(EVACUATION, 4))
        self.entry.remove(EVACUATION)
        self.return_with(build_item(EVACUATION, 4), epoch=3)
        self.assert_effective()

    def test_states_before_the_start(self) -> None:
        """Guard against states that this entry has never seen.

        The revision of another item shows that they come from the copy.
        """
        later = build_item('servers/y', 6)
        entry = GuardedEntry(self.clock, later, NEW)
        entry.relist(later, OLD, build_item(EVACUATION, 4), epoch=2)
        self.assertEqual(entry.effective, {SERVER: NEW, later.key: later})
        written = build_item(SERVER, 8, b'ready')
        entry = GuardedEntry(self.clock, later, NEW)
        entry.relist(later, written, epoch=2)
        self.assertEqual(entry.effective[SERVER], written)

    def test_lost_items_at_their_former_revisions(self) -> None:
        """Guard against a configuration that a later write seems to precede."""
        rewritten = build_item('servers/y', 8)
        entry = GuardedEntry(
            self.clock, rewritten, build_item(CONFIGURATION, 7, b'7')
        )
        newest = build_item(CONFIGURATION, 6, b'8')
        entry.relist(rewritten, newest, epoch=2)
        self.assertEqual(entry.effective[CONFIGURATION], newest)

    def test_unknown_epoch(self) -> None:
        """Guard against taking the first known epoch for a return."""
        self.entry.relist(OLD, epoch=0)
        self.entry.relist(build_item('servers/z', 1), epoch=1)
        self.assertFalse(self.entry.guard.waiting)

    def test_older_configuration(self) -> None:
        """Guard against an older version in force, however late it is written.

        The second return comes after the record of superseded items has
        expired.
        """
        old = build_item(CONFIGURATION, 5, b'5')
        new = build_item(CONFIGURATION, 7, b'7')
        self.entry.write(old)
        self.entry.write(new)
        self.return_with(old)
        self.entry.wait(2 * SUPERSEDED_MEMORY_SECONDS)
        self.entry.write(build_item('servers/z', 1))
        self.assert_effective(new)
        self.return_with(old, epoch=3)
        self.assert_effective(new)
        rewritten = build_item(CONFIGURATION, 6, b'7')
        self.entry.write(rewritten)
        self.assert_effective(rewritten)

    def test_revision_that_is_given_out_again(self) -> None:
        """Guard against taking a new write for the older item."""
        self.entry.write(OLD)
        self.entry.write(NEW)
        written = build_item(SERVER, OLD.revision, b'new')
        self.return_with(written)
        self.assert_effective(written)
        self.assertFalse(self.entry.guard.waiting)

    def test_second_return_during_holds(self) -> None:
        """Guard against comparing with the first copy instead of the holds."""
        self.entry.write(OLD, build_item('servers/b', 6))
        self.entry.write(NEW)
        self.return_with(OLD)
        self.entry.wait(RESTORE_HOLD_SECONDS - 1)
        self.return_with(epoch=3)
        self.assert_effective(NEW, build_item('servers/b', 6))
        self.entry.wait(RESTORE_HOLD_SECONDS - 1)
        self.assert_effective(NEW, build_item('servers/b', 6))


class RestorePeersTest(unittest.TestCase):
    """Guard against an entry that starts during the return of the store."""

    def setUp(self) -> None:
        """Let an entry hold a drained server, a new one and a configuration."""
        self.clock = Clock()
        self.entry = GuardedEntry(self.clock, OLD)
        known = (NEW, build_item('servers/b', 6), build_item(CONFIGURATION, 8))
        self.entry.write(*known)
        self.known = {item.key: item for item in known}

    def test_holds_reach_a_started_entry(self) -> None:
        """Guard against a started entry that uses the older copy.

        The holds may come before its first listing, and only the configuration
        outlasts the hold time.
        """
        self.entry.relist(OLD, epoch=2)
        messages = self.entry.peers.describe(PEER)
        listed = GuardedEntry(self.clock)
        listed.relist(OLD, epoch=2)
        early = GuardedEntry(self.clock)
        for started in (listed, early):
            started.receive(*messages)
        self.clock.advance(PENDING_SECONDS - 1)
        early.relist(OLD, epoch=2)
        for started in (listed, early):
            self.assertEqual(started.effective, self.known)
            started.wait()
            self.assertEqual(set(started.effective), {SERVER, CONFIGURATION})
            self.assertEqual(started.effective[SERVER], OLD)

    def test_holds_correct_an_entry_that_knew_a_part(self) -> None:
        """Guard against a copy that wins over an entry's and its peers' state."""
        self.entry.relist(OLD, epoch=2)
        started = GuardedEntry(self.clock, NEW)
        started.relist(OLD, epoch=2)
        self.assertEqual(started.effective[SERVER], OLD)
        started.receive(*self.entry.peers.describe(PEER))
        self.assertEqual(started.effective[SERVER], NEW)

    def test_newest_hold_wins(self) -> None:
        """Guard against an entry that keeps the hold of an outdated peer."""
        newer = build_item(SERVER, 9, b'gone')
        informed = GuardedEntry(self.clock, OLD, NEW)
        informed.write(newer)
        for entry in (informed, self.entry):
            entry.relist(epoch=2)
        self.entry.receive(*informed.peers.describe(PEER))
        self.assertEqual(self.entry.effective[SERVER], newer)
        informed.receive(*self.entry.peers.describe(PEER))
        self.assertEqual(informed.effective[SERVER], newer)

    def test_keys_written_after_the_return(self) -> None:
        """Guard against holds of a peer that replace newer items."""
        self.entry.relist(OLD, epoch=2)
        messages = self.entry.peers.describe(PEER)
        written = build_item(SERVER, 6, b'new')
        started = GuardedEntry(self.clock)
        started.relist(written, epoch=2)
        started.receive(*messages)
        self.assertEqual(started.effective, {**self.known, SERVER: written})
        later = GuardedEntry(self.clock)
        later.relist(OLD, epoch=3)
        later.receive(*messages)
        self.assertEqual(later.effective, {SERVER: OLD})

    def test_peer_that_missed_a_removal(self) -> None:
        """Guard against a peer that brings back a server that has left."""
        other = GuardedEntry(self.clock, *self.known.values())
        other.remove(SERVER)
        for entry in (other, self.entry):
            entry.relist(epoch=2)
        other.receive(*self.entry.peers.describe(PEER))
        self.assertNotIn(SERVER, other.effective)

    def test_new_peers_are_told_once(self) -> None:
        """Guard against telling entries that know, or from all entries."""
        for age_seconds, is_sender, count in (
            (NEW_PEER_SECONDS - 1, True, 1),
            (NEW_PEER_SECONDS - 1, False, 0),
            (NEW_PEER_SECONDS + 1, True, 0),
        ):
            entry = GuardedEntry(self.clock, OLD, NEW)
            entry.is_sender = is_sender
            self.assertEqual(entry.peers.describe(PEER), ())
            self.clock.advance(age_seconds)
            entry.relist(epoch=2)
            entry.write(build_item('servers/c', 3))
            self.assertEqual(len(entry.sent), count)
            self.assertEqual(len(entry.peers.describe(PEER)), int(is_sender))

    def test_few_entries_tell(self) -> None:
        """Guard against a configuration from each of hundreds of entries."""
        endpoints = [f'10.0.0.{number}:9000' for number in range(40)]
        is_sender = []
        for endpoint in endpoints:
            shares = EntryShares(endpoint, self.clock)
            for other in set(endpoints) - {endpoint}:
                shares.record_notice(other, ())
            is_sender.append(shares.is_among_first('b', SENDER_COUNT))
        self.assertEqual(sum(is_sender), SENDER_COUNT)

    def test_messages_are_split(self) -> None:
        """Guard against frames above the limit, and malformed ones."""
        items = [
            build_item(f'servers/{number}', number, b'.' * (PART_BYTES // 2))
            for number in range(5)
        ]
        configuration = build_item(CONFIGURATION, 9, b'.' * 1024 * 1024)
        entry = GuardedEntry(self.clock, OLD, *items, configuration)
        entry.relist(OLD, epoch=2)
        started = GuardedEntry(self.clock)
        started.relist(OLD, epoch=2)
        with self.assertLogs('wasabistream.restores.restore_peers'):
            started.receive(HeldItems(2, [[SERVER, 5, 7, 7, 100]]))
        messages = entry.peers.describe(PEER)
        self.assertGreater(len(messages), 2)
        started.receive(*messages)
        self.assertEqual(started.effective, entry.effective)
