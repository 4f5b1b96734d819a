"""Facts about a deferrable request on which its start is decided."""

from dataclasses import dataclass

from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.scheduling.predictions import request_age_seconds

# Callers leave after four times the target latency without an event.
DISPATCH_TARGET_RATIO = 2.0
# The other part of the deadline is left for the generation.
DISPATCH_DEADLINE_RATIO = 0.5
# A prediction of the first event is often exceeded while prompts are queued.
IN_TIME_MARGIN_RATIO = 2.0

# A request that is older on arrival, as a part of its target latency, has been
# refused or has failed before.
FIRST_TRY_RATIO = 0.5
# Times of its wait that a refused request needs until its deadline: one for its
# caller to come back, one to wait again, one for the generation.
RETURN_WINDOW_COUNT = 3


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """Hold the size and the time limits of one waiting request."""

    request_id: str
    service: str
    organisation: str
    # That of the organisation, which overrides the route's.
    priority: int
    route_priority: int
    expected_tokens: int
    arrived_at_seconds: float
    # When the caller first asked, also if that was at another entry.
    asked_at_seconds: float
    target_seconds: float
    deadline_at_seconds: float
    # Shortest predicted time to the first event at the last prediction.
    least_first_event_seconds: float = 0
    # Whether no engine could begin it in time at its in-time limit.
    is_late: bool = False

    @property
    def in_time_limit_at_seconds(self) -> float:
        """Return the time after which it can hardly be in time."""
        margin_seconds = self.least_first_event_seconds * IN_TIME_MARGIN_RATIO
        return self.asked_at_seconds + self.target_seconds - margin_seconds

    @property
    def dispatch_limit_at_seconds(self) -> float:
        """Return the time after which it does not wait any longer."""
        deadline_seconds = self.deadline_at_seconds - self.arrived_at_seconds
        return self.arrived_at_seconds + min(
            self.target_seconds * DISPATCH_TARGET_RATIO,
            deadline_seconds * DISPATCH_DEADLINE_RATIO,
        )

    def may_return(self, now_seconds: float) -> bool:
        """Return whether its caller has time to come back, once.

        It needs as long as it has waited until then, and again to wait.
        """
        window_seconds = (
            self.dispatch_limit_at_seconds - self.arrived_at_seconds
        )
        age_seconds = self.arrived_at_seconds - self.asked_at_seconds
        remaining_seconds = self.deadline_at_seconds - now_seconds
        return (
            age_seconds < self.target_seconds * FIRST_TRY_RATIO
            and remaining_seconds >= window_seconds * RETURN_WINDOW_COUNT
        )

    def is_due(self, now_seconds: float) -> bool:
        """Return whether it has reached a limit and no longer needs room."""
        if now_seconds >= self.dispatch_limit_at_seconds:
            return True
        return not self.is_late and now_seconds >= self.in_time_limit_at_seconds


def build_waiting_request(
    request: ForwardRequest, now_seconds: float
) -> WaitingRequest:
    """Return the facts about a request that arrives now."""
    remaining_seconds = request.deadline.remaining_seconds
    demand = request.demand
    return WaitingRequest(
        request_id=request.request_id,
        service=request.service,
        organisation=request.organisation,
        priority=request.priority,
        route_priority=request.route.priority,
        expected_tokens=demand.expected_tokens if demand else 0,
        arrived_at_seconds=now_seconds,
        asked_at_seconds=now_seconds - request_age_seconds(request),
        target_seconds=request.route.target_latency_seconds,
        deadline_at_seconds=now_seconds + remaining_seconds,
    )
