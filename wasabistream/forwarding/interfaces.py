"""What the decisions need of the outside."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.requests import (
    Continuation,
    ForwardRequest,
    Headers,
    Reply,
)


@dataclass(frozen=True, slots=True)
class ServerAnswer:
    """Hold the head of a backend server's answer."""

    status: int
    # Headers that go back to the caller.
    headers: Headers
    # Whether the backend server signed the answer.
    signed: bool
    # Whether the backend server states that it has not run the request.
    not_run: bool
    event_stream: bool

    @property
    def succeeded(self) -> bool:
        """Tell whether the answer is a success of the backend server."""
        return 200 <= self.status < 300


class ServerExchange(Protocol):
    """One request at a backend server and its answer."""

    answer: ServerAnswer

    def read(self) -> bytes:
        """Return bytes of the body, or none at its proper end.

        Raises BackendError when the answer breaks off.
        """

    def close(self) -> None:
        """End the exchange; a backend server stops work on it."""


class Cancellable(Protocol):
    """Something that another thread may end."""

    def close(self) -> None:
        """End it."""


@dataclass(frozen=True, slots=True)
class AttemptOptions:
    """Hold how one attempt is sent."""

    timeout_seconds: float
    continuation: Continuation | None = None


class ServerClient(Protocol):
    """Send requests to backend servers."""

    def open(
        self,
        server: BackendServer,
        request: ForwardRequest,
        options: AttemptOptions,
        on_connected: Callable[[Cancellable], None],
    ) -> ServerExchange:
        """Send a request and read the head of its answer.

        `on_connected` gets what ends the wait early. Raises NotSentError
        when the request can not have run, and BackendError when it may have.
        """


class Caller(Protocol):
    """The caller's side of one request."""

    def reply(self, reply: Reply) -> None:
        """Send one whole answer."""

    def begin(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose body follows."""

    def write(self, piece: bytes) -> None:
        """Send a piece of the body; raises OSError when the caller left."""

    def abort(self) -> None:
        """End the connection, so that the answer does not look complete."""

    def has_left(self) -> bool:
        """Tell whether the caller has closed its connection."""
