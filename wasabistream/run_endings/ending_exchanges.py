"""Queries of an entry to agents about the ends of runs."""

import itertools
import logging
import math
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from wasabistream.link_senders import send_or_log
from wasabistream.links import Link
from wasabistream.run_endings.ending_messages import (
    ENDINGS_VERSION,
    RunEndingQuery,
    RunEndingReply,
)
from wasabistream.run_endings.endings import EndedRun, RunEnding
from wasabistream.units import MILLISECONDS_PER_SECOND

logger = logging.getLogger(__name__)

# Interval at which a wait looks whether it has to go on.
WAIT_POLL_SECONDS = 0.1
# Ends of links are kept for longer than a run lasts.
CLOSED_LINK_SECONDS = 600.0


@dataclass
class _Query:
    """A query that may still be answered."""

    endpoint: str
    ending: RunEnding | None = None
    is_open: bool = True


class EndingExchange:
    """Ask the agent of an engine how a run ended."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._links: dict[str, Link] = {}
        # When the last link to an agent of each engine ended, and the protocol
        # version of that agent.
        self._closed: dict[str, tuple[float, int]] = {}
        self._numbers = itertools.count(1)
        self._queries: dict[int, _Query] = {}

    def on_opened(self, endpoint: str, link: Link) -> None:
        """Use the link to the agent of an engine."""
        with self._changed:
            self._links[endpoint] = link
            self._changed.notify_all()

    def on_closed(self, endpoint: str, link: Link) -> None:
        """Forget a link that has ended, with the queries over it."""
        with self._changed:
            if self._links.get(endpoint) is not link:
                return
            self._links.pop(endpoint)
            self._closed[endpoint] = time.monotonic(), link.peer.version_max
            self._drop_old()
            for query in self._queries.values():
                if query.endpoint == endpoint:
                    query.is_open = False
            self._changed.notify_all()

    def on_reply(self, endpoint: str, reply: RunEndingReply) -> None:
        """Take the reply of an agent."""
        with self._changed:
            query = self._queries.get(reply.number)
            if query is None or query.endpoint != endpoint:
                return
            query.is_open = False
            query.ending = _decode_ending(reply.ending)
            self._changed.notify_all()

    def find_version_within(self, endpoint: str, seconds: float) -> int | None:
        """Return the lowest protocol version of agents linked in this time.

        None if none was. Of agents that have ended, the last one counts.
        """
        versions = []
        with self._changed:
            link = self._links.get(endpoint)
            if link is not None:
                versions.append(link.peer.version_max)
            closed_at_seconds, version = self._closed.get(
                endpoint, (-math.inf, 0)
            )
            if time.monotonic() - closed_at_seconds <= seconds:
                versions.append(version)
        return min(versions, default=None)

    def find_incarnation(self, endpoint: str) -> str:
        """Return the incarnation of the agent that is linked; empty if none."""
        with self._changed:
            link = self._links.get(endpoint)
            return '' if link is None else link.peer.incarnation

    def has_been_replaced(self, endpoint: str, seconds: float) -> bool:
        """Return whether the last link ended at least this time ago."""
        with self._changed:
            closed = self._closed.get(endpoint)
            return (
                closed is not None and time.monotonic() - closed[0] >= seconds
            )

    def wait_for_link(self, endpoint: str, seconds: float) -> bool:
        """Wait for the link to an agent; return whether there is one."""
        with self._changed:
            return self._changed.wait_for(
                lambda: endpoint in self._links, seconds
            )

    def ask(
        self,
        endpoint: str,
        run: EndedRun,
        wait_seconds: Callable[[], float],
        required_incarnation: str = '',
    ) -> RunEnding | None:
        """Return the agent's reply, or None if there is none in time.

        `wait_seconds` returns how long to wait since the question. With a
        required incarnation, no other agent is asked.
        """
        started = time.monotonic()
        with self._changed:
            link = self._links.get(endpoint)
            if link is None or link.peer.version_max < ENDINGS_VERSION:
                return None
            if required_incarnation not in {'', link.peer.incarnation}:
                return None
            number = next(self._numbers)
            query = _Query(endpoint)
            self._queries[number] = query
            age_ms = int(run.age_seconds * MILLISECONDS_PER_SECOND)
            send_or_log(
                link,
                RunEndingQuery(
                    number, run.run_id, age_ms, list(run.used_handles)
                ),
                'agent link: end of a run',
            )
            try:
                while query.is_open:
                    remaining = started + wait_seconds() - time.monotonic()
                    if remaining <= 0:
                        break
                    self._changed.wait(min(remaining, WAIT_POLL_SECONDS))
            finally:
                self._queries.pop(number)
            return query.ending

    def _drop_old(self) -> None:
        oldest_seconds = time.monotonic() - CLOSED_LINK_SECONDS
        self._closed = {
            endpoint: (closed_at_seconds, version)
            for endpoint, (closed_at_seconds, version) in self._closed.items()
            if closed_at_seconds >= oldest_seconds
        }


def _decode_ending(text: str) -> RunEnding:
    try:
        return RunEnding(text)
    except ValueError:
        logger.info('agent link: ending %r of a run is not known', text)
        return RunEnding.unknown
