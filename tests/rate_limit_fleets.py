"""Builders of entries that share a backend server's rate limit."""

import heapq
import itertools
import random
from collections.abc import Iterable
from functools import partial

from tests.forwarding_builders import Clock, build_server
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.entry_shares import EntryShares
from wasabistream.forwarding.rate_limits import RateLimits
from wasabistream.messages import Message

STEP_SECONDS = 0.005
NOTICE_STEPS = 200
WINDOW_SECONDS = 4.0
# Time after which a limit must be kept; `stable_window_ms` of the platform.
SETTLING_SECONDS = 3.0


def max_window_count(limit_per_second: float) -> float:
    """Return the most requests in a window: 1.5 times the limit, and 5."""
    return 1.5 * limit_per_second * WINDOW_SECONDS + 5


class LimitedFleet:
    """Run entries that send requests to one server with a rate limit."""

    def __init__(
        self,
        entry_count: int,
        limit_per_second: float,
        delay_seconds: float = 0.01,
    ) -> None:
        self.clock = Clock()
        self.server = build_server(1)
        self.limit_per_second = limit_per_second
        self.sent_at_seconds: list[float] = []
        self.entries: dict[str, RateLimits] = {}
        self._shares: dict[str, EntryShares] = {}
        self._delay_seconds = delay_seconds
        self._random = random.Random(1)
        self._order = itertools.count()
        self._step = 0
        self._messages: list[tuple[float, int, str, Message]] = []
        # Entries that reach each other; all by default.
        self._groups: list[set[str]] = []
        for number in range(entry_count):
            self.add_entry(f'10.1.0.{number}:9000')
        self._groups = [set(self.entries)]

    def add_entry(self, endpoint: str) -> RateLimits:
        """Start an entry that the others do not know yet."""
        shares = EntryShares(endpoint, self.clock)
        limits = RateLimits(
            shares, partial(self._broadcast, endpoint), self.clock
        )
        limits.on_fleet_changed([self.server])
        self.entries[endpoint] = limits
        self._shares[endpoint] = shares
        if self._groups:
            self._groups[0].add(endpoint)
        return limits

    def split(self, *groups: Iterable[str]) -> None:
        """Cut the links between groups of entries."""
        self._groups = [set(group) for group in groups]

    def run(self, seconds: float, requests_per_second: float) -> None:
        """Send requests at random entries for a time."""
        end = self.clock() + seconds
        while self.clock() < end:
            self.clock.advance(STEP_SECONDS)
            self._deliver()
            if self._step % NOTICE_STEPS == 0:
                self._exchange_notices()
            self._step += 1
            if self._random.random() < requests_per_second * STEP_SECONDS:
                self.send(self._random.choice(list(self.entries)))

    def send(self, endpoint: str) -> bool:
        """Send one request if it is allowed; its answer states the limit."""
        limits = self.entries[endpoint]
        taken = limits.try_take(self.server)
        if taken:
            self.sent_at_seconds.append(self.clock())
            self.answer(limits)
        return taken

    def answer(
        self, limits: RateLimits, server: BackendServer | None = None
    ) -> None:
        """Give an entry an answer that states the limit."""
        limits.record_answer(
            server or self.server, self.limit_per_second, self.clock()
        )

    def count_most_in_window(self, after_seconds: float) -> int:
        """Return the most requests in a window after a time."""
        sent = [at for at in self.sent_at_seconds if at >= after_seconds]
        return max(
            (
                sum(first <= at < first + WINDOW_SECONDS for at in sent)
                for first in sent
            ),
            default=0,
        )

    def _exchange_notices(self) -> None:
        for group in self._groups:
            for endpoint, other in itertools.permutations(group, 2):
                self._shares[endpoint].record_notice(other, group)

    def _broadcast(self, sender: str, notice: Message) -> None:
        arrives_at = self.clock() + self._delay_seconds
        for group in self._groups:
            if sender in group:
                for endpoint in group - {sender}:
                    message = (arrives_at, next(self._order), endpoint, notice)
                    heapq.heappush(self._messages, message)

    def _deliver(self) -> None:
        while self._messages and self._messages[0][0] <= self.clock():
            _, _, endpoint, notice = heapq.heappop(self._messages)
            self.entries[endpoint].on_message(notice)  # type: ignore[arg-type]
