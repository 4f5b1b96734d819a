"""Registry of the causes of requests that were not served in time."""

from collections.abc import Callable
from dataclasses import dataclass

from wasabistream.inspection.loss_contexts import LossContext
from wasabistream.inspection.request_records import RequestRecord

Condition = Callable[[RequestRecord, LossContext], bool]


@dataclass(frozen=True, slots=True)
class LossCause:
    """Name one cause and tell which requests it applies to."""

    name: str
    # False if no system could have served the request.
    avoidable: bool
    applies: Condition


_causes: list[LossCause] = []


def loss_cause(
    name: str, *, avoidable: bool = True
) -> Callable[[Condition], Condition]:
    """Return a decorator that registers a cause after the earlier ones."""

    def register(condition: Condition) -> Condition:
        _causes.append(LossCause(name, avoidable, condition))
        return condition

    return register


def list_causes() -> tuple[LossCause, ...]:
    """Return the causes in order of precedence."""
    return tuple(_causes)
