"""State of the requests that wait for a start."""

import logging
import threading
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.queueing.engine_rooms import Shortage, find_headroom_tokens
from wasabistream.queueing.expected_waits import RoomRate, spread_wait
from wasabistream.queueing.interfaces import StartFleet
from wasabistream.queueing.room_shares import may_take_room
from wasabistream.queueing.start_decisions import (
    StartAction,
    StartDecision,
    apply_prediction,
    decide_start,
)
from wasabistream.queueing.start_orders import may_look_for_room, rank_claim
from wasabistream.queueing.start_records import record_end
from wasabistream.queueing.starts import Start, StartReason
from wasabistream.queueing.urgent_arrivals import UrgentArrivals
from wasabistream.queueing.waiting_requests import (
    WaitingRequest,
    build_waiting_request,
)
from wasabistream.scheduling.engine_outlooks import EngineOutlook

logger = logging.getLogger(__name__)

# An entry has 128 threads for requests; the others remain for urgent ones.
MAX_WAITING_COUNT = 32
# Age of the last prediction after which another one is made, for the in-time
# limit of a request that may not look for room.
PREDICTION_AGE_SECONDS = 0.5
# Starts that show how much can begin in time.
IN_TIME_REASONS = frozenset((StartReason.room, StartReason.in_time_limit))


@dataclass(eq=False, slots=True)
class StartTicket:
    """Hold one waiting request and, in the end, its start."""

    request: ForwardRequest
    facts: WaitingRequest
    is_ended: Callable[[], bool]
    # Number of requests ahead of it when it arrived.
    position: int = 0
    shortage: Shortage = Shortage.none
    predicted_at_seconds: float = 0
    start: Start | None = None
    decided: threading.Event = field(default_factory=threading.Event)


