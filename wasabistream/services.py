"""Plain services, which have no model engine, in the document."""

from dataclasses import dataclass

from wasabistream.rules import (
    HttpMethod,
    Name,
    PathPrefix,
    PositiveSeconds,
    Seconds,
)


@dataclass(frozen=True)
class CallRule:
    """Name calls of a service that may not be repeated."""

    method: HttpMethod
    path_prefix: PathPrefix


@dataclass(frozen=True)
class Service:
    """Describe one plain service."""

    name: Name
    non_repeatable: tuple[CallRule, ...] = ()
    retry_horizon_seconds: PositiveSeconds = 600
    settling_seconds: PositiveSeconds = 10
    clock_offset_seconds: Seconds = 1
    timeout_seconds: PositiveSeconds = 10
    # Time without a read of the VM list after which owners of keys stop unless
    # every agent on the list grants their lease. A first lease that no agent
    # knows of has to wait for this time and for earlier leases to end.
    list_hold_seconds: PositiveSeconds = 120

    def is_repeatable(self, method: str, path: str) -> bool:
        """Tell whether a call may run more than once."""
        return not any(
            rule.method.upper() == method and path.startswith(rule.path_prefix)
            for rule in self.non_repeatable
        )
