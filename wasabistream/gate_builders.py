"""Builder of an agent's gate from its settings."""

from collections.abc import Callable

from wasabistream.admissions import (
    AdmissionPolicy,
    GrowthPolicy,
    OpenPolicy,
)
from wasabistream.batch_limits import BatchLimit, OpenBatchLimit
from wasabistream.gates import Gate
from wasabistream.jobs import GenerationJob
from wasabistream.ramps import OpenRamp, Ramp
from wasabistream.settings import AgentSettings
from wasabistream.token_gaps import TokenGapMeter

OPEN_POLICY = 'open'


def build_gate(
    settings: AgentSettings,
    capacity_tokens: int,
    start_job: Callable[[GenerationJob], None],
) -> Gate:
    """Build a gate; the policy `open` admits every job, as a baseline."""
    token_gaps = TokenGapMeter()
    full_count = settings.max_batch_count
    if settings.admission_policy == OPEN_POLICY:
        return Gate(
            OpenPolicy(),
            OpenRamp(token_gaps, full_count),
            OpenBatchLimit(token_gaps, full_count),
            token_gaps,
            start_job,
        )
    policy: AdmissionPolicy = GrowthPolicy(
        capacity_tokens, settings.memory_headroom_ratio
    )
    ramp = Ramp(
        token_gaps,
        settings.ramp_start_count,
        full_count,
        settings.normal_token_seconds,
    )
    return Gate(
        policy, ramp, BatchLimit(token_gaps, full_count), token_gaps, start_job
    )
