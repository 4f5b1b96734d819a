"""Builders of links to agents that keep the origins of streams."""

from dataclasses import replace
from unittest.mock import Mock

from tests.forwarding_builders import (
    ENGINE_SERVICE,
    build_request,
    build_route,
    build_server,
)
from wasabistream.continuations.origin_exchanges import OriginExchange
from wasabistream.continuations.origin_keepers import OriginKeeper
from wasabistream.continuations.origin_messages import (
    ORIGINS_VERSION,
    StreamOriginQuery,
    StreamOriginRecord,
    StreamOriginReply,
)
from wasabistream.continuations.origin_tables import build_origin_key
from wasabistream.continuations.resume_decisions import ResumeClaim
from wasabistream.continuations.stream_origins import StreamOrigin
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.forwarding.routes import RouteKind
from wasabistream.messages import Message

FIRST_ID = 'request-1'
KEY = build_origin_key('org', FIRST_ID)
ORIGIN = StreamOrigin(ENGINE_SERVICE, 'v1')
OTHER_ORIGIN = StreamOrigin(ENGINE_SERVICE, 'v2')
CLAIM = ResumeClaim(FIRST_ID, has_event_id=True)
RESUMABLE_ROUTE = build_route(
    RouteKind.streaming, resumable=True, service=ENGINE_SERVICE
)


class FakeAgent:
    """An agent, and the link of an entry to it."""

    def __init__(self, exchange: OriginExchange, server: BackendServer) -> None:
        self.endpoint = server.endpoint
        self.keeper = OriginKeeper()
        self.received: list[Message] = []
        # Whether it answers queries.
        self.is_answering = True
        # The link of the newest entry.
        self.peer = Mock(version_max=ORIGINS_VERSION)
        self._exchange = exchange

    def link_to(self, exchange: OriginExchange) -> None:
        """Open the link of another entry."""
        self._exchange = exchange
        exchange.on_opened(self.endpoint, self)  # type: ignore[arg-type]

    def restart(self) -> None:
        """Lose all records and be linked again."""
        self.close()
        self.keeper = OriginKeeper()
        self.received.clear()
        self.link_to(self._exchange)

    def close(self) -> None:
        """End the link."""
        self._exchange.on_closed(self.endpoint, self)  # type: ignore[arg-type]

    def send(self, notice: Message) -> None:
        """Handle a message of the entry."""
        self.received.append(notice)
        match notice:
            case StreamOriginRecord():
                self.keeper.record(notice)
            case StreamOriginQuery() if self.is_answering:
                self.reply(self.keeper.answer(notice))

    def reply(self, reply: StreamOriginReply) -> None:
        """Send a reply to the entry."""
        self._exchange.on_reply(self.endpoint, reply)


def build_engines(
    count: int, data_centres: tuple[str, ...] = ('dc-a', 'dc-b', 'dc-c')
) -> list[BackendServer]:
    """Return engines that are spread over data centres."""
    return [
        build_server(
            number + 1,
            service=ENGINE_SERVICE,
            data_centre=data_centres[number % len(data_centres)],
        )
        for number in range(count)
    ]


def build_agents(
    exchange: OriginExchange, engines: list[BackendServer]
) -> list[FakeAgent]:
    """List engines at an entry and link it to their agents."""
    exchange.on_fleet_changed(engines)
    agents = [FakeAgent(exchange, server) for server in engines]
    for agent in agents:
        agent.link_to(exchange)
    return agents


def build_resume_request(
    claim: ResumeClaim | None = CLAIM, request_id: str = 'request-2'
) -> ForwardRequest:
    """Return a request that resumes a stream."""
    request = build_request(RESUMABLE_ROUTE, request_id)
    return replace(request, resume_claim=claim)
