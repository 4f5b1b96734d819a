"""Interfaces to backend servers and callers."""

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
from wasabistream.forwarding.server_advisories import ServerAdvisory


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Hold the head of a backend server's answer, without its body."""

    status: int
    # Headers to pass on to the caller.
    headers: Headers
    # Whether the answer has the seal header of a backend server. Only the
    # presence of the header is checked.
    sealed: bool
    # Whether the backend server states that it has not run the request.
    not_run: bool
    event_stream: bool
    # Whether the answer has neither a length nor chunks, so that only the end
    # of the connection ends it.
    ends_with_connection: bool = False
    # What the backend server states about itself; None if the answer is not
    # its own.
    advisory: ServerAdvisory | None = None

    @property
    def succeeded(self) -> bool:
        """Return whether the status is a success (2xx)."""
        return 200 <= self.status < 300


class ServerExchange(Protocol):
    """A request that was sent to a backend server, and its answer."""

    head: AnswerHead
    # When the backend server stops its work by the remaining time that it was
    # told, on the boot clock.
    server_deadline_seconds: float

    def read(self) -> bytes:
        """Return the next bytes of the body, or b'' at its end.

        Raises BackendError when the answer breaks off.
        """

    def close(self) -> None:
        """Close the connection, so that the backend server stops its work."""


class Cancellable(Protocol):
    """An operation that another thread may cancel."""

    def close(self) -> None:
        """Cancel the operation."""


@dataclass(frozen=True, slots=True)
class AttemptOptions:
    """Hold the timeout and continuation of one attempt."""

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

        `on_connected` receives an object that cancels the wait. Raises
        NotRunError when the request cannot have run, and BackendError when it
        may have.
        """


class Caller(Protocol):
    """The caller's side of one request."""

    def reply(self, reply: Reply) -> None:
        """Send a complete answer."""

    def begin(self, status: int, headers: Headers) -> None:
        """Send the status and headers of a streamed answer."""

    def write(self, piece: bytes) -> None:
        """Send a piece of the body; raises OSError if the caller has left."""

    def abort(self) -> None:
        """Close the connection without marking the answer as complete."""

    def has_left(self) -> bool:
        """Return whether the caller has closed its connection."""
