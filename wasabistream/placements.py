"""Placement of models on the engines of a data centre."""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from wasabistream.digests import hash64
from wasabistream.documents import Document
from wasabistream.models import Model

MIN_WEIGHT = 1e-9


@dataclass(frozen=True)
class Assignment:
    """Hold what one engine is to serve."""

    model: str
    version: str
    adapters: tuple[str, ...] = ()
    # Empty when the document leaves the role to the engine.
    role: str = ''


def assign_models(
    document: Document, data_centre: str, agent_ids: Sequence[str]
) -> Mapping[str, Assignment]:
    """Assign a model to each engine; the same everywhere for the same input.

    An engine keeps its assignment when others come or go, unless the share
    of its model changes.
    """
    models = [
        model for model in document.models if data_centre in model.data_centres
    ]
    free = set(agent_ids)
    placed: dict[str, Assignment] = {}
    counts = compute_replica_counts(models, len(free))
    for model in sorted(models, key=lambda item: item.name):
        chosen = _ranked(model, free)[: counts[model.name]]
        free -= set(chosen)
        for number, agent_id in enumerate(chosen):
            placed[agent_id] = Assignment(
                model.name,
                model.version_in(data_centre),
                model.adapters,
                _role_of(model, number, len(chosen)),
            )
    return placed


def compute_replica_counts(
    models: Sequence[Model], count: int
) -> dict[str, int]:
    """Divide engines by weight, after each model has its minimum."""
    counts = {model.name: 0 for model in models}
    for _ in range(count if models else 0):
        counts[min(_needs(models, counts))[-1]] += 1
    return counts


def _needs(
    models: Sequence[Model], counts: Mapping[str, int]
) -> list[tuple[bool, float, str]]:
    # The model furthest below its minimum or its share comes first.
    return [
        (
            counts[model.name] >= max(model.min_replica_count, 1),
            (counts[model.name] + 1) / max(model.weight, MIN_WEIGHT),
            model.name,
        )
        for model in models
    ]


def _ranked(model: Model, agent_ids: Collection[str]) -> list[str]:
    return sorted(agent_ids, key=lambda agent_id: hash64(model.name, agent_id))


def _role_of(model: Model, number: int, count: int) -> str:
    total = sum(share.weight for share in model.roles)
    if not total:
        return ''
    position = (number + 0.5) / count * total
    for share in model.roles:
        position -= share.weight
        if position < 0:
            return share.role
    return model.roles[-1].role
