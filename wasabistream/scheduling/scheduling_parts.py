"""Collaborators of the choice of engines for scheduled services."""

import random
from dataclasses import dataclass, field

from wasabistream.scheduling.interfaces import PaceSource, RemoteLosses
from wasabistream.scheduling.scheduled_services import ScheduledServices
from wasabistream.scheduling.unknown_sources import (
    NoRemoteLosses,
    UnknownPaces,
)


@dataclass(frozen=True)
class SchedulingParts:
    """Hold the collaborators; with the defaults no service is scheduled."""

    pace_source: PaceSource = field(default_factory=UnknownPaces)
    scheduled_services: ScheduledServices | None = None
    remote_losses: RemoteLosses = field(default_factory=NoRemoteLosses)
    generator: random.Random = field(default_factory=random.Random)


NOT_SCHEDULED = SchedulingParts()
