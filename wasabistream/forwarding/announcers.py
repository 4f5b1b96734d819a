"""Announcement of an agent's engine to the entries."""

import logging
import threading
from collections.abc import Callable, Sequence

from wasabistream.dialers import PeerDialer
from wasabistream.forwarding.announced_engines import (
    ANNOUNCE_INTERVAL_SECONDS,
    EngineAnnouncement,
)
from wasabistream.forwarding.endpoints import Endpoint
from wasabistream.link_senders import send_or_log
from wasabistream.links import Link
from wasabistream.messages import Message
from wasabistream.notices import Hello


class EngineAnnouncer:
    """Announce the engine to the seed entries while it serves.

    The seed entries pass the announcement on to all others, so that entries
    find engines that start while the store is unavailable.
    """

    def __init__(
        self,
        hello: Hello,
        seeds: Sequence[Endpoint],
        announcement: EngineAnnouncement,
        is_serving: Callable[[], bool],
    ) -> None:
        self._announcement = announcement
        self._is_serving = is_serving
        self._links: set[Link] = set()
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._dialers = [
            PeerDialer(seed.address, seed.port, hello, self) for seed in seeds
        ]

    def start(self) -> None:
        """Connect to the seeds and start announcing."""
        for dialer in self._dialers:
            dialer.start()
        threading.Thread(target=self._run, name='announce', daemon=True).start()

    def stop(self) -> None:
        """Stop announcing and close the links."""
        self._stopped.set()
        for dialer in self._dialers:
            dialer.stop()

    def on_opened(self, link: Link) -> None:
        """Add the entry to the receivers of announcements."""
        with self._lock:
            self._links.add(link)

    def on_messages(self, link: Link, received: Sequence[Message]) -> None:
        """Ignore messages that entries send to each other."""

    def on_closed(self, link: Link, reason: str) -> None:
        """Remove the entry from the receivers of announcements."""
        with self._lock:
            self._links.discard(link)

    def _run(self) -> None:
        while not self._stopped.wait(ANNOUNCE_INTERVAL_SECONDS):
            if not self._is_serving():
                continue
            with self._lock:
                links = list(self._links)
            for link in links:
                send_or_log(
                    link,
                    self._announcement,
                    'announcer: message',
                    logging.DEBUG,
                )
