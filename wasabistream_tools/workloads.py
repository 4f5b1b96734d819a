"""Named workloads: what the load generator sends to which fleet."""

from dataclasses import dataclass, field
from functools import cached_property
from typing import Any

from wasabistream_tools.output_lengths import OutputLengthDistribution

GENERATION = 'generation'
LOOKUP = 'lookup'
BOOKING = 'booking'


@dataclass(frozen=True)
class RequestKind:
    """Describe one kind of request of a workload.

    Kinds are drawn in proportion to `request_weight`.
    """

    name: str
    request_weight: float
    action: str = GENERATION
    work_class: str = 'normal'
    output_lengths: OutputLengthDistribution = OutputLengthDistribution(30)
    prompt_tokens: int = 20
    deadline_seconds: float = 10


@dataclass(frozen=True)
class WorkloadOrganisation:
    """Describe one organisation that sends requests.

    Organisations are drawn in proportion to `request_weight`. Those whose
    requests wait share the engines in proportion to `priority_weight`.
    """

    name: str
    request_weight: float
    priority_weight: float = 1

    @property
    def credential(self) -> str:
        """Return the credential of the organisation."""
        return f'credential-{self.name}'


@dataclass(frozen=True)
class Workload:
    """Describe the requests of one workload and the fleet that serves it."""

    name: str
    request_kinds: tuple[RequestKind, ...]
    organisations: tuple[WorkloadOrganisation, ...]
    data_centres: tuple[str, ...]
    # Engines in all data centres together.
    engine_count: int
    model: str
    # Name of the service that takes both lookups and bookings.
    service: str
    # Output of all engines when saturated, as `measure_capacity` reports it.
    capacity_tokens_per_second: float
    # Backend servers of the service in all data centres together.
    service_backend_count: int = 3
    engine_options: dict[str, Any] = field(default_factory=dict)

    @cached_property
    def mean_output_tokens(self) -> float:
        """Return the mean output per request; calls to services count as 0."""
        total_weight = sum(kind.request_weight for kind in self.request_kinds)
        return (
            sum(
                kind.request_weight * kind.output_lengths.mean_tokens()
                for kind in self.request_kinds
                if kind.action == GENERATION
            )
            / total_weight
        )

    def requests_per_second(self, load: float) -> float:
        """Return the arrival rate whose output is `load` times the capacity."""
        return load * self.capacity_tokens_per_second / self.mean_output_tokens


def _build_organisations(prefix: str, large_count: int) -> tuple[Any, ...]:
    # A few large organisations send most of the requests.
    return tuple(
        WorkloadOrganisation(
            f'{prefix}-{number}',
            request_weight=6.0 if number <= large_count else 1.0,
            priority_weight=2.0 if number <= large_count else 1.0,
        )
        for number in range(1, 11)
    )


# Little memory and fast decoding: memory fills up within seconds while
# generations are in progress.
ENGINE_OPTIONS: dict[str, Any] = {
    'memory_tokens': 500,
    'token_seconds': 0.035,
    'prefill_tokens_per_second': 4000,
    # Running sequences above which steps get slower.
    'full_batch_count': 16,
}

WORKLOADS = {
    'saaf-dabba': Workload(
        name='saaf-dabba',
        request_kinds=(
            RequestKind('lookup', 0.25, LOOKUP, 'urgent'),
            RequestKind('booking', 0.1, BOOKING),
            RequestKind(
                'chat',
                0.5,
                work_class='urgent',
                output_lengths=OutputLengthDistribution(
                    12, 0.6, 0.06, 50, max_tokens=150
                ),
                prompt_tokens=12,
                deadline_seconds=5,
            ),
            RequestKind(
                'draft',
                0.15,
                work_class='patient',
                output_lengths=OutputLengthDistribution(
                    40, 0.8, 0.15, 75, max_tokens=225
                ),
                prompt_tokens=20,
                deadline_seconds=60,
            ),
        ),
        organisations=_build_organisations('kitchen', 3),
        data_centres=('lhr-gulberg', 'lhr-johar', 'rwp-saddar'),
        engine_count=6,
        model='assistant',
        service='booking',
        capacity_tokens_per_second=2110,
        engine_options=ENGINE_OPTIONS,
    ),
    'kutaisi': Workload(
        name='kutaisi',
        request_kinds=(
            RequestKind('stock', 0.15, LOOKUP, 'urgent'),
            RequestKind('reservation', 0.1, BOOKING),
            RequestKind(
                'catalogue',
                0.45,
                work_class='urgent',
                output_lengths=OutputLengthDistribution(
                    8, 0.5, 0.03, 50, max_tokens=150
                ),
                prompt_tokens=10,
                deadline_seconds=5,
            ),
            RequestKind(
                'guide',
                0.3,
                work_class='patient',
                output_lengths=OutputLengthDistribution(
                    45, 0.7, 0.2, 75, max_tokens=225
                ),
                prompt_tokens=20,
                deadline_seconds=60,
            ),
        ),
        organisations=_build_organisations('workshop', 2),
        data_centres=('imereti-a', 'imereti-b', 'imereti-c'),
        engine_count=7,
        model='drafter',
        service='order-desk',
        capacity_tokens_per_second=1770,
        engine_options=ENGINE_OPTIONS,
    ),
}
