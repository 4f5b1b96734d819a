"""Orders by which an agent makes its engine match its assignment."""

from dataclasses import dataclass
from typing import Any

from wasabistream.engines import EngineState
from wasabistream.placements import Assignment


@dataclass(frozen=True)
class EngineOrder:
    """Describe one command to an engine.

    `action` is load, load_adapter, role or unload; `subject` is the name of
    the model, adapter or role; only load has a version.
    """

    action: str
    subject: str
    version: str = ''

    @property
    def uses_weight_store(self) -> bool:
        """Tell whether the engine loads from the weight store for this order."""
        return self.action in {'load', 'load_adapter'}

    def body(self) -> dict[str, Any]:
        """Return the JSON fields of the order, without the fencing token."""
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
    """Return the next order, or None if the engine matches its assignment.

    The assigned model is loaded before others are unloaded, so that an engine
    that fails to load it goes on serving the models it had.
    """
    if not _serves_assigned_version(state, assignment):
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


def _serves_assigned_version(
    state: EngineState, assignment: Assignment
) -> bool:
    # An engine that reports no version is assumed to serve the assigned one.
    model_version = state.versions.get(assignment.model, assignment.version)
    return (
        assignment.model in state.models and model_version == assignment.version
    )
