"""Interfaces of the start queue to the rest of an entry."""

from collections.abc import Collection, Mapping, Sequence
from contextlib import AbstractContextManager, nullcontext
from typing import Protocol

from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.forwarding.supervisors import RequestWatch
from wasabistream.queueing.starts import DIRECT_START, Start
from wasabistream.scheduling.engine_outlooks import EngineOutlook


class StartGate(Protocol):
    """Hold deferrable requests back until they should start."""

    def wait_for_start(
        self, watch: RequestWatch
    ) -> AbstractContextManager[Start]:
        """Block until a request starts, is refused or ends.

        The block of the context spans the whole request.
        """


class DirectStarts:
    """Start each request at once."""

    def wait_for_start(
        self, watch: RequestWatch
    ) -> AbstractContextManager[Start]:
        """Return at once."""
        return nullcontext(DIRECT_START)


class OutlookSource(Protocol):
    """Predict requests on engines and select among them."""

    def predict_all(
        self, request: ForwardRequest, excluded: Collection[str] = ()
    ) -> list[EngineOutlook]:
        """Return the outlooks of all available engines; changes nothing."""

    def take_from(
        self, request: ForwardRequest, outlooks: Sequence[EngineOutlook]
    ) -> EngineOutlook | None:
        """Select an engine and count the request at its stated limit."""


class StartFleet(OutlookSource, Protocol):
    """Know the engines, the routes and the requests in progress."""

    def has_deferrable_routes(self, service: str) -> bool:
        """Return whether any route of a service is deferrable."""

    def is_deferrable(self, request: ForwardRequest) -> bool:
        """Return whether a request may start later than others."""

    def has_fresh_reports(self, service: str) -> bool:
        """Return whether the load of a service's engines is known."""

    def is_cold(self, server: BackendServer) -> bool:
        """Return whether the rate of requests to an engine is limited."""

    def live_entry_count(self) -> int:
        """Return the number of live entries, including this one."""

    def usable_engine_count(self, service: str) -> int:
        """Return the number of engines that may get new requests."""

    def capacity_tokens(self, service: str) -> int:
        """Return the memory of an engine; 0 if not known."""

    def running_tokens(self) -> Mapping[str, int]:
        """Return the expected tokens in progress here by organisation."""

    def add_sent_request(
        self, server: BackendServer, request: ForwardRequest
    ) -> None:
        """Count a request that is about to be sent at its engine's load."""

    def remove_sent_request(
        self, server: BackendServer, request: ForwardRequest
    ) -> None:
        """Remove a request that has ended, or was not sent."""
