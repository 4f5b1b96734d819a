"""Answers to queries where a request would go; the names are stable."""

import dataclasses
import json
import math
from collections.abc import Mapping, Sequence
from enum import StrEnum

from wasabistream.forwarding.load_trackers import LoadEstimate
from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.route_queries.server_verdicts import ServerVerdict
from wasabistream.scheduling.engine_outlooks import EngineOutlook

# Digits after the decimal point of numbers in answers.
DIGIT_COUNT = 4
# Fields of a prediction that a row repeats.
OUTLOOK_FIELDS = (
    'loss',
    'late_chance',
    'own_pause_chance',
    'disturbed_count',
    'memory_excess_ratio',
    'remote_loss',
    'first_event_seconds',
)


class Decision(StrEnum):
    """State what a selection would do; the values are stable."""

    send = 'send'
    wait = 'wait'
    refuse = 'refuse'


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulingView:
    """Hold what scheduling says about one request; empty where it is off."""

    scheduled: bool = False
    reason: str = 'service is not scheduled'
    # By endpoint, with the probability of each to be selected.
    outlooks: Mapping[str, EngineOutlook] = dataclasses.field(
        default_factory=dict
    )
    chances: Mapping[str, float] = dataclasses.field(default_factory=dict)
    # Why the request would wait; empty if it would not.
    wait_reason: str = ''
    # Share of requests that may go to each other data centre.
    shares: Mapping[str, float] = dataclasses.field(default_factory=dict)
    # Age of the engine speeds, by endpoint.
    pace_ages_seconds: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )


UNSCHEDULED = SchedulingView()


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRow:
    """Describe one server of the service; None stands for an unknown value."""

    server: str
    endpoint: str
    data_centre: str
    # Empty if unknown.
    software_version: str
    # Probability of being selected.
    chance: float
    # Cost by which servers of services that are not scheduled are compared.
    cost: float | None
    loss: float | None
    late_chance: float | None
    own_pause_chance: float | None
    disturbed_count: float | None
    memory_excess_ratio: float | None
    remote_loss: float | None
    first_event_seconds: float | None
    waiting_count: int
    running_count: int
    memory_used_ratio: float | None
    share: float | None
    report_age_seconds: float | None
    pace_age_seconds: float | None
    # Reason, or empty for a candidate.
    excluded: str


@dataclasses.dataclass(frozen=True, slots=True)
class RouteAnswer:
    """Explain where a request would go now."""

    process_id: str
    service: str
    # Part of the route's traffic by service.
    traffic_shares: Mapping[str, float]
    route: str
    organisation: str
    priority: int
    version: int
    scheduled: bool
    scheduled_reason: str
    decision: Decision
    reason: str
    # The most probable server; empty unless the request would be sent.
    server: str
    servers: tuple[RouteRow, ...]


def build_answer(
    process_id: str,
    request: ForwardRequest,
    verdicts: Sequence[ServerVerdict],
    refusal: str = '',
    scheduling: SchedulingView = UNSCHEDULED,
) -> RouteAnswer:
    """Return the answer from the verdicts on all servers of the service.

    `refusal` is the reason to refuse the request for whatever server, or to
    refuse it if there is no candidate.
    """
    chances = scheduling.chances or _find_least_cost_chances(verdicts)
    rows = sorted(
        (_build_row(verdict, chances, scheduling) for verdict in verdicts),
        key=lambda row: (-row.chance, bool(row.excluded), row.endpoint),
    )
    decision, reason = _decide(rows, refusal, scheduling)
    weights = {
        destination.service: destination.weight
        for destination in request.route.destinations
    }
    weight_sum = sum(weights.values()) or 1
    return RouteAnswer(
        process_id=process_id,
        service=request.service,
        traffic_shares={
            service: _round(weight / weight_sum)
            for service, weight in weights.items()
        },
        route=request.route.name,
        organisation=request.organisation,
        priority=request.priority,
        version=request.version,
        scheduled=scheduling.scheduled,
        scheduled_reason=scheduling.reason,
        decision=decision,
        reason=reason,
        server=rows[0].server if decision == Decision.send else '',
        servers=tuple(rows),
    )


def encode_answer(answer: RouteAnswer) -> bytes:
    """Return an answer as JSON."""
    return json.dumps(dataclasses.asdict(answer)).encode()


def _decide(
    rows: Sequence[RouteRow], refusal: str, scheduling: SchedulingView
) -> tuple[Decision, str]:
    candidates = [row for row in rows if not row.excluded]
    if refusal or not candidates:
        return Decision.refuse, refusal or 'no server is a candidate'
    if scheduling.wait_reason:
        return Decision.wait, scheduling.wait_reason
    if scheduling.outlooks:
        rule = 'sampled at random by expected loss'
    else:
        likely_count = sum(row.chance > 0 for row in candidates)
        rule = 'least cost'
        if likely_count > 1:
            rule = f'least cost, at random among {likely_count} equal ones'
    return Decision.send, f'{rule}; {len(candidates)} of {len(rows)} usable'


def _find_least_cost_chances(
    verdicts: Sequence[ServerVerdict],
) -> dict[str, float]:
    # Equal costs are decided at random.
    costs = {
        verdict.server.endpoint: verdict.cost
        for verdict in verdicts
        if verdict.cost is not None
    }
    least_cost = min(costs.values(), default=math.inf)
    chosen = [
        endpoint for endpoint, cost in costs.items() if cost == least_cost
    ]
    return {endpoint: 1 / len(chosen) for endpoint in chosen}


def _build_row(
    verdict: ServerVerdict,
    chances: Mapping[str, float],
    scheduling: SchedulingView,
) -> RouteRow:
    server = verdict.server
    estimate = verdict.estimate
    outlook = scheduling.outlooks.get(server.endpoint)
    return RouteRow(
        server=server.server_id,
        endpoint=server.endpoint,
        data_centre=server.data_centre,
        software_version=server.software_version,
        chance=_round(chances.get(server.endpoint, 0)),
        cost=_round_known(verdict.cost),
        **_describe_outlook(outlook),
        waiting_count=estimate.waiting_count,
        running_count=max(estimate.request_count - estimate.waiting_count, 0),
        memory_used_ratio=_find_memory_ratio(estimate),
        share=_round_known(scheduling.shares.get(server.data_centre)),
        report_age_seconds=_round_known(estimate.report_age_seconds),
        pace_age_seconds=_round_known(
            scheduling.pace_ages_seconds.get(server.endpoint)
        ),
        excluded=verdict.exclusion or '',
    )


def _describe_outlook(outlook: EngineOutlook | None) -> dict[str, float | None]:
    return {
        name: None if outlook is None else _round(getattr(outlook, name))
        for name in OUTLOOK_FIELDS
    }


def _find_memory_ratio(estimate: LoadEstimate) -> float | None:
    capacity = estimate.memory_capacity_tokens
    return _round(estimate.memory_tokens / capacity) if capacity else None


def _round_known(number: float | None) -> float | None:
    return None if number is None else _round(number)


def _round(number: float) -> float:
    return round(number, DIGIT_COUNT)
