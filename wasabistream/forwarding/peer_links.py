"""Links between entries: discovery, notices and store contents."""

import dataclasses
import itertools
import logging
import random
import threading
import time
from collections.abc import Callable, Sequence

from wasabistream.dialers import PeerDialer
from wasabistream.forwarding.announced_engines import (
    AnnouncedEngines,
    EngineAnnouncement,
)
from wasabistream.forwarding.endpoints import parse_endpoint
from wasabistream.forwarding.entry_shares import EntryShares
from wasabistream.forwarding.live_entries import LiveEntries
from wasabistream.forwarding.mirror_exchanges import MirrorExchange
from wasabistream.forwarding.mirrors import MirrorDifference, StoreMirror
from wasabistream.forwarding.notice_subscriptions import (
    NoticeSubscriptions,
    NoticeT,
)
from wasabistream.forwarding.peer_messages import (
    MirrorPart,
    MirrorQuery,
    MirrorUpdate,
    PeerNotice,
)
from wasabistream.forwarding.store_relays import StoreRelays
from wasabistream.link_senders import send_or_log
from wasabistream.links import Link
from wasabistream.messages import Message
from wasabistream.metrics import KNOWN_ENTRIES
from wasabistream.notices import Hello
from wasabistream.restores.store_versions import StoreVersion
from wasabistream.units import MILLISECONDS_PER_SECOND

logger = logging.getLogger(__name__)


NOTICE_INTERVAL_SECONDS = 1.0
# A process that starts without data waits this long for the store, or for a
# peer that reads it, before it copies a peer that has lost the store: that one
# may still list servers that have left and keys that were withdrawn.
STALE_PEER_DELAY_SECONDS = 1.5
# Time for a peer to send all its items, before another one is asked.
QUERY_TIMEOUT_SECONDS = 2.0
# Number of peers, of all linked ones, among which an entry that is behind draws
# the one that it asks. Each peer sends a notice a second.
DRAWN_PEER_COUNT = 4
# Maximum number of links that an entry opens; further live entries are counted
# but not dialled.
MAX_DIALER_COUNT = 512
# First protocol version whose notices may leave unchanged lists out.
UNCHANGED_LISTS_VERSION = 2
# First protocol version with updates of mirrors.
UPDATES_VERSION = 2
# First protocol version whose updates state their epoch. Updates without one
# look older than the own items, so their senders are no relays.
RELAY_VERSION = 3
# First protocol version that takes compressed contents.
COMPRESSION_VERSION = 4


