"""Orders that bring one engine to its assignment."""

from dataclasses import dataclass
from typing import Any

from wasabistream.engines import EngineState
from wasabistream.placements import Assignment


@dataclass(frozen=True)
class EngineOrder:
    """Name one step at one engine."""

    action: str
    subject: str
    version: str = ''

    @property
    def uses_weight_store(self) -> bool:
        """Tell whether the engine fetches weights for this order."""
        return self.action in {'load', 'load_adapter'}

    def body(self) -> dict[str, Any]:
        """Return the fields that the engine reads."""
        match self.action:
            case 'load':
                return {
                    'action': 'load',
                    'model': self.subject,
                    'version': self.version,
                }
            case 'load_adapter':
                return {'action': 'load_adapter', 'adapter': self.subject}
            case 'role':
                return {'action': 'role', 'role': self.subject}
        return {'action': self.action, 'model': self.subject}


def next_order(
    state: EngineState, assignment: Assignment
) -> EngineOrder | None:
    """Return the next step, or None at the goal.

    Weights are loaded before others are dropped, so an engine that fails to
    load still serves what it served.
    """
    if not _has_model(state, assignment):
        return EngineOrder('load', assignment.model, assignment.version)
    for adapter in assignment.adapters:
        if adapter not in state.adapters:
            return EngineOrder('load_adapter', adapter)
    if assignment.role not in {'', state.role}:
        return EngineOrder('role', assignment.role)
    for model in state.models:
        if model != assignment.model:
            return EngineOrder('unload', model)
    return None


def _has_model(state: EngineState, assignment: Assignment) -> bool:
    # An engine that reports no version is taken to serve the wanted one.
    known = state.versions.get(assignment.model, assignment.version)
    return assignment.model in state.models and known == assignment.version
