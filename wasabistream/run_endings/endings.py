"""How a run ended, by what its agent or its engine states."""

from dataclasses import dataclass
from enum import StrEnum

from wasabistream.forwarding.engine_states import EngineState


class RunEnding(StrEnum):
    """State how a run ended; the values travel in messages and logs."""

    # By itself.
    complete = 'complete'
    # By order of its agent, which moves it to another engine.
    stopped = 'stopped'
    # With its engine or its connection.
    interrupted = 'interrupted'
    # Neither its agent nor its engine can tell.
    unknown = 'unknown'


@dataclass(frozen=True, slots=True)
class EndedRun:
    """Describe a run whose connection has ended."""

    run_id: str
    # Time since it was sent to its engine.
    age_seconds: float
    # Start of its engine as listed; 0 where the list does not state it.
    engine_started_unix_ms: int = 0
    # Whether the agent was asked to move it, as its events did not arrive.
    was_reported_silent: bool = False
    # Whether the agent was told to stop it, for which it awaits no reply.
    was_given_up: bool = False
    # Handles of the memory from which its stream went on before.
    used_handles: tuple[str, ...] = ()


def judge_by_engine(run: EndedRun, state: EngineState) -> RunEnding:
    """Return how a run ended by the state of its engine after the end.

    To be used where no agent answers. An agent stops runs of an engine that
    leaves, and those that were reported to it as silent.
    """
    if _is_other_start(run, state) or lists_run(state, run.run_id):
        return RunEnding.interrupted
    if state.leaving or run.was_reported_silent:
        return RunEnding.unknown
    return RunEnding.complete


def lists_run(state: EngineState, run_id: str) -> bool:
    """Return whether an engine still works on a run."""
    return any(run.run_id == run_id for run in state.runs)


def _is_other_start(run: EndedRun, state: EngineState) -> bool:
    starts = {run.engine_started_unix_ms, state.started_unix_ms} - {0}
    return len(starts) > 1
