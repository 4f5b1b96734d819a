"""Schedules of requests, drawn from a seed."""

import random
from dataclasses import dataclass

from wasabistream_tools.workloads import (
    OrganisationShare,
    RequestKind,
    Workload,
)

CHARACTERS_PER_TOKEN = 4


@dataclass(frozen=True)
class PlannedRequest:
    """Hold one request before it is sent."""

    number: int
    at_seconds: float
    kind: RequestKind
    organisation: OrganisationShare
    length_tokens: int
    key: str

    @property
    def prompt(self) -> str:
        """Return a prompt of the kind's size that states the length."""
        text = f'{self.key} [[length={self.length_tokens}]] '
        return text.ljust(self.kind.prompt_tokens * CHARACTERS_PER_TOKEN, '.')


def make_schedule(
    workload: Workload, load: float, seconds: float, seed: int
) -> list[PlannedRequest]:
    """Return open-loop arrivals with exponential gaps."""
    source = random.Random(seed)
    rate = workload.requests_per_second(load)
    planned: list[PlannedRequest] = []
    at_seconds = source.expovariate(rate)
    while at_seconds < seconds:
        kind = source.choices(
            workload.kinds, [kind.share for kind in workload.kinds]
        )[0]
        organisation = source.choices(
            workload.organisations,
            [item.share for item in workload.organisations],
        )[0]
        number = len(planned)
        planned.append(
            PlannedRequest(
                number,
                at_seconds,
                kind,
                organisation,
                kind.lengths.draw(source),
                f'{workload.name}-{seed}-{load}-{number}',
            )
        )
        at_seconds += source.expovariate(rate)
    return planned
