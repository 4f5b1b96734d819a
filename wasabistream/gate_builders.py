"""Builder of the gate of an agent from its settings."""

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
    """Build a gate; `open` admits everything, as the baselines do."""
    speeds = TokenGapMeter()
    full_count = settings.max_batch_count
    if settings.admission_policy == OPEN_POLICY:
        return Gate(
            OpenPolicy(),
            OpenRamp(speeds, full_count),
            OpenBatchLimit(speeds, full_count),
            speeds,
            start_job,
        )
    policy: AdmissionPolicy = GrowthPolicy(
        capacity_tokens, settings.memory_headroom_ratio
    )
    ramp = Ramp(
        speeds,
        settings.ramp_start_count,
        full_count,
        settings.normal_token_seconds,
    )
    return Gate(policy, ramp, BatchLimit(speeds, full_count), speeds, start_job)
