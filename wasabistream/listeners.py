"""Listener for links that peers open."""

import logging
import socket
import threading
from collections.abc import Sequence

from wasabistream.links import Link, LinkHandler
from wasabistream.notices import Hello

logger = logging.getLogger(__name__)

BACKLOG_COUNT = 512


class LinkListener:
    """Accept links, greet each with `hello` and run it in its own thread."""

    def __init__(
        self, address: str, port: int, hello: Hello, handler: LinkHandler
    ) -> None:
        self._hello = hello
        self._handler = handler
        self._socket = socket.create_server(
            (address, port), backlog=BACKLOG_COUNT
        )
        self.port: int = self._socket.getsockname()[1]

    def start(self) -> None:
        """Start the thread that accepts links."""
        threading.Thread(
            target=self._accept, name='accept', daemon=True
        ).start()

    def stop(self) -> None:
        """Stop accepting links; open links stay open."""
        try:
            # Without it, a pending accept would still take one more link.
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            logger.debug('link: listener was closed already: %s', error)
        self._socket.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._socket.accept()
            except OSError:
                return
            threading.Thread(
                target=self._run_link, args=(sock,), daemon=True
            ).start()

    def _run_link(self, sock: socket.socket) -> None:
        try:
            link = Link(sock, self._hello, self._handler)
        except OSError as error:
            logger.info(
                'link: peer disconnected before the handshake: %s', error
            )
            return
        link.run()


def close_links_gracefully(links: Sequence[Link]) -> None:
    """Close links gracefully, all in parallel; returns when all are closed."""
    threads = [threading.Thread(target=link.close_gracefully) for link in links]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
