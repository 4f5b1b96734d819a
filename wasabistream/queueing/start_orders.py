"""Order in which waiting requests look for room."""

from collections.abc import Iterable, Mapping

from wasabistream.queueing.waiting_requests import WaitingRequest

# Smaller requests could take each bit of memory that becomes free, so that
# enough for a large one never accumulates.
OVERTAKING_LIMIT_SECONDS = 0.5


def rank_claim(
    request: WaitingRequest, running_tokens: Mapping[str, int]
) -> tuple[bool, int, int, float, float]:
    """Return a sort key; the request with the lowest one is decided first.

    `running_tokens` are the expected tokens of the running generations of each
    organisation. An unused share of an organisation goes to the others.
    """
    return (
        request.is_late,
        request.priority,
        running_tokens.get(request.organisation, 0),
        request.in_time_limit_at_seconds,
        request.arrived_at_seconds,
    )


def may_look_for_room(
    request: WaitingRequest,
    without_room: Iterable[WaitingRequest],
    now_seconds: float,
) -> bool:
    """Return whether a request may overtake those that found no room.

    `without_room` are the requests ahead of it for which no engine has room.
    One of at least the same size has no better prospects; a smaller one may
    overtake until the larger one has waited for too long.
    """
    return all(
        request.expected_tokens < ahead.expected_tokens
        and now_seconds - ahead.arrived_at_seconds < OVERTAKING_LIMIT_SECONDS
        for ahead in without_room
        if ahead.service == request.service
    )
