"""Registry of the causes of requests that were not served in time."""

from collections import defaultdict
from collections.abc import Callable, Iterable
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


# Causes by the name of the module that defines them.
_causes: defaultdict[str, list[LossCause]] = defaultdict(list)


def loss_cause(
    name: str, *, avoidable: bool = True
) -> Callable[[Condition], Condition]:
    """Return a decorator that registers a cause after those of its module."""

    def register(condition: Condition) -> Condition:
        _causes[condition.__module__].append(
            LossCause(name, avoidable, condition)
        )
        return condition

    return register


def list_causes(module_names: Iterable[str]) -> list[LossCause]:
    """Return the causes of these modules, in order of precedence."""
    return [cause for name in module_names for cause in _causes[name]]
