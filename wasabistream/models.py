"""Models in the configuration document."""

from dataclasses import dataclass, field

from wasabistream.rules import (
    Count,
    EngineRole,
    ModelName,
    Name,
    Weight,
)


@dataclass(frozen=True)
class RoleShare:
    """State the part of a model's engines that take one role."""

    role: EngineRole
    weight: Weight


@dataclass(frozen=True)
class Model:
    """Describe one model and where it is served."""

    name: ModelName
    version: Name
    data_centres: tuple[Name, ...]
    adapters: tuple[ModelName, ...] = ()
    min_replica_count: Count = 1
    # Share of the engines of a data centre, relative to the other models.
    weight: Weight = 1
    # Versions by data centre where they differ from `version`, as while a
    # roll-out is under way.
    version_by_data_centre: dict[Name, Name] = field(default_factory=dict)
    # Without role shares every engine of the model has the role `mixed`.
    roles: tuple[RoleShare, ...] = ()

    def version_in(self, data_centre: str) -> str:
        """Return the version that a data centre serves."""
        return self.version_by_data_centre.get(data_centre, self.version)
