"""Requests and replies that are forwarded unchanged."""

from dataclasses import dataclass

from wasabistream.continuations.resume_decisions import ResumeClaim
from wasabistream.continuations.stream_origins import StreamOrigin
from wasabistream.forwarding.routes import Route
from wasabistream.retries import Deadline

Headers = tuple[tuple[str, str], ...]

# Urgency of a request that is as urgent as its priority states.
PRIORITY_URGENCY = -1


@dataclass(frozen=True, slots=True)
class GenerationDemand:
    """Describe the tokens that a generation needs at an engine."""

    prompt_tokens: int
    max_output_tokens: int
    # The caller's estimate of the output; often inaccurate. 0 if not given.
    hinted_output_tokens: int

    @property
    def expected_tokens(self) -> int:
        """Return the expected memory use of the generation in tokens."""
        output = self.hinted_output_tokens or self.max_output_tokens
        return self.prompt_tokens + min(output, self.max_output_tokens)


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Hold a caller's request and the configuration that applies to it."""

    request_id: str
    method: str
    # Path and query, byte for byte as the caller sent them.
    target: str
    # Headers to pass on to the backend server.
    headers: Headers
    body: bytes
    deadline: Deadline
    route: Route
    # Version of the configuration with which the request was decoded.
    version: int
    service: str
    organisation: str
    # 0 is the most urgent; the organisation's overrides the route's.
    priority: int
    demand: GenerationDemand | None
    # Hash of caller, target and body; the same when a request is sent again.
    fingerprint: int
    # Ids of the parts of its prompt that other requests may share, in order.
    prompt_parts: tuple[str, ...] = ()
    # Order in which engines admit it, 0 first; PRIORITY_URGENCY stands for the
    # priority.
    urgency: int = PRIORITY_URGENCY
    # What began the stream that this request goes on with; None if it begins.
    origin: StreamOrigin | None = None
    # Of a caller that resumes a stream with the id of its last event.
    resume_claim: ResumeClaim | None = None

    @property
    def engine_urgency(self) -> int:
        """Return the urgency that engines are told."""
        if self.urgency == PRIORITY_URGENCY:
            return self.priority
        return self.urgency


@dataclass(frozen=True, slots=True)
class Continuation:
    """Describe where a backend server continues a stream."""

    # Endpoint of the engine that a generation moves away from and the handle
    # of its memory (KV cache) there. Both are empty if no memory is moved and
    # the request is sent again.
    memory_endpoint: str
    handle: str
    # Id of the last whole event that the caller has received; empty if none.
    last_event_id: str


@dataclass(frozen=True, slots=True)
class Reply:
    """Hold a complete answer to a caller."""

    status: int
    headers: Headers = ()
    body: bytes = b''