class PeerLinks:
    """Discover the other entries and read the store through them.

    Entries discover each other through the seeds and through the peers that
    notices list. An entry that cannot read the store copies a peer's items if
    the peer's version is newer.
    """

    def __init__(
        self,
        hello: Hello,
        endpoint: str,
        seeds: Sequence[str],
        mirror: StoreMirror,
        announced_engines: AnnouncedEngines,
        is_store_lost: Callable[[], bool],
        refresh_fleet: Callable[[], None],
        apply_seconds: float,
    ) -> None:
        self._hello = hello
        self._endpoint = endpoint
        self._seeds = tuple(seeds)
        self._mirror = mirror
        self._announced_engines = announced_engines
        self._is_store_lost = is_store_lost
        # Adds newly announced engines to the fleet.
        self._refresh_fleet = refresh_fleet
        # Engines whose agents announced them to this entry, not to a peer.
        self._directly_announced_engines = AnnouncedEngines()
        self._lock = threading.Lock()
        self._dialers: dict[str, PeerDialer] = {}
        # The last notice of each peer, with its lists.
        self._links: dict[Link, PeerNotice | None] = {}
        # The last notice sent over each link, with its lists.
        self._sent_notices: dict[Link, PeerNotice] = {}
        self._live_entries = LiveEntries(endpoint)
        self.shares = EntryShares(endpoint)
        self._exchange = MirrorExchange(mirror)
        self.relays = StoreRelays(
            endpoint,
            hello.data_centre,
            lambda: mirror.version,
            apply_seconds,
        )
        mirror.subscribe_differences(self._pass_on)
        self.subscriptions = NoticeSubscriptions()
        # True once this entry shuts down.
        self.draining = False
        self._created_at_seconds = time.monotonic()
        # The peer that was asked for its items last, and until when no other
        # one is asked.
        self._queried_link: Link | None = None
        self._queried_until_seconds = 0.0
        self._stopped = threading.Event()
        self._wake = threading.Event()

    def start(self) -> None:
        """Start discovering the other entries and sending notices."""
        threading.Thread(target=self._run, name='peers', daemon=True).start()

    def replace_seeds(self, seeds: Sequence[str]) -> None:
        """Discover the other entries through other seeds."""
        self._seeds = tuple(seeds)
        self._wake.set()

    def stop(self) -> None:
        """Close all links."""
        self._stopped.set()
        self._wake.set()
        with self._lock:
            dialers = list(self._dialers.values())
            links = list(self._links)
        for dialer in dialers:
            dialer.stop()
        for link in links:
            link.close()

    def subscribe(
        self,
        message_type: type[NoticeT],
        handler: Callable[[NoticeT], None],
        describe: Callable[[], Sequence[Message]],
    ) -> None:
        """Call the handler with the notices of a type from other entries.

        `describe` returns the notices for an entry that is linked anew.
        """
        self.subscriptions.add(message_type, handler, describe)

    def send_to_some(
        self, notice: Message, is_receiver: Callable[[Hello], bool]
    ) -> None:
        """Send a message once to some of the linked entries."""
        with self._lock:
            links = {link.peer.peer_id: link for link in self._links}
        for link in links.values():
            if is_receiver(link.peer):
                _send(link, notice)

    def broadcast(
        self, notice: Message, *, once_per_peer: bool = False
    ) -> None:
        """Send a message to all linked entries.

        Two entries that are seeds of each other have two links; a message that
        is counted goes over one of them, `once_per_peer`.
        """
        with self._lock:
            links = list(self._links)
        if once_per_peer:
            links = list({link.peer.peer_id: link for link in links}.values())
        for link in links:
            _send(link, notice)

    def send_peer_notice(self) -> None:
        """Send a PeerNotice to the peers now, ahead of its interval."""
        self._wake.set()

    def entry_count(self) -> int:
        """Return the number of live entries, including this one."""
        return len(self._live_entries.list_live()) + 1

    def is_majority_serving(self) -> bool:
        """Return whether most of the linked entries are not shutting down."""
        with self._lock:
            draining = {
                notice.endpoint: notice.draining
                for notice in self._links.values()
                if notice is not None
            }
        return sum(draining.values()) * 2 < len(draining)

    def on_opened(self, link: Link) -> None:
        """Register a link to another entry and send it a notice."""
        if link.peer.role == self._hello.role:
            with self._lock:
                self._links[link] = None
            self._send_notice(link, self._build_notice())
            for notice in self.subscriptions.describe(link.peer):
                _send(link, notice)

    def on_messages(self, link: Link, received: Sequence[Message]) -> None:
        """Handle messages from a peer or an agent."""
        for notice in received:
            match notice:
                case PeerNotice():
                    self._on_peer_notice(link, notice)
                case EngineAnnouncement():
                    self._directly_announced_engines.record_contact(notice)
                    self._announced_engines.record_contact(notice)
                case MirrorQuery():
                    for part in self._exchange.parts_after(notice):
                        _send(link, part)
                case MirrorPart():
                    self._on_mirror_part(link, notice)
                case MirrorUpdate():
                    if self._exchange.apply_update(notice):
                        self._query(link)
                case _:
                    self.subscriptions.notify(link.peer, notice)

    def on_closed(self, link: Link, reason: str) -> None:
        """Remove a closed link."""
        self._end_query(link)
        with self._lock:
            self._links.pop(link, None)
            self._sent_notices.pop(link, None)
            self.relays.remove(link)
            self._exchange.discard_parts(link)
        logger.info('peer: link to %s ended: %s', link.peer.peer_id, reason)

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._dial()
            self._broadcast_notice()
            KNOWN_ENTRIES.set(self.entry_count())
            if self._is_store_lost():
                self._refresh_fleet()
            self._wake.wait(NOTICE_INTERVAL_SECONDS)
            self._wake.clear()

    def _dial(self) -> None:
        # Of two entries, only the one with the higher endpoint dials the other;
        # seeds are dialled by all.
        lower_endpoints = {
            live_endpoint
            for live_endpoint in self._live_entries.list_live()
            if live_endpoint < self._endpoint
        }
        with self._lock:
            wanted = (lower_endpoints | set(self._seeds)) - {self._endpoint}
            for unwanted in set(self._dialers) - wanted:
                self._dialers.pop(unwanted).stop()
            for endpoint in sorted(wanted - set(self._dialers)):
                if len(self._dialers) >= MAX_DIALER_COUNT:
                    break
                parsed = parse_endpoint(endpoint)
                dialer = PeerDialer(
                    parsed.address, parsed.port, self._hello, self
                )
                self._dialers[endpoint] = dialer
                dialer.start()

    def _pass_on(self, difference: MirrorDifference) -> None:
        # Entries that watch the store themselves apply it without effect.
        if not self.relays.is_relay():
            return
        with self._lock:
            links = [
                link
                for link in self._links
                if link.peer.data_centre == self._hello.data_centre
                and link.peer.version_max >= UPDATES_VERSION
            ]
        # Built once for all peers that take the same form.
        for takes_compressed, receivers in _group_by_form(links).items():
            updates = self._exchange.split_difference(
                difference, compresses=takes_compressed
            )
            for update in updates:
                for link in receivers:
                    _send(link, update)

    def _broadcast_notice(self) -> None:
        notice = self._build_notice()
        with self._lock:
            links = list(self._links)
        for link in links:
            self._send_notice(link, notice)

    def _send_notice(self, link: Link, notice: PeerNotice) -> None:
        # The lists are the largest part of a notice and rarely change.
        with self._lock:
            if link not in self._links:
                # It has just been closed.
                return
            before = self._sent_notices.get(link)
            self._sent_notices[link] = notice
            sent = notice
            if (
                before is not None
                and link.peer.version_max >= UNCHANGED_LISTS_VERSION
                and before.direct_peers == notice.direct_peers
                and before.engines == notice.engines
            ):
                sent = dataclasses.replace(
                    notice, direct_peers=[], engines=[], lists_unchanged=True
                )
            # Under the lock, so that notices stay in order.
            _send(link, sent)

    def _build_notice(self) -> PeerNotice:
        with self._lock:
            direct_peers = [
                notice.endpoint for notice in self._links.values() if notice
            ]
        engine_ages_seconds = self._directly_announced_engines.ages_seconds()
        version = self._mirror.version
        return PeerNotice(
            self._endpoint,
            version.revision,
            self._is_store_lost(),
            sorted(set(direct_peers)),
            [
                [engine.endpoint, engine.service, engine.data_centre]
                for engine in engine_ages_seconds
            ],
            self.draining,
            engine_ages_ms=[
                round(age_seconds * MILLISECONDS_PER_SECOND)
                for age_seconds in engine_ages_seconds.values()
            ],
            epoch=version.epoch,
            link_mbps=self.relays.own_link_mbps,
        )

    def _on_peer_notice(self, link: Link, notice: PeerNotice) -> None:
        with self._lock:
            before = self._links.get(link)
            if notice.lists_unchanged and before is not None:
                notice = dataclasses.replace(
                    notice,
                    direct_peers=before.direct_peers,
                    engines=before.engines,
                )
            self._links[link] = notice
        self.relays.record_notice(
            link,
            notice,
            link.peer.data_centre,
            is_capable=link.peer.version_max >= RELAY_VERSION,
        )
        self._live_entries.record_contact(notice.endpoint, notice.direct_peers)
        self.shares.record_notice(
            notice.endpoint, notice.direct_peers, draining=notice.draining
        )
        self._record_engines(notice)
        if self._wants_items(link, notice):
            self._query(link)

    def _query(self, link: Link) -> None:
        # All items of each of many peers would keep this entry busy for
        # seconds, so one peer at a time is asked.
        now = time.monotonic()
        with self._lock:
            if now < self._queried_until_seconds:
                return
            self._queried_link = link
            self._queried_until_seconds = now + QUERY_TIMEOUT_SECONDS
        version = self._mirror.version
        _send(
            link,
            MirrorQuery(version.revision, version.epoch, takes_compressed=True),
        )

    def _end_query(self, link: Link) -> None:
        with self._lock:
            if self._queried_link is link:
                self._queried_link = None
                self._queried_until_seconds = 0

    def _wants_items(self, link: Link, notice: PeerNotice) -> bool:
        own = self._mirror.version
        if notice.version <= own:
            return False
        is_new_process = own == StoreVersion()
        if not self._is_store_lost():
            # A call to the store may take long, or its answer may be lost.
            if self.relays.is_behind():
                return not is_new_process and _is_drawn(len(self._links))
            # The answer to a watch that was lost in the outage would show the
            # new epoch seconds later. One peer is not asked by all entries.
            return (
                notice.epoch > own.epoch
                and not is_new_process
                and (
                    self.relays.is_relay()
                    or link.peer.data_centre == self._hello.data_centre
                )
            )
        uptime_seconds = time.monotonic() - self._created_at_seconds
        return (
            not is_new_process
            or not notice.store_lost
            or uptime_seconds > STALE_PEER_DELAY_SECONDS
        )

    def _record_engines(self, notice: PeerNotice) -> None:
        try:
            ages_ms = itertools.chain(
                notice.engine_ages_ms, itertools.repeat(0)
            )
            for row, age_ms in zip(notice.engines, ages_ms, strict=False):
                endpoint, service, data_centre = row
                self._announced_engines.record_contact(
                    EngineAnnouncement(endpoint, service, data_centre),
                    age_ms / MILLISECONDS_PER_SECOND,
                )
        except (TypeError, ValueError) as error:
            logger.warning('peer: announced engines are malformed: %r', error)

    def _on_mirror_part(self, link: Link, part: MirrorPart) -> None:
        items = self._exchange.collect(link, part)
        if items is None:
            return
        self._end_query(link)
        # Also while this entry reads the store itself: a call that is in
        # progress may bring the later items seconds from now.
        logger.info(
            'peer: read the store through %s',
            link.peer.peer_id,
            extra={
                'epoch': part.epoch,
                'revision': part.revision,
                'taken': self._mirror.merge_copy(items, part.version),
            },
        )


def _is_drawn(peer_count: int) -> bool:
    # Entries that miss a change see the same notices in the same order. Each
    # draws its peer, so that none is asked by all.
    return random.random() * peer_count < DRAWN_PEER_COUNT


def _group_by_form(links: Sequence[Link]) -> dict[bool, list[Link]]:
    groups: dict[bool, list[Link]] = {}
    for link in links:
        takes_compressed = link.peer.version_max >= COMPRESSION_VERSION
        groups.setdefault(takes_compressed, []).append(link)
    return groups


def _send(link: Link, notice: Message) -> None:
    send_or_log(link, notice, 'peer: message', logging.DEBUG)
