"""Fakes of backend servers and callers."""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from wasabistream.exceptions import BackendError, NotRunError
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.interfaces import (
    AnswerHead,
    AttemptOptions,
    Cancellable,
)
from wasabistream.forwarding.requests import ForwardRequest, Headers, Reply


@dataclass
class FakeExchange:
    """An exchange that returns the given pieces, then ends or fails."""

    head: AnswerHead
    pieces: list[bytes]
    torn: bool = False
    closed: bool = False
    server_deadline_seconds: float = math.inf

    def read(self) -> bytes:
        """Return the next piece; raises BackendError if the answer is torn."""
        if self.pieces:
            return self.pieces.pop(0)
        if self.torn:
            raise BackendError('cut', 'body', 'fake')
        return b''

    def close(self) -> None:
        """Record that the exchange was closed."""
        self.closed = True


@dataclass(frozen=True)
class Sent:
    """Record one attempt that was sent."""

    server: BackendServer
    request: ForwardRequest
    options: AttemptOptions


class FakeClient:
    """A client that answers attempts in the order of a script."""

    def __init__(self, *script: FakeExchange | BackendError) -> None:
        self._script = deque(script)
        self.sent: list[Sent] = []

    def open(
        self,
        server: BackendServer,
        request: ForwardRequest,
        options: AttemptOptions,
        on_connected: Callable[[Cancellable], None],
    ) -> FakeExchange:
        """Return the next exchange of the script, or raise its next error."""
        self.sent.append(Sent(server, request, options))
        step = self._script.popleft()
        if isinstance(step, BackendError):
            raise step
        on_connected(step)
        return step

    @property
    def endpoints(self) -> list[str]:
        """Return the endpoints to which attempts were sent."""
        return [attempt.server.endpoint for attempt in self.sent]


@dataclass
class FakeCaller:
    """A caller that records what it receives."""

    replies: list[Reply] = field(default_factory=list)
    heads: list[int] = field(default_factory=list)
    body: bytes = b''
    aborted: bool = False
    disconnected: bool = False

    def reply(self, reply: Reply) -> None:
        """Record a complete answer."""
        self.replies.append(reply)

    def begin(self, status: int, headers: Headers) -> None:
        """Record the status of a stream."""
        self.heads.append(status)

    def write(self, piece: bytes) -> None:
        """Record a piece of a stream."""
        self.body += piece

    def abort(self) -> None:
        """Record that the connection was aborted."""
        self.aborted = True

    def has_left(self) -> bool:
        """Return whether the caller has left."""
        return self.disconnected


def whole(status: int = 200, body: bytes = b'answer') -> FakeExchange:
    """Return a complete, sealed answer."""
    return FakeExchange(_build_head(status), [body])


def torn(body: bytes = b'ans') -> FakeExchange:
    """Return an answer that breaks off."""
    return FakeExchange(_build_head(200), [body], torn=True)


def turned_away(status: int = 503) -> FakeExchange:
    """Return an answer that states that the request has not run."""
    return FakeExchange(_build_head(status, not_run=True), [b''])


def events(first: int, last: int) -> bytes:
    """Return the bytes of events with ids from first to last."""
    return b''.join(
        f'id: {number}\ndata: token {number}\n\n'.encode()
        for number in range(first, last + 1)
    )


def stream(*pieces: bytes, cut: bool = False) -> FakeExchange:
    """Return an event stream, cut at its end if requested."""
    return FakeExchange(
        _build_head(200, event_stream=True), list(pieces), torn=cut
    )


def not_run_error() -> NotRunError:
    """Return the error of a request that cannot have run."""
    return NotRunError('refused', 'connect', 'fake')


def no_answer() -> BackendError:
    """Return the error of a request that may have run."""
    return BackendError('reset', 'head', 'fake')


def _build_head(
    status: int, *, not_run: bool = False, event_stream: bool = False
) -> AnswerHead:
    return AnswerHead(
        status=status,
        headers=(('content-type', 'text/plain'),),
        sealed=True,
        not_run=not_run,
        event_stream=event_stream,
    )
