"""Explanations by one entry, from the parts that select servers."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Protocol

from wasabistream.continuations.stream_origins import StreamOrigin
from wasabistream.exceptions import RequestError
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.configurations import RoutingConfiguration
from wasabistream.forwarding.fleets import FleetHolder
from wasabistream.forwarding.refusals import REFUSAL_TEXTS, name_refusal
from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.route_queries.answers import (
    UNSCHEDULED,
    RouteAnswer,
    SchedulingView,
    build_answer,
)
from wasabistream.route_queries.queries import SelectionQuery
from wasabistream.route_queries.server_verdicts import ServerVerdict

NOT_READY_STATUS = 503

# Returns the request that a query describes; raises RequestError.
DecodeQuery = Callable[[RoutingConfiguration, SelectionQuery], ForwardRequest]
# Returns what scheduling says about a request and the verdicts on its servers.
PredictAll = Callable[[ForwardRequest, Sequence[ServerVerdict]], SchedulingView]


class Chooser(Protocol):
    """Explain a selection."""

    def explain(self, request: ForwardRequest) -> list[ServerVerdict]:
        """Return each server of the service with its cost or its exclusion."""


class Gate(Protocol):
    """Admit requests while an entry drains."""

    def admits(self, request: ForwardRequest) -> bool:
        """Return whether a request is admitted."""


class PartBans(Protocol):
    """Know the banned parts of prompts."""

    def is_banned(self, parts: Iterable[str]) -> bool:
        """Return whether any of the parts is banned."""


class Advisories(Protocol):
    """Know when servers take requests again."""

    def wait_seconds(self, servers: Iterable[BackendServer]) -> float:
        """Return the time until the first of these servers takes a request."""


@dataclass(frozen=True)
class SelectionParts:
    """Hold the parts of an entry that decide where a request goes."""

    fleet: FleetHolder
    gate: Gate
    part_bans: PartBans
    chooser: Chooser
    advisories: Advisories
    # None while no service is scheduled.
    predict_all: PredictAll | None = None


class SelectionExplainer:
    """Explain what this entry would do with a request; changes nothing.

    The steps are those of a request that arrives: decoding, drain gate, bans
    of prompt parts, choice of a server.
    """

    def __init__(
        self,
        process_id: str,
        parts: SelectionParts,
        decode_query: DecodeQuery,
    ) -> None:
        self._process_id = process_id
        self._parts = parts
        self._decode_query = decode_query

    def explain(self, query: SelectionQuery) -> RouteAnswer:
        """Return the answer to a query; raises RequestError."""
        configuration = self._parts.fleet.current.configuration
        if configuration is None:
            raise RequestError(
                'this entry has no configuration yet',
                NOT_READY_STATUS,
                'configuration',
            )
        request = self._decode_query(configuration, query)
        if query.software_version:
            origin = StreamOrigin(request.service, query.software_version)
            request = replace(request, origin=origin)
        verdicts = self._parts.chooser.explain(request)
        scheduling = UNSCHEDULED
        if self._parts.predict_all is not None:
            scheduling = self._parts.predict_all(request, verdicts)
        return build_answer(
            self._process_id,
            request,
            verdicts,
            self._find_refusal(request, verdicts),
            scheduling,
        )

    def _find_refusal(
        self, request: ForwardRequest, verdicts: Sequence[ServerVerdict]
    ) -> str:
        if not self._parts.gate.admits(request):
            return 'this entry shuts down'
        # A real request may run all the same, as the trial of the ban.
        if self._parts.part_bans.is_banned(request.prompt_parts):
            return 'a part of its prompt crashes servers, unless it is a trial'
        if any(verdict.exclusion is None for verdict in verdicts):
            return ''
        fleet = self._parts.fleet.current
        usable = fleet.usable_servers(request.service)
        wait_seconds = self._parts.advisories.wait_seconds(usable)
        return REFUSAL_TEXTS[name_refusal(wait_seconds)]
