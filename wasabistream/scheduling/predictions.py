"""Prediction of what a request causes at one engine."""

import math
from dataclasses import dataclass

from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.load_trackers import LoadEstimate
from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.paces.engine_paces import UNKNOWN_PACE, EnginePace
from wasabistream.scheduling.engine_outlooks import EngineOutlook
from wasabistream.scheduling.urgent_headrooms import MAX_HEADROOM_RATIO

# Assumed speed where neither the engine nor its service has a known one.
DEFAULT_PROMPT_TOKENS_PER_SECOND = 7000.0
DEFAULT_EVENT_SECONDS = 0.03
DEFAULT_PROMPT_EVENT_SECONDS = 0.06
DEFAULT_PROMPTS_PER_SECOND = 1.0
DEFAULT_OUTPUT_TOKENS_PER_SECOND = 100.0
# Part of its speed with which a cold engine prefills.
COLD_SPEED_RATIO = 0.5
# Uncertainty of the predicted time, as a part of it and at least in seconds:
# long waits depend on more that the entry does not see.
LATE_SCALE_RATIO = 0.25
MIN_LATE_SCALE_SECONDS = 0.05
# Keeps the exponential function within the range of a float.
MAX_LATE_EXPONENT = 50.0
# Part of the target gap up to which a prefill pauses no stream for too long.
HARMLESS_GAP_RATIO = 0.2
# Maximum number of prefills beside a stream that are taken into account.
MAX_BESIDE_PROMPT_COUNT = 8.0
# Part of the running streams that a pause makes late: the others have paused
# before or end soon.
DISTURBED_RATIO = 0.5
# Lost requests for each missing part of the memory, as a multiple of the
# capacity; an excess of a quarter loses the request or the one it preempts.
MEMORY_EXCESS_LOSS = 4.0
MAX_MEMORY_LOSS = 1.0
# Lost requests at a failure rate of 1: the request and its repetition.
FAILURE_LOSS = 2.0
# Lost requests for each generation at the only engine of a data centre, as its
# generations take longer to move when it leaves.
SOLE_SERVER_LOSS = 0.02
# Lost requests at an engine whose agent is silent. While the store is away, the
# list still has engines that have left, and they look idle.
SILENT_AGENT_LOSS = 0.5
# Lost requests at full memory. Breaks ties in favour of free memory.
MEMORY_USE_LOSS = 0.05


@dataclass(frozen=True, slots=True)
class EngineSituation:
    """Hold what an entry knows about one engine."""

    server: BackendServer
    estimate: LoadEstimate
    pace: EnginePace
    is_cold: bool
    # From 0 to 1.
    failure_rate: float
    # Whether it is the only candidate of its data centre.
    is_sole_server: bool
    # Cost of its data centre, in lost requests.
    remote_loss: float
    # Memory that the request should leave free for more urgent ones.
    headroom_tokens: int = 0
    # Whether its agent has not reported recently, while others have.
    is_silent: bool = False


def request_age_seconds(request: ForwardRequest) -> float:
    """Return the time since the caller first asked, as far as it is known."""
    remaining_seconds = request.deadline.remaining_seconds
    return max(request.route.timeout_seconds - remaining_seconds, 0)


