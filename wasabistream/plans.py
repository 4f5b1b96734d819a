"""Plan of the model loads, moves and drains that a new document causes."""

import math
from collections.abc import Iterator
from dataclasses import dataclass

from wasabistream.documents import Document
from wasabistream.models import Model
from wasabistream.vms import Role, VmList, VmState


@dataclass(frozen=True)
class ModelPlan:
    """State how the replicas of a model in a data centre change."""

    data_centre: str
    model: str
    version_before: str
    version_after: str
    replicas_before: int
    replicas_after: int
    load_count: int

    @property
    def kept_count(self) -> int:
        """Return the number of replicas that need no load."""
        return self.replicas_after - self.load_count


@dataclass(frozen=True)
class DataCentrePlan:
    """State how the engines of a data centre change.

    A move takes one engine from a model to another; a drain takes an engine
    out of service. `kept_percent` compares the replicas that need no load
    with the engines before.
    """

    data_centre: str
    engines_before: int
    engines_after: int
    load_count: int
    move_count: int
    drain_count: int
    kept_percent: float


@dataclass(frozen=True)
class Plan:
    """Hold the effect of a change of document, and the time of all loads."""

    data_centres: tuple[DataCentrePlan, ...]
    models: tuple[ModelPlan, ...]
    load_seconds: float


def make_plan(before: Document, after: Document, vm_list: VmList) -> Plan:
    """Compute the effect of a change of document on the listed VMs."""
    names = sorted(
        {
            *(item.name for item in before.data_centres),
            *(item.name for item in after.data_centres),
            *(vm.data_centre for vm in vm_list.vms),
        }
    )
    models: list[ModelPlan] = []
    data_centres: list[DataCentrePlan] = []
    for name in names:
        engines_before = engine_ids(before, vm_list, name)
        engines_after = engine_ids(after, vm_list, name)
        planned = list(
            _plan_models(
                name,
                (before, len(engines_before)),
                (after, len(engines_after)),
            )
        )
        models.extend(planned)
        data_centres.append(
            _plan_data_centre(name, engines_before, engines_after, planned)
        )
    load_count = sum(item.load_count for item in data_centres)
    return Plan(
        tuple(data_centres),
        tuple(models),
        60 * load_count / after.weight_loads_per_minute,
    )


def engine_ids(
    document: Document, vm_list: VmList, data_centre: str
) -> frozenset[str]:
    """Return the ids of the engines of a data centre that may get work."""
    if not document.is_data_centre_in_service(data_centre):
        return frozenset()
    engines = {
        vm.id
        for vm in vm_list.vms
        if vm.role == Role.agent
        and not vm.service
        and vm.data_centre == data_centre
        and vm.state == VmState.live
    }
    return frozenset(engines.difference(document.backend_servers_out))


def share_engines(models: list[Model], engine_count: int) -> dict[str, int]:
    """Divide engines among models by weight; returns replica counts by model.

    The minimum counts are allotted first; the engines that rounding leaves
    over go to the largest remainders.
    """
    counts: dict[str, int] = {}
    remaining_count = engine_count
    for model in models:
        counts[model.name] = min(model.min_replica_count, remaining_count)
        remaining_count -= counts[model.name]
    total_weight = sum(item.weight for item in models)
    extra_shares = {
        item.name: max(
            0, engine_count * item.weight / total_weight - counts[item.name]
        )
        for item in models
    }
    total_extra_share = sum(extra_shares.values())
    if not total_extra_share:
        return counts
    shares = {
        name: remaining_count * extra_share / total_extra_share
        for name, extra_share in extra_shares.items()
    }
    by_remainder = sorted(
        shares, key=lambda name: (math.floor(shares[name]) - shares[name], name)
    )
    for name, share in shares.items():
        counts[name] += math.floor(share)
    for name in by_remainder[: engine_count - sum(counts.values())]:
        counts[name] += 1
    return counts


def _plan_models(
    data_centre: str, before: tuple[Document, int], after: tuple[Document, int]
) -> Iterator[ModelPlan]:
    versions_before, counts_before = _allocate_replicas(data_centre, *before)
    versions_after, counts_after = _allocate_replicas(data_centre, *after)
    for name in sorted({*versions_before, *versions_after}):
        count_before, count_after = (
            counts_before.get(name, 0),
            counts_after.get(name, 0),
        )
        version_before = versions_before.get(name, '')
        version_after = versions_after.get(name, '')
        same_version = version_before == version_after
        load_count = (
            max(0, count_after - count_before) if same_version else count_after
        )
        yield ModelPlan(
            data_centre,
            name,
            version_before,
            version_after,
            count_before,
            count_after,
            load_count,
        )


def _allocate_replicas(
    data_centre: str, document: Document, engine_count: int
) -> tuple[dict[str, str], dict[str, int]]:
    models = [
        model for model in document.models if data_centre in model.data_centres
    ]
    versions = {model.name: model.version_in(data_centre) for model in models}
    return versions, share_engines(models, engine_count)


def _plan_data_centre(
    name: str,
    before: frozenset[str],
    after: frozenset[str],
    planned: list[ModelPlan],
) -> DataCentrePlan:
    gains = sum(
        max(0, item.replicas_after - item.replicas_before) for item in planned
    )
    losses = sum(
        max(0, item.replicas_before - item.replicas_after) for item in planned
    )
    kept_count = sum(item.kept_count for item in planned)
    kept_percent = 100 * kept_count / len(before) if before else 0
    return DataCentrePlan(
        data_centre=name,
        engines_before=len(before),
        engines_after=len(after),
        load_count=sum(item.load_count for item in planned),
        move_count=min(gains, losses),
        drain_count=len(before - after),
        kept_percent=round(min(kept_percent, 100), 1),
    )
