"""Thread that sends the heartbeats of all links of a process."""

import threading
import time
from typing import Protocol

HEARTBEAT_INTERVAL_SECONDS = 2.0
CHECK_INTERVAL_SECONDS = 0.5


class HeartbeatLink(Protocol):
    """Link that sends a heartbeat after an interval without other frames."""

    def send_heartbeat_if_due(self, now: float) -> None:
        """Send a heartbeat if one is due, without blocking."""


class HeartbeatSender:
    """Send the heartbeats of all links from one thread.

    Waking the writer threads of 196 links every 2 s took more processor
    time than sending the heartbeats.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._links: set[HeartbeatLink] = set()
        self._started = False

    def add(self, link: HeartbeatLink) -> None:
        """Start sending the heartbeats of a link."""
        with self._lock:
            self._links.add(link)
            if not self._started:
                self._started = True
                threading.Thread(
                    target=self._run, name='heartbeats', daemon=True
                ).start()

    def remove(self, link: HeartbeatLink) -> None:
        """Stop sending the heartbeats of a link."""
        with self._lock:
            self._links.discard(link)

    def _run(self) -> None:
        while True:
            time.sleep(CHECK_INTERVAL_SECONDS)
            with self._lock:
                links = list(self._links)
            now = time.monotonic()
            for link in links:
                link.send_heartbeat_if_due(now)


heartbeat_sender = HeartbeatSender()
