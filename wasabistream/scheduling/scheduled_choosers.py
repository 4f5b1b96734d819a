"""Choice of engines for generations of scheduled services."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from wasabistream.forwarding.advisory_guards import AdvisoryGuard
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.cold_limiters import ColdLimiter
from wasabistream.forwarding.failure_rates import FailureRates
from wasabistream.forwarding.first_event_paces import MAX_DEADLINE_RATIO
from wasabistream.forwarding.load_trackers import LoadEstimate
from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.scheduling.engine_outlooks import EngineOutlook
from wasabistream.scheduling.engine_selectors import select_engine
from wasabistream.scheduling.predictions import (
    EngineSituation,
    predict,
    request_age_seconds,
)
from wasabistream.scheduling.scheduling_parts import SchedulingParts
from wasabistream.scheduling.urgent_headrooms import UrgentHeadroom

# Assumed memory of an engine whose agent has not reported.
DEFAULT_MEMORY_TOKENS = 32768


class ScheduledChooser:
    """Predict the loss at each available engine and sample one of them."""

    def __init__(
        self,
        failure_rates: FailureRates,
        cold: ColdLimiter,
        advisories: AdvisoryGuard,
        parts: SchedulingParts,
    ) -> None:
        self._failure_rates = failure_rates
        self._cold = cold
        self._advisories = advisories
        self._pace_source = parts.pace_source
        self._scheduled_services = parts.scheduled_services
        self._remote_losses = parts.remote_losses
        self._generator = parts.generator
        self._headroom = UrgentHeadroom()

    def applies(self, request: ForwardRequest) -> bool:
        """Return whether a request is a generation of a scheduled service."""
        return (
            request.demand is not None
            and self._scheduled_services is not None
            and self._scheduled_services.is_scheduled(request.service)
        )

    def predict(
        self,
        request: ForwardRequest,
        available: Mapping[BackendServer, LoadEstimate],
        data_centre_counts: Mapping[str, int] | None = None,
    ) -> list[EngineOutlook]:
        """Return what happens at each of these engines.

        `data_centre_counts` are the candidates of each data centre; without
        them, these engines are all candidates.
        """
        if self._scheduled_services is None or request.demand is None:
            return []
        data_centres = Counter(server.data_centre for server in available)
        candidate_counts = data_centre_counts or data_centres
        remote_losses = {
            data_centre: self._remote_losses.remote_loss(request, data_centre)
            for data_centre in data_centres
        }
        age_seconds = request_age_seconds(request)
        headroom_tokens = self._headroom.find_tokens(request)
        has_reports = any(
            estimate.report_age_seconds is not None
            for estimate in available.values()
        )
        median_pace = self._scheduled_services.median_pace(request.service)
        return [
            predict(
                request,
                age_seconds,
                EngineSituation(
                    server=server,
                    estimate=estimate,
                    pace=self._pace_source.pace(server.endpoint),
                    is_cold=self._cold.is_cold(server),
                    failure_rate=self._failure_rates.rate(server.endpoint),
                    is_sole_server=(
                        candidate_counts.get(server.data_centre) == 1
                    ),
                    remote_loss=remote_losses[server.data_centre],
                    headroom_tokens=headroom_tokens,
                    is_silent=(
                        has_reports and estimate.report_age_seconds is None
                    ),
                ),
                median_pace,
                DEFAULT_MEMORY_TOKENS,
            )
            for server, estimate in available.items()
        ]

    def select(self, outlooks: Sequence[EngineOutlook]) -> EngineOutlook | None:
        """Return a randomly chosen engine, or None if there are none."""
        return select_engine(outlooks, self._generator)

    def take_from(
        self, request: ForwardRequest, outlooks: Iterable[EngineOutlook]
    ) -> EngineOutlook | None:
        """Sample an engine and count the request at its stated limit.

        Skips engines that do not take the request, as other requests may have
        used their limits meanwhile.
        """
        remaining = list(outlooks)
        while True:
            selected = self.select(remaining)
            if selected is None:
                return None
            if self._advisories.try_take(selected.server):
                self._remote_losses.record_dispatch(request, selected.server)
                self._headroom.record(request)
                return selected
            remaining.remove(selected)


def can_start_in_time(
    request: ForwardRequest, outlook: EngineOutlook, estimate: LoadEstimate
) -> bool:
    """Return whether a request can start before half of its deadline.

    Without a report, requests in progress cannot be told from those that wait.
    """
    if estimate.report_age_seconds is None:
        return True
    remaining_seconds = request.deadline.remaining_seconds
    limit_seconds = remaining_seconds * MAX_DEADLINE_RATIO
    return outlook.first_event_seconds <= limit_seconds
