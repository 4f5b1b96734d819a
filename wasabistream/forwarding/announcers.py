"""Announcer of the engine beside an agent."""

import logging
import threading
from collections.abc import Callable, Sequence

from wasabistream.dialers import PeerDialer
from wasabistream.forwarding.announced_engines import (
    ANNOUNCE_SECONDS,
    EngineAnnouncement,
)
from wasabistream.forwarding.endpoints import Endpoint
from wasabistream.link_senders import send_or_log
from wasabistream.links import Link
from wasabistream.messages import Message
from wasabistream.notices import Hello


class EngineAnnouncer:
    """Tell the seeds regularly that the engine serves.

    The seeds are entries, and they tell the others. So an engine that has
    started while the store is away is found all the same.
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
        """Start to announce."""
        for dialer in self._dialers:
            dialer.start()
        threading.Thread(target=self._run, name='announce', daemon=True).start()

    def stop(self) -> None:
        """Stop to announce."""
        self._stopped.set()
        for dialer in self._dialers:
            dialer.stop()

    def on_opened(self, link: Link) -> None:
        """Announce to an entry from now on."""
        with self._lock:
            self._links.add(link)

    def on_messages(self, link: Link, received: Sequence[Message]) -> None:
        """Ignore what entries tell each other."""

    def on_closed(self, link: Link, reason: str) -> None:
        """Forget an entry."""
        with self._lock:
            self._links.discard(link)

    def _run(self) -> None:
        while not self._stopped.wait(ANNOUNCE_SECONDS):
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