def predict(
    request: ForwardRequest,
    age_seconds: float,
    engine: EngineSituation,
    median_pace: EnginePace,
    default_memory_tokens: int,
) -> EngineOutlook:
    """Return what happens if a generation is sent to an engine now.

    `median_pace` is that of the service; `default_memory_tokens` is the assumed
    capacity of an engine whose agent has not reported. The request must have a
    demand.
    """
    demand = request.demand
    if demand is None:
        raise ValueError('request is no generation')
    estimate = engine.estimate
    first_event_seconds = _predict_first_event(
        demand.prompt_tokens, engine, median_pace
    )
    late_seconds = (
        age_seconds + first_event_seconds - request.route.target_latency_seconds
    )
    late_chance = _predict_late_chance(late_seconds, first_event_seconds)
    pause_chance = _predict_pause_chance(
        engine.pace.prompt_event_seconds
        or median_pace.prompt_event_seconds
        or DEFAULT_PROMPT_EVENT_SECONDS,
        request.route.target_gap_seconds,
    )
    own_pause_chance = _predict_own_pause_chance(
        pause_chance,
        engine.pace,
        # Callers may state any numbers.
        max(demand.expected_tokens - demand.prompt_tokens, 0),
    )
    disturbed_count = estimate.request_count * pause_chance * DISTURBED_RATIO
    capacity = estimate.memory_capacity_tokens or default_memory_tokens
    needed_tokens = (
        estimate.memory_tokens
        + estimate.reserved_tokens
        + estimate.growth_tokens
        + demand.expected_tokens
    )
    kept_tokens = needed_tokens + min(
        engine.headroom_tokens, int(capacity * MAX_HEADROOM_RATIO)
    )
    memory_excess_ratio = max(kept_tokens / capacity - 1, 0)
    return EngineOutlook(
        server=engine.server,
        first_event_seconds=first_event_seconds,
        late_chance=late_chance,
        own_pause_chance=own_pause_chance,
        disturbed_count=disturbed_count,
        memory_excess_ratio=memory_excess_ratio,
        remote_loss=engine.remote_loss,
        loss=late_chance
        + own_pause_chance
        + disturbed_count
        + min(MAX_MEMORY_LOSS, MEMORY_EXCESS_LOSS * memory_excess_ratio)
        + FAILURE_LOSS * engine.failure_rate
        + engine.remote_loss
        + SOLE_SERVER_LOSS * estimate.request_count * engine.is_sole_server
        + SILENT_AGENT_LOSS * engine.is_silent
        + MEMORY_USE_LOSS * estimate.memory_tokens / capacity,
        # What an engine with a silent agent has is not known.
        free_tokens=(
            -demand.expected_tokens
            if engine.is_silent
            else capacity - needed_tokens
        ),
    )


def count_backlog_tokens(
    estimate: LoadEstimate, pace: EnginePace, prompt_tokens: int
) -> int:
    """Return the prompt tokens that an engine prefills before a new prompt.

    Without announced prompts, each queued one is assumed to be as long as the
    new one. An agent that reports no pace may be of a version that takes no
    announcements: its backlog holds this entry's dispatches only.
    """
    queued_tokens = estimate.waiting_count * prompt_tokens
    if pace == UNKNOWN_PACE:
        return max(estimate.backlog_tokens, queued_tokens)
    return estimate.backlog_tokens or queued_tokens


def _predict_first_event(
    prompt_tokens: int, engine: EngineSituation, median_pace: EnginePace
) -> float:
    pace = engine.pace
    median_event_seconds = median_pace.event_seconds or DEFAULT_EVENT_SECONDS
    event_seconds = pace.event_seconds or median_event_seconds
    tokens_per_second = pace.prompt_tokens_per_second
    if not tokens_per_second:
        # An engine that produces events slowly also prefills slowly.
        median_tokens_per_second = (
            median_pace.prompt_tokens_per_second
            or DEFAULT_PROMPT_TOKENS_PER_SECOND
        )
        tokens_per_second = (
            median_tokens_per_second * median_event_seconds / event_seconds
        )
    if engine.is_cold:
        tokens_per_second *= COLD_SPEED_RATIO
    backlog_tokens = count_backlog_tokens(engine.estimate, pace, prompt_tokens)
    return (backlog_tokens + prompt_tokens) / tokens_per_second + event_seconds


def _predict_late_chance(
    late_seconds: float, first_event_seconds: float
) -> float:
    scale_seconds = max(
        MIN_LATE_SCALE_SECONDS, LATE_SCALE_RATIO * first_event_seconds
    )
    exponent = min(
        max(-late_seconds / scale_seconds, -MAX_LATE_EXPONENT),
        MAX_LATE_EXPONENT,
    )
    return 1 / (1 + math.exp(exponent))


def _predict_pause_chance(
    prompt_event_seconds: float, target_gap_seconds: float
) -> float:
    if not target_gap_seconds:
        return 0
    gap_ratio = prompt_event_seconds / target_gap_seconds
    ratio = (gap_ratio - HARMLESS_GAP_RATIO) / (1 - HARMLESS_GAP_RATIO)
    clamped = min(max(ratio, 0), 1)
    return clamped * clamped


def _predict_own_pause_chance(
    pause_chance: float, pace: EnginePace, output_tokens: int
) -> float:
    prompts_per_second = pace.prompts_per_second or DEFAULT_PROMPTS_PER_SECOND
    output_tokens_per_second = (
        pace.output_tokens_per_second or DEFAULT_OUTPUT_TOKENS_PER_SECOND
    )
    output_seconds = output_tokens / output_tokens_per_second
    prompt_count = min(
        prompts_per_second * output_seconds, MAX_BESIDE_PROMPT_COUNT
    )
    return 1 - math.pow(1 - pause_chance, prompt_count)