class StartLine:
    """Decide on waiting requests, one after the other.

    Each start is counted at its engine before the next request is decided, so
    that two requests do not share one room. Not thread-safe: the owner must
    hold its own lock around each method.
    """

    def __init__(
        self,
        fleet: StartFleet,
        arrivals: UrgentArrivals,
        draw_ratio: Callable[[], float],
    ) -> None:
        self._fleet = fleet
        self._arrivals = arrivals
        self._draw_ratio = draw_ratio
        # Request ids come from callers and need not be unique.
        self._tickets: set[StartTicket] = set()
        # Started requests whose threads have not begun to send them yet.
        self._unsent: set[StartTicket] = set()
        self._rates: dict[str, RoomRate] = defaultdict(RoomRate)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._tickets)

    def add(
        self,
        request: ForwardRequest,
        is_ended: Callable[[], bool],
        now_seconds: float,
    ) -> StartTicket:
        """Decide on a request that arrives; without a start it waits."""
        ticket = StartTicket(
            request, build_waiting_request(request, now_seconds), is_ended
        )
        reason = self._find_bypass_reason(request.service, is_ended)
        if reason is None:
            self._decide_arrival(ticket, now_seconds)
        else:
            self._end(ticket, Start(reason), now_seconds)
        return ticket

    def scan(self, now_seconds: float) -> None:
        """Decide on all waiting requests in their order."""
        self._end_useless(now_seconds)
        self._release_unreported(now_seconds)
        if not self._tickets:
            return
        running_tokens = self._count_running_tokens()
        ordered = _order(self._tickets, running_tokens)
        without_room: list[WaitingRequest] = []
        while ordered:
            ticket = ordered.pop(0)
            try:
                has_started = self._try_start(ticket, without_room, now_seconds)
            except Exception as error:
                # The others must not wait for it. Its own thread ends its wait
                # after its dispatch limit.
                logger.warning('queue: decision failed: %r', error)
                continue
            if has_started:
                organisation = ticket.facts.organisation
                running_tokens[organisation] += ticket.facts.expected_tokens
                ordered = _order(ordered, running_tokens)
            else:
                without_room.append(ticket.facts)

    def release_all(self, reason: StartReason, now_seconds: float) -> None:
        """Leave all waiting requests to the selection."""
        for ticket in list(self._tickets):
            self._end(ticket, Start(reason), now_seconds)

    def release(
        self, ticket: StartTicket, reason: StartReason, now_seconds: float
    ) -> None:
        """End the wait of one request unless it has been decided."""
        if ticket.start is None:
            self._end(ticket, Start(reason), now_seconds)

    def find_wait_reason(
        self,
        request: ForwardRequest,
        outlooks: Sequence[EngineOutlook],
        now_seconds: float,
    ) -> str:
        """Return what a request would wait for now; changes nothing."""
        facts = build_waiting_request(request, now_seconds)
        decision = decide_start(
            facts,
            outlooks,
            self._find_headroom_tokens(facts, now_seconds),
            now_seconds,
            may_take_room=not self._tickets,
        )
        if decision.action != StartAction.wait:
            return ''
        return f'no room yet: {decision.shortage}'

    def pick_up(self, ticket: StartTicket) -> None:
        """Note that the thread of a started request is about to send it."""
        self._unsent.discard(ticket)

    def _find_bypass_reason(
        self, service: str, is_ended: Callable[[], bool]
    ) -> StartReason | None:
        if is_ended():
            return StartReason.ended
        if len(self._tickets) >= MAX_WAITING_COUNT:
            return StartReason.full
        if self._fleet.has_fresh_reports(service):
            return None
        return StartReason.no_reports

    def _decide_arrival(self, ticket: StartTicket, now_seconds: float) -> None:
        outlooks = self._predict(ticket, now_seconds)
        facts = ticket.facts
        ordered = _order((*self._tickets, ticket), self._count_running_tokens())
        ahead = [other.facts for other in ordered[: ordered.index(ticket)]]
        ticket.position = len(ahead)
        tokens_ahead = sum(
            other.expected_tokens
            for other in ahead
            if other.service == facts.service
        )
        wait_seconds = self._rates[facts.service].expect_wait(
            tokens_ahead, now_seconds
        )
        decision = decide_start(
            facts,
            outlooks,
            self._find_headroom_tokens(facts, now_seconds),
            now_seconds,
            wait_seconds,
            may_take_room=may_look_for_room(facts, ahead, now_seconds),
        )
        if decision.action == StartAction.refuse:
            self._refuse(ticket, wait_seconds, now_seconds)
        elif not self._apply(ticket, decision, now_seconds):
            self._tickets.add(ticket)
            self._record_waiting(facts.service, now_seconds)

    def _try_start(
        self,
        ticket: StartTicket,
        without_room: list[WaitingRequest],
        now_seconds: float,
    ) -> bool:
        facts = ticket.facts
        is_due = facts.is_due(now_seconds)
        may_take_room = may_look_for_room(facts, without_room, now_seconds)
        age_seconds = now_seconds - ticket.predicted_at_seconds
        # A prediction covers all engines, so it is made only where it counts.
        if not (
            is_due or may_take_room or age_seconds > PREDICTION_AGE_SECONDS
        ):
            return False
        outlooks = self._predict(ticket, now_seconds)
        decision = decide_start(
            ticket.facts,
            outlooks,
            self._find_headroom_tokens(facts, now_seconds),
            now_seconds,
            may_take_room=may_take_room,
        )
        if decision.action == StartAction.refuse:
            self._refuse(ticket, facts.target_seconds, now_seconds)
            return True
        return self._apply(ticket, decision, now_seconds)

    def _refuse(
        self, ticket: StartTicket, wait_seconds: float, now_seconds: float
    ) -> None:
        stated_seconds = spread_wait(
            wait_seconds,
            ticket.facts.deadline_at_seconds - now_seconds,
            self._draw_ratio,
        )
        refusal = Start(StartReason.refused, retry_after_seconds=stated_seconds)
        self._end(ticket, refusal, now_seconds)

    def _predict(
        self, ticket: StartTicket, now_seconds: float
    ) -> list[EngineOutlook]:
        # A cold engine counts a request only once it is sent.
        excluded = {
            unsent.start.server.endpoint
            for unsent in self._unsent
            if unsent.start is not None
            and unsent.start.server is not None
            and self._fleet.is_cold(unsent.start.server)
        }
        outlooks = self._fleet.predict_all(ticket.request, excluded)
        ticket.predicted_at_seconds = now_seconds
        ticket.facts = apply_prediction(ticket.facts, outlooks, now_seconds)
        return outlooks

    def _find_headroom_tokens(
        self, facts: WaitingRequest, now_seconds: float
    ) -> float:
        need = self._arrivals.need(
            facts.service, facts.route_priority, now_seconds
        )
        return find_headroom_tokens(
            need,
            self._fleet.live_entry_count(),
            self._fleet.usable_engine_count(facts.service),
            self._fleet.capacity_tokens(facts.service),
        )

    def _apply(
        self,
        ticket: StartTicket,
        decision: StartDecision,
        now_seconds: float,
    ) -> bool:
        """Start a request if this was decided; return whether it has ended."""
        if decision.action != StartAction.send:
            ticket.shortage = decision.shortage
            return False
        if decision.reason == StartReason.room and not self._wins_room(
            ticket, decision, now_seconds
        ):
            ticket.shortage = Shortage.other_entries
            return False
        taken = None
        if decision.outlooks:
            taken = self._fleet.take_from(ticket.request, decision.outlooks)
        is_last_chance = (
            not decision.outlooks
            or decision.reason == StartReason.dispatch_limit
        )
        # Its limit may have been used up since the prediction.
        if taken is None and not is_last_chance:
            ticket.shortage = Shortage.engines
            return False
        server = taken.server if taken else None
        self._end(ticket, Start(decision.reason, server), now_seconds)
        return True

    def _wins_room(
        self, ticket: StartTicket, decision: StartDecision, now_seconds: float
    ) -> bool:
        # At its limit a request is sent even without room.
        return ticket.facts.is_due(now_seconds) or may_take_room(
            decision.outlooks,
            self._find_headroom_tokens(ticket.facts, now_seconds),
            ticket.facts.expected_tokens,
            self._fleet.live_entry_count(),
            self._draw_ratio,
        )

    def _release_unreported(self, now_seconds: float) -> None:
        services = {ticket.facts.service for ticket in self._tickets}
        for service in services:
            if self._fleet.has_fresh_reports(service):
                continue
            for ticket in list(self._tickets):
                if ticket.facts.service == service:
                    self._end(
                        ticket, Start(StartReason.no_reports), now_seconds
                    )

    def _end_useless(self, now_seconds: float) -> None:
        for ticket in list(self._tickets):
            expired = now_seconds >= ticket.facts.deadline_at_seconds
            if expired or ticket.is_ended():
                self._end(ticket, Start(StartReason.ended), now_seconds)

    def _end(
        self, ticket: StartTicket, start: Start, now_seconds: float
    ) -> None:
        facts = ticket.facts
        if start.server is not None:
            self._fleet.add_sent_request(start.server, ticket.request)
            self._unsent.add(ticket)
        if start.reason in IN_TIME_REASONS:
            self._rates[facts.service].record_start(
                facts.expected_tokens, now_seconds
            )
        if ticket in self._tickets:
            self._tickets.remove(ticket)
            self._record_waiting(facts.service, now_seconds)
        record_end(facts, start, now_seconds, ticket.position, ticket.shortage)
        ticket.start = start
        ticket.decided.set()

    def _record_waiting(self, service: str, now_seconds: float) -> None:
        count = sum(ticket.facts.service == service for ticket in self._tickets)
        self._rates[service].record_waiting(count, now_seconds)

    def _count_running_tokens(self) -> Counter[str]:
        tokens = Counter(self._fleet.running_tokens())
        for ticket in self._unsent:
            tokens[ticket.facts.organisation] += ticket.facts.expected_tokens
        return tokens


def _order(
    tickets: Iterable[StartTicket], running_tokens: Mapping[str, int]
) -> list[StartTicket]:
    return sorted(
        tickets, key=lambda ticket: rank_claim(ticket.facts, running_tokens)
    )
