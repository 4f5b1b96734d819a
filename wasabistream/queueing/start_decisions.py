"""Decision whether a deferrable request starts now, waits or is refused."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, replace
from enum import StrEnum

from wasabistream.queueing.engine_rooms import (
    IN_TIME_LATE_CHANCE,
    Shortage,
    find_shortage,
    fits_memory,
)
from wasabistream.queueing.starts import StartReason
from wasabistream.queueing.waiting_requests import WaitingRequest
from wasabistream.scheduling.engine_outlooks import EngineOutlook


class StartAction(StrEnum):
    """State what happens to a waiting request."""

    send = 'send'
    wait = 'wait'
    refuse = 'refuse'


@dataclass(frozen=True, slots=True)
class StartDecision:
    """Hold what to do with a request and why."""

    action: StartAction
    # None while it waits.
    reason: StartReason | None = None
    # Engines from which to select; empty to leave it to the usual selection.
    outlooks: tuple[EngineOutlook, ...] = ()
    shortage: Shortage = Shortage.none


def apply_prediction(
    request: WaitingRequest,
    outlooks: Sequence[EngineOutlook],
    now_seconds: float,
) -> WaitingRequest:
    """Return the request with what a prediction says about its limit.

    A request becomes late, for good, if no engine could begin it in time at its
    in-time limit.
    """
    if not outlooks:
        return request
    least_seconds = min(outlook.first_event_seconds for outlook in outlooks)
    predicted = replace(request, least_first_event_seconds=least_seconds)
    becomes_late = (
        now_seconds >= predicted.in_time_limit_at_seconds
        and not _select_in_time(outlooks)
    )
    return replace(predicted, is_late=request.is_late or becomes_late)


def decide_start(
    request: WaitingRequest,
    outlooks: Sequence[EngineOutlook],
    headroom_tokens: float,
    now_seconds: float,
    expected_wait_seconds: float | None = None,
    *,
    may_take_room: bool = True,
) -> StartDecision:
    """Decide on one request.

    `headroom_tokens` are kept free for urgent requests at each engine.
    `expected_wait_seconds` is given for a request that has just arrived. One
    that waits is refused at its dispatch limit if its caller has time to come
    back: without memory for it, it would preempt others or wait there. Without `may_take_room`, room that there is
    belongs to requests ahead of it.
    """
    shortages = {
        outlook: find_shortage(outlook, request, headroom_tokens)
        for outlook in outlooks
    }
    roomy = tuple(
        outlook
        for outlook, shortage in shortages.items()
        if shortage == Shortage.none
    )
    if roomy and may_take_room:
        return _send(StartReason.room, roomy)
    if not outlooks and expected_wait_seconds is not None:
        return _send(StartReason.no_engine)
    limited = _decide_at_limit(request, outlooks, now_seconds)
    if limited is not None:
        return limited
    if expected_wait_seconds is not None and not roomy:
        start_at_seconds = now_seconds + expected_wait_seconds
        if start_at_seconds > request.dispatch_limit_at_seconds:
            return StartDecision(StartAction.refuse, StartReason.refused)
    return StartDecision(
        StartAction.wait,
        shortage=_summarise(shortages.values()),
    )


def _decide_at_limit(
    request: WaitingRequest,
    outlooks: Sequence[EngineOutlook],
    now_seconds: float,
) -> StartDecision | None:
    if now_seconds >= request.dispatch_limit_at_seconds:
        fitting = tuple(filter(fits_memory, outlooks))
        if outlooks and not fitting and request.may_return(now_seconds):
            return StartDecision(StartAction.refuse, StartReason.refused)
        return _send(StartReason.dispatch_limit, fitting or tuple(outlooks))
    if request.is_late or now_seconds < request.in_time_limit_at_seconds:
        return None
    in_time = _select_in_time(outlooks)
    return _send(StartReason.in_time_limit, in_time) if in_time else None


def _select_in_time(
    outlooks: Sequence[EngineOutlook],
) -> tuple[EngineOutlook, ...]:
    return tuple(
        outlook
        for outlook in outlooks
        if outlook.late_chance <= IN_TIME_LATE_CHANCE and fits_memory(outlook)
    )


def _send(
    reason: StartReason, outlooks: tuple[EngineOutlook, ...] = ()
) -> StartDecision:
    return StartDecision(StartAction.send, reason, outlooks)


def _summarise(shortages: Collection[Shortage]) -> Shortage:
    if not shortages:
        return Shortage.engines
    if Shortage.none in shortages:
        return Shortage.order
    if Shortage.memory in shortages:
        return Shortage.memory
    return Shortage.prompts
