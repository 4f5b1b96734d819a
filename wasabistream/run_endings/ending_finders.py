"""How runs ended, as their agent finds out."""

import logging
import math
import threading
import time
from collections.abc import Callable
from functools import partial

from wasabistream.exceptions import BackendError
from wasabistream.forwarding.run_movers import AgentEngine
from wasabistream.messages import Message
from wasabistream.run_endings.ending_messages import (
    RunEndingQuery,
    RunEndingReply,
)
from wasabistream.run_endings.endings import RunEnding
from wasabistream.run_endings.engine_continuity import EngineContinuity
from wasabistream.run_endings.listed_runs import (
    is_still_listed,
    outlives_its_runs,
)
from wasabistream.run_endings.run_stops import RunStops
from wasabistream.units import MILLISECONDS_PER_SECOND

logger = logging.getLogger(__name__)

# Queries that are answered at once; each occupies a thread.
MAX_QUERY_COUNT = 64
# Longest wait for the outcome of an order that stops the run.
ORDER_WAIT_SECONDS = 5.0
# A query may be late on its link, so the run began up to this time before the
# age that the query states.
MAX_QUERY_DELAY_SECONDS = 1.0


def _know_none(run_id: str) -> float:
    return math.inf


class RunEndingFinder:
    """Tell how a run ended by the orders of this agent and its engine."""

    def __init__(
        self,
        engine: AgentEngine,
        stops: RunStops,
        continuity: EngineContinuity,
        clock: Callable[[], float] = time.monotonic,
        find_known_since: Callable[[str], float] = _know_none,
    ) -> None:
        # Returns when a run was first seen, if this agent has announced it.
        self._find_known_since = find_known_since
        self._engine = engine
        self._stops = stops
        self._continuity = continuity
        self._clock = clock

    def find(self, query: RunEndingQuery) -> RunEnding:
        """Return how a run ended; waits for orders that may have stopped it."""
        now = self._clock()
        sent_at_seconds = now - query.age_ms / MILLISECONDS_PER_SECOND
        if not self._stops.wait_until_decided(query.run_id, ORDER_WAIT_SECONDS):
            return RunEnding.stopped
        if self._stops.has_stopped(
            query.run_id,
            sent_at_seconds - MAX_QUERY_DELAY_SECONDS,
            query.used_handles,
        ):
            return RunEnding.stopped
        try:
            is_listed = is_still_listed(self._engine, query.run_id, self._clock)
        except BackendError:
            return RunEnding.interrupted
        if is_listed:
            return RunEnding.interrupted
        if self._continuity.serves_since(
            self._find_seen_at(query.run_id, sent_at_seconds)
        ):
            if outlives_its_runs(
                self._engine, partial(self._has_concurrent_ends, query.run_id)
            ):
                return RunEnding.complete
            return RunEnding.interrupted
        if self._continuity.has_restarted:
            return RunEnding.interrupted
        # This agent has started since and knows nothing of earlier orders.
        return RunEnding.unknown

    def _has_concurrent_ends(self, run_id: str) -> bool:
        # Runs that were moved have ended by order.
        return any(
            not self._stops.has_stopped(other, -math.inf, ())
            for other in self._continuity.departures.find_concurrent(run_id)
        )

    def _find_seen_at(self, run_id: str, sent_at_seconds: float) -> float:
        # An agent that is younger than the run may have seen it later.
        known_since_seconds = self._find_known_since(run_id)
        if math.isinf(known_since_seconds):
            return sent_at_seconds
        return max(sent_at_seconds, known_since_seconds)


class EndingResponder:
    """Answer queries on threads of their own, as they wait for the engine."""

    def __init__(self, finder: RunEndingFinder) -> None:
        self._finder = finder
        self._places = threading.BoundedSemaphore(MAX_QUERY_COUNT)

    def respond(
        self, query: RunEndingQuery, send: Callable[[Message], None]
    ) -> None:
        """Answer a query later; at once if too many are being answered."""
        if not self._places.acquire(blocking=False):
            logger.warning(
                'agent: too many queries about runs',
                extra={'request_id': query.run_id},
            )
            send(RunEndingReply(query.number, RunEnding.unknown))
            return
        threading.Thread(
            target=self._answer,
            args=(query, send),
            name='ending',
            daemon=True,
        ).start()

    def _answer(
        self, query: RunEndingQuery, send: Callable[[Message], None]
    ) -> None:
        try:
            ending = self._finder.find(query)
            send(RunEndingReply(query.number, ending))
        finally:
            self._places.release()
