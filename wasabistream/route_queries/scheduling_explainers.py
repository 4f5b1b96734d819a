"""What scheduling would do with a request, for an explanation."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.route_queries.answers import UNSCHEDULED, SchedulingView
from wasabistream.route_queries.server_verdicts import ServerVerdict
from wasabistream.scheduling.engine_outlooks import EngineOutlook
from wasabistream.scheduling.engine_selectors import selection_weights
from wasabistream.spillover.spillover_plans import SpilloverPlan


class OutlookSource(Protocol):
    """Predict a request on all engines that can start it in time."""

    def predict_all(self, request: ForwardRequest) -> list[EngineOutlook]:
        """Return the outlooks; changes nothing."""


class WaitExplainer(Protocol):
    """Know whether a request would wait for its start."""

    def find_wait_reason(
        self, request: ForwardRequest, outlooks: Sequence[EngineOutlook]
    ) -> str:
        """Return what it would wait for; empty if it would not wait."""


@dataclass(frozen=True)
class SchedulingExplainer:
    """Explain the selection of an engine for a scheduled service."""

    # Returns why a service is scheduled; empty if it is not.
    find_reason: Callable[[str], str]
    chooser: OutlookSource
    queue: WaitExplainer
    find_plan: Callable[[str], SpilloverPlan | None]
    # Returns the age of the speed of an engine.
    find_pace_age_seconds: Callable[[str], float | None]

    def explain(
        self, request: ForwardRequest, verdicts: Sequence[ServerVerdict]
    ) -> SchedulingView:
        """Return what the parts would do with a request; changes nothing."""
        reason = self.find_reason(request.service)
        if not reason or request.demand is None:
            return UNSCHEDULED
        outlooks = self.chooser.predict_all(request)
        weights = selection_weights(outlooks)
        total_weight = sum(weights) or 1
        plan = self.find_plan(request.service)
        pace_ages = {
            verdict.server.endpoint: self.find_pace_age_seconds(
                verdict.server.endpoint
            )
            for verdict in verdicts
        }
        return SchedulingView(
            scheduled=True,
            reason=reason,
            outlooks={outlook.server.endpoint: outlook for outlook in outlooks},
            chances={
                outlook.server.endpoint: weight / total_weight
                for outlook, weight in zip(outlooks, weights)
            },
            wait_reason=self.queue.find_wait_reason(request, outlooks),
            shares=plan.shares if plan else {},
            pace_ages_seconds={
                endpoint: age
                for endpoint, age in pace_ages.items()
                if age is not None
            },
        )
