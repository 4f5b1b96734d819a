"""Dialer that keeps a link to one peer open."""

import logging
import random
from collections.abc import Generator

from wasabistream.exceptions import LinkError
from wasabistream.link_loops import link_loop
from wasabistream.link_waits import Pause, Task, Wait
from wasabistream.links import Link, LinkHandler, connect
from wasabistream.notices import Hello

logger = logging.getLogger(__name__)

RETRY_MIN_SECONDS = 0.1
RETRY_MAX_SECONDS = 2.0


class PeerDialer:
    """Open a link to one peer, read it and reconnect when it ends."""

    def __init__(
        self,
        address: str,
        port: int,
        hello: Hello,
        handler: LinkHandler,
        expected_peer_id: str = '',
    ) -> None:
        self.address = address
        self.port = port
        self._hello = hello
        self._handler = handler
        # Guards against a new VM that has taken over the peer's address.
        self._expected_peer_id = expected_peer_id
        self._stopped = False
        self._link: Link | None = None

    def start(self) -> None:
        """Start the task that connects and reads."""
        link_loop.spawn(self._run())

    def stop(self) -> None:
        """Close the link and stop reconnecting."""
        self._stopped = True
        if self._link is not None:
            self._link.close()

    def _run(self) -> Task:
        wait_seconds = RETRY_MIN_SECONDS
        while not self._stopped:
            if (yield from self._run_link()):
                wait_seconds = RETRY_MIN_SECONDS
            if self._stopped:
                return
            # Jitter keeps the entries from reconnecting at the same moment.
            yield Pause(wait_seconds * random.uniform(0.5, 1.5))
            wait_seconds = min(wait_seconds * 2, RETRY_MAX_SECONDS)

    def _run_link(self) -> Generator[Wait, None, bool]:
        try:
            sock = yield from connect(self.address, self.port)
            link = Link.build(
                sock, self._hello, self._handler, self._expected_peer_id
            )
        except LinkError as error:
            logger.debug('dialer: %s', error)
            return False
        self._link = link
        if self._stopped:
            # `stop` may have closed only the previous link.
            link.close()
        return (yield from link.run())
