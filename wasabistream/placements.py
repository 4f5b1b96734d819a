"""Assignment of models to the engines of a data centre.

Every agent computes all assignments from the same inputs and applies its own.
"""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from wasabistream.digests import hash64
from wasabistream.documents import Document
from wasabistream.models import Model

# Avoids a division by zero for a model with weight 0.
MIN_WEIGHT = 1e-9


@dataclass(frozen=True)
class Assignment:
    """Hold the model, adapters and role that one engine is to serve."""

    model: str
    version: str
    adapters: tuple[str, ...] = ()
    # Empty if the document sets no roles; the engine then keeps its own.
    role: str = ''


def assign_models(
    document: Document, data_centre: str, agent_ids: Sequence[str]
) -> Mapping[str, Assignment]:
    """Assign a model to the engine of each agent.

    The result depends only on the document and the set of agents, so that all
    agents compute the same. Engines are ranked by hash for each model, so that
    few assignments change when an engine comes or goes.
    """
    models = [
        model for model in document.models if data_centre in model.data_centres
    ]
    unassigned = set(agent_ids)
    assignments: dict[str, Assignment] = {}
    counts = compute_replica_counts(models, len(unassigned))
    for model in sorted(models, key=lambda item: item.name):
        assigned_ids = _rank_agents(model, unassigned)[: counts[model.name]]
        unassigned -= set(assigned_ids)
        for number, agent_id in enumerate(assigned_ids):
            assignments[agent_id] = Assignment(
                model.name,
                model.version_in(data_centre),
                model.adapters,
                _choose_role(model, number, len(assigned_ids)),
            )
    return assignments


def compute_replica_counts(
    models: Sequence[Model], engine_count: int
) -> dict[str, int]:
    """Return the engine count of each model: its minimum, then by weight."""
    counts = {model.name: 0 for model in models}
    for _ in range(engine_count if models else 0):
        counts[min(_build_sort_keys(models, counts))[-1]] += 1
    return counts


def _build_sort_keys(
    models: Sequence[Model], counts: Mapping[str, int]
) -> list[tuple[bool, float, str]]:
    # The lowest key names the model that gets the next engine: models below
    # their minimum first, then the one with the fewest engines per weight.
    return [
        (
            counts[model.name] >= max(model.min_replica_count, 1),
            (counts[model.name] + 1) / max(model.weight, MIN_WEIGHT),
            model.name,
        )
        for model in models
    ]


def _rank_agents(model: Model, agent_ids: Collection[str]) -> list[str]:
    return sorted(agent_ids, key=lambda agent_id: hash64(model.name, agent_id))


def _choose_role(model: Model, number: int, replica_count: int) -> str:
    # The replicas in rank order are divided among the roles in proportion to
    # their weights.
    total_weight = sum(share.weight for share in model.roles)
    if not total_weight:
        return ''
    position = (number + 0.5) / replica_count * total_weight
    for share in model.roles:
        position -= share.weight
        if position < 0:
            return share.role
    return model.roles[-1].role
