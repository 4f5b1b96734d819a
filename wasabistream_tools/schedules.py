"""Random schedules of requests, reproducible by their seed."""

import random
from dataclasses import dataclass

from wasabistream_tools.workloads import (
    RequestKind,
    Workload,
    WorkloadOrganisation,
)

CHARACTERS_PER_TOKEN = 4


@dataclass(frozen=True)
class PlannedRequest:
    """Hold one request and when it is due, counted from the run's start."""

    number: int
    at_seconds: float
    kind: RequestKind
    organisation: WorkloadOrganisation
    length_tokens: int
    # Makes the prompt or body unique; it is not the idempotency key.
    key: str

    @property
    def prompt(self) -> str:
        """Return a prompt of the kind's size.

        An engine stand-in reads from it how many tokens to generate.
        """
        text = f'{self.key} [[length={self.length_tokens}]] '
        return text.ljust(self.kind.prompt_tokens * CHARACTERS_PER_TOKEN, '.')


def draw_schedule(
    workload: Workload, load: float, seconds: float, seed: int
) -> list[PlannedRequest]:
    """Draw requests with exponential gaps (Poisson arrivals) for a load."""
    rng = random.Random(seed)
    rate = workload.requests_per_second(load)
    requests: list[PlannedRequest] = []
    at_seconds = rng.expovariate(rate)
    while at_seconds < seconds:
        kind = rng.choices(
            workload.request_kinds,
            [kind.request_weight for kind in workload.request_kinds],
        )[0]
        organisation = rng.choices(
            workload.organisations,
            [item.request_weight for item in workload.organisations],
        )[0]
        number = len(requests)
        requests.append(
            PlannedRequest(
                number,
                at_seconds,
                kind,
                organisation,
                kind.output_lengths.draw(rng),
                f'{workload.name}-{seed}-{load}-{number}',
            )
        )
        at_seconds += rng.expovariate(rate)
    return requests
