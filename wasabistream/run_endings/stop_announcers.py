"""Announcement of stops to the entries that stream the runs."""

import logging
import math
import threading
import time
from collections import OrderedDict
from collections.abc import Callable, Collection
from typing import Protocol

from wasabistream.messages import Message
from wasabistream.run_endings.stop_messages import (
    StopNotice,
    StopNoticeReply,
    StreamedRunsQuery,
    StreamedRunsReply,
)

logger = logging.getLogger(__name__)

# Entries reply within one round trip. A query is repeated for entries that were
# linked or woke up since.
REPEAT_SECONDS = 0.3
# Longest wait for the reply to the announcement of a stop.
REPLY_WAIT_SECONDS = 0.2
# Runs that are remembered; an engine has some tens at once.
MAX_RUN_COUNT = 1024


class StopGate(Protocol):
    """Decide which runs may be stopped."""

    def find_entries(self, run_ids: Collection[str]) -> None:
        """Ask which entries stream the runs of an engine that leaves."""

    def is_streamed(self, run_id: str) -> bool:
        """Return whether an entry streams the run and replies."""

    def record_given_up(self, run_id: str) -> None:
        """Record that the entry has given the run up."""

    def forget_given_up(self, run_id: str) -> None:
        """Await replies for the run again."""

    def announce(self, run_id: str) -> bool:
        """Announce a stop; return whether the entry knows of it."""

    def wait(self, seconds: float) -> None:
        """Wait for the next reply."""


class StopAnnouncer:
    """Announce stops and record the replies of the entries.

    An entry that is not linked, or does not answer, would take the end of the
    connection for the end of the stream. So the entries of all runs are asked
    first, and only runs whose entry replies are announced, each right before
    its order: once a stop is announced, only this agent can tell how the run
    has ended. An entry keeps its record until the stream goes on from the run's
    memory or ends, so a late reply counts too.
    """

    def __init__(
        self,
        broadcast: Callable[[Message], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._broadcast = broadcast
        self._clock = clock
        self._changed = threading.Condition()
        # Runs whose entry has replied to the query.
        self._streamed: set[str] = set()
        # Runs whose entry has recorded a stop that is not ordered yet; the oldest
        # are evicted.
        self._confirmed: OrderedDict[str, None] = OrderedDict()
        # Runs that their entry has given up; the oldest are evicted.
        self._given_up: OrderedDict[str, None] = OrderedDict()
        # When the entry of each run without a reply was asked for last.
        self._asked_at_seconds: dict[str, float] = {}
        # When runs were first seen; the oldest are evicted.
        self._known_since_seconds: OrderedDict[str, float] = OrderedDict()

    @property
    def waiting_run_ids(self) -> list[str]:
        """Return the runs whose entry is not known."""
        with self._changed:
            return list(self._asked_at_seconds)

    def find_entries(self, run_ids: Collection[str]) -> None:
        """Ask which entries stream the runs of an engine that leaves.

        Those without a reply are asked for again; other runs are forgotten.
        """
        now = self._clock()
        with self._changed:
            for table in (self._confirmed, self._given_up):
                for ended_run_id in set(table) - set(run_ids):
                    table.pop(ended_run_id)
            self._streamed.intersection_update(run_ids)
            before = self._asked_at_seconds
            waiting = {
                run_id for run_id in run_ids if not self.is_streamed(run_id)
            }
            due = [
                run_id
                for run_id in waiting
                if now - before.get(run_id, -math.inf) >= REPEAT_SECONDS
            ]
            self._asked_at_seconds = {
                **{run_id: before.get(run_id, now) for run_id in waiting},
                **dict.fromkeys(due, now),
            }
            self._record_known(due, now)
        repeated = [run_id for run_id in due if run_id in before]
        if repeated:
            logger.info(
                'mover: no entry streams the runs',
                extra={'request_ids': repeated},
            )
        if due:
            self._broadcast(StreamedRunsQuery(due))

    def find_known_since(self, run_id: str) -> float:
        """Return when a run was first seen at the engine.

        Infinite for a run whose entry was never asked for.
        """
        return self._known_since_seconds.get(run_id, math.inf)

    def is_streamed(self, run_id: str) -> bool:
        """Return whether an entry streams the run and replies."""
        return any(
            run_id in table
            for table in (self._streamed, self._confirmed, self._given_up)
        )

    def record_given_up(self, run_id: str) -> None:
        """Record that the entry has given the run up."""
        with self._changed:
            self._asked_at_seconds.pop(run_id, None)
            self._given_up[run_id] = None
            _trim(self._given_up)
            self._changed.notify_all()

    def forget_given_up(self, run_id: str) -> None:
        """Await replies for the run again."""
        with self._changed:
            self._given_up.pop(run_id, None)

    def announce(self, run_id: str) -> bool:
        """Announce a stop; return whether the entry knows of it.

        Each reply serves for one order, as the run may come back to the engine
        after it.
        """
        with self._changed:
            if run_id in self._given_up or self._take_reply(run_id):
                return True
            self._record_known((run_id,), self._clock())
        self._broadcast(StopNotice(run_id))
        with self._changed:
            self._changed.wait_for(
                lambda: run_id in self._confirmed, REPLY_WAIT_SECONDS
            )
            if self._take_reply(run_id):
                return True
            # One entry may stream several runs. All are asked for again, so
            # that one that stands still takes the time of others only once.
            self._streamed.clear()
        logger.info(
            'mover: entry does not confirm the stop',
            extra={'request_id': run_id},
        )
        return False

    def wait(self, seconds: float) -> None:
        """Wait for the next reply."""
        with self._changed:
            self._changed.wait(seconds)

    def on_reply(self, reply: StreamedRunsReply | StopNoticeReply) -> None:
        """Take the reply of an entry."""
        with self._changed:
            if isinstance(reply, StreamedRunsReply):
                # Only runs that were asked for, which find_entries forgets.
                replied = set(reply.run_ids).intersection(
                    self._asked_at_seconds
                )
                self._streamed.update(replied)
            else:
                replied = {reply.run_id}
                self._confirmed[reply.run_id] = None
                _trim(self._confirmed)
            for run_id in replied:
                self._asked_at_seconds.pop(run_id, None)
            self._changed.notify_all()

    def _take_reply(self, run_id: str) -> bool:
        if run_id not in self._confirmed:
            return False
        self._confirmed.pop(run_id)
        return True

    def _record_known(self, run_ids: Collection[str], now: float) -> None:
        for run_id in run_ids:
            self._known_since_seconds.setdefault(run_id, now)
        _trim(self._known_since_seconds)


def _trim(table: OrderedDict) -> None:
    while len(table) > MAX_RUN_COUNT:
        table.popitem(last=False)
