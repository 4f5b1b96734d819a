"""Organisations in the configuration document."""

from dataclasses import dataclass

from wasabistream.rules import (
    WORK_CLASSES,
    CredentialDigest,
    ModelName,
    Name,
    PositiveCount,
    Weight,
    WorkClass,
)


@dataclass(frozen=True)
class Organisation:
    """Describe one organisation, its credential and its limits."""

    name: Name
    credential_sha256: CredentialDigest
    priority_weight: Weight = 1
    models: tuple[ModelName, ...] = ()
    services: tuple[Name, ...] = ()
    default_class: WorkClass = 'normal'
    # Work classes that requests of the organisation may select.
    classes: tuple[WorkClass, ...] = WORK_CLASSES
    max_concurrent_count: PositiveCount = 10000
    max_output_tokens: PositiveCount = 1000000
