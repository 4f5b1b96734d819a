"""Requests of callers that are forwarded unchanged."""

from dataclasses import dataclass

from wasabistream.forwarding.routes import Route
from wasabistream.retries import Deadline

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class GenerationDemand:
    """Hold what a generation needs of an engine."""

    prompt_tokens: int
    max_output_tokens: int
    # The caller's estimate of its output; often far off.
    hinted_output_tokens: int

    @property
    def expected_tokens(self) -> int:
        """Return the memory that the generation is expected to use."""
        output = self.hinted_output_tokens or self.max_output_tokens
        return self.prompt_tokens + min(output, self.max_output_tokens)


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Hold one request of a caller and what the configuration says of it."""

    request_id: str
    method: str
    # Path and query, byte for byte as the caller sent them.
    target: str
    # Headers that go on to the backend server.
    headers: Headers
    body: bytes
    deadline: Deadline
    route: Route
    # Version of the configuration that the request was decided with.
    version: int
    service: str
    organisation: str
    # 0 is the most urgent; the organisation's goes before the route's.
    priority: int
    demand: GenerationDemand | None
    # Equal for requests with the same caller, target and body.
    fingerprint: int


@dataclass(frozen=True, slots=True)
class Continuation:
    """Tell a backend server from which memory a generation goes on."""

    # Endpoint that the handle belongs to; empty to start a new generation.
    memory_endpoint: str
    handle: str
    # Id of the last whole event that the caller has; empty for none.
    last_event_id: str


@dataclass(frozen=True, slots=True)
class Reply:
    """Hold one whole answer to a caller."""

    status: int
    headers: Headers = ()
    body: bytes = b''
