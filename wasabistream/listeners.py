"""Listener for links that peers open."""

import logging
import socket
import threading
from collections.abc import Sequence

from wasabistream.exceptions import LinkError
from wasabistream.link_loops import link_loop
from wasabistream.link_waits import Pause, Readable, Task
from wasabistream.links import Link, LinkHandler
from wasabistream.notices import Hello

logger = logging.getLogger(__name__)

ACCEPT_RETRY_SECONDS = 0.1

BACKLOG_COUNT = 512


class LinkListener:
    """Accept links, greet each with `hello` and run its task."""

    def __init__(
        self, address: str, port: int, hello: Hello, handler: LinkHandler
    ) -> None:
        self._hello = hello
        self._handler = handler
        self._socket = socket.create_server(
            (address, port), backlog=BACKLOG_COUNT
        )
        self._socket.setblocking(False)
        self.port: int = self._socket.getsockname()[1]

    def start(self) -> None:
        """Start the task that accepts links."""
        link_loop.spawn(self._accept())

    def stop(self) -> None:
        """Stop accepting links; open links stay open."""
        link_loop.call_and_wait(self._close)

    def _close(self) -> None:
        link_loop.forget(self._socket)
        self._socket.close()

    def _accept(self) -> Task:
        while True:
            yield Readable(self._socket, None)
            try:
                sock, _ = self._socket.accept()
            except BlockingIOError:
                continue
            except OSError as error:
                # Too few descriptors, for example; the listener stays open.
                logger.warning('link: accept failed: %s', error)
                yield Pause(ACCEPT_RETRY_SECONDS)
                continue
            self._start_link(sock)

    def _start_link(self, sock: socket.socket) -> None:
        try:
            link = Link.build(sock, self._hello, self._handler)
        except LinkError as error:
            logger.info(
                'link: peer disconnected before the handshake: %s', error
            )
            return
        link.start()


def close_links_gracefully(links: Sequence[Link]) -> None:
    """Close links gracefully, all in parallel; returns when all are closed."""
    threads = [threading.Thread(target=link.close_gracefully) for link in links]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
