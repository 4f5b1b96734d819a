"""Builders of the reports of an agent on its backend server."""

from wasabistream.call_runners import CallRunner
from wasabistream.engines import EngineState
from wasabistream.gates import Gate
from wasabistream.notices import LoadReport, ServingReport


def build_service_serving_report(service: str, ready: bool) -> ServingReport:
    """Build the report of what the agent of a plain service serves."""
    return ServingReport(service, [], [], 'service', ready=ready)


def build_engine_serving_report(
    state: EngineState, ready: bool
) -> ServingReport:
    """Build the report of what the agent of an engine serves."""
    return ServingReport(
        '',
        list(state.models),
        list(state.adapters),
        state.role,
        ready=ready,
    )


def build_service_load_report(
    call_runner: CallRunner, call_limit_count: int, leaving: bool
) -> LoadReport:
    """Build a plain service's load report; memory fields count calls."""
    running_count = len(call_runner.calls_in_progress())
    return LoadReport(
        running_count,
        call_limit_count,
        running_count,
        0,
        call_limit_count,
        leaving,
    )


def build_engine_load_report(
    gate: Gate, state: EngineState, leaving: bool
) -> LoadReport:
    """Build the load report of an engine."""
    return LoadReport(
        memory_used_tokens=gate.memory_used_tokens(),
        memory_capacity_tokens=state.memory_capacity_tokens,
        running_count=gate.running_count,
        queued_count=gate.queued_count,
        ramp_limit_count=gate.effective_limit_count,
        leaving=leaving,
    )
