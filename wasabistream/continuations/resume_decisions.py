"""Decisions about streams that callers resume; no clock and no network."""

from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType

from wasabistream.continuations.stream_origins import StreamOrigin
from wasabistream.forwarding.routes import Route

# Time for agents to contradict the first one that knows the stream.
ANSWER_SECONDS = 0.05
# Time after the last question while no agent knows the stream: a refusal would
# cost its caller more than the wait for a busy agent.
FIRST_ANSWER_SECONDS = 0.15
# Longest wait for links to agents that are being made, and the most of the
# request's remaining time.
LINK_WAIT_SECONDS = 1.0
LINK_WAIT_RATIO = 0.25
# Most requests that wait for links at an entry; each occupies a thread.
MAX_LINK_WAITER_COUNT = 32


class ResumeRefusal(StrEnum):
    """State why a stream does not go on; the values name metrics."""

    malformed = 'resume_malformed'
    not_resumable = 'resume_not_resumable'
    unknown = 'resume_unknown'
    conflicting = 'resume_conflicting'
    not_on_route = 'resume_not_on_route'
    version_gone = 'resume_version_gone'
    incomplete = 'resume_incomplete'

    @property
    def text(self) -> str:
        """Return the reason for log lines."""
        return REFUSAL_TEXTS[self]

    @property
    def is_final(self) -> bool:
        """Return whether a later request would be refused as well."""
        return self is not ResumeRefusal.incomplete

    @property
    def rests_on_list(self) -> bool:
        """Return whether a later list could lead to another decision."""
        return self in LIST_REFUSALS


REFUSAL_TEXTS = MappingProxyType(
    {
        ResumeRefusal.malformed: 'it does not name the stream to resume',
        ResumeRefusal.not_resumable: 'its route cannot be resumed',
        ResumeRefusal.unknown: 'nobody knows what began its stream',
        ResumeRefusal.conflicting: 'several versions began its stream',
        ResumeRefusal.not_on_route: 'its stream is of another service',
        ResumeRefusal.version_gone: 'no server has the version of its stream',
        ResumeRefusal.incomplete: 'not all agents could be asked',
    }
)
LIST_REFUSALS = frozenset(
    (
        ResumeRefusal.unknown,
        ResumeRefusal.not_on_route,
        ResumeRefusal.version_gone,
    )
)


@dataclass(frozen=True, slots=True)
class ResumeClaim:
    """Hold what a caller states about the stream that it resumes."""

    # Id of the request that brought its first event; empty if it is missing,
    # repeated or malformed.
    first_request_id: str
    # Whether the id of its last event is stated once and reaches the server.
    has_event_id: bool


@dataclass(frozen=True, slots=True)
class OriginSearch:
    """Hold what an entry knows about the origin of a stream so far."""

    # All different origins that were found.
    origins: frozenset[StreamOrigin]
    # Agents that were asked and have not answered, and the time since the last
    # question.
    pending_count: int = 0
    asked_seconds: float = 0
    # Time since the origin was found first.
    found_seconds: float = 0
    # Whether links to agents are being made.
    is_linking: bool = False
    # Requests here that look for an origin, this included.
    search_count: int = 1
    waited_seconds: float = 0
    remaining_seconds: float = 0
    # Whether all agents have been asked, after the wait for links.
    is_wide: bool = False

    @property
    def link_wait_seconds(self) -> float:
        """Return how long to wait for links yet; 0 or less if not at all."""
        if self.search_count > MAX_LINK_WAITER_COUNT:
            return 0
        return self.longest_wait_seconds

    @property
    def answer_wait_seconds(self) -> float:
        """Return how long to wait for answers yet; 0 or less if not at all."""
        # Each new link is asked too, which must not put the decision off again
        # once the origin is known.
        left_seconds = (
            ANSWER_SECONDS - self.found_seconds
            if self.origins
            else FIRST_ANSWER_SECONDS - self.asked_seconds
        )
        if self.is_wide:
            return min(left_seconds, self.remaining_seconds)
        return min(left_seconds, self.longest_wait_seconds)

    @property
    def longest_wait_seconds(self) -> float:
        """Return how long to wait for anything yet; 0 or less if not at all."""
        # What is left shrinks while the request waits.
        total_seconds = self.remaining_seconds + self.waited_seconds
        limit_seconds = min(LINK_WAIT_SECONDS, total_seconds * LINK_WAIT_RATIO)
        return limit_seconds - self.waited_seconds


@dataclass(frozen=True, slots=True)
class ResumeDecision:
    """State where a stream goes on, why not, or when to decide again."""

    origin: StreamOrigin | None = None
    refusal: ResumeRefusal | None = None
    # Decide again after this time or with the next news.
    wait_seconds: float = 0


def check_claim(claim: ResumeClaim, route: Route) -> ResumeRefusal | None:
    """Return why a claim is refused without a search."""
    if not route.resumable:
        return ResumeRefusal.not_resumable
    if not claim.first_request_id or not claim.has_event_id:
        return ResumeRefusal.malformed
    return None


def decide_resume(search: OriginSearch, route: Route) -> ResumeDecision:
    """Decide on a stream by what was found about its origin.

    An origin that is not known for certain is never guessed: the versions
    that are listed now prove nothing about the one that began the stream.
    """
    if len(search.origins) > 1:
        return ResumeDecision(refusal=ResumeRefusal.conflicting)
    origin = next(iter(search.origins), None)
    if origin is not None and not origin.software_version:
        return ResumeDecision(refusal=ResumeRefusal.conflicting)
    wait_seconds = search.answer_wait_seconds
    if search.pending_count and wait_seconds > 0:
        return ResumeDecision(wait_seconds=wait_seconds)
    if origin is None:
        return _decide_unknown(search)
    if all(origin.service != goal.service for goal in route.destinations):
        return ResumeDecision(refusal=ResumeRefusal.not_on_route)
    return ResumeDecision(origin=origin)


def _decide_unknown(search: OriginSearch) -> ResumeDecision:
    if search.is_linking and search.link_wait_seconds > 0:
        return ResumeDecision(wait_seconds=search.link_wait_seconds)
    if search.is_linking or search.pending_count:
        return ResumeDecision(refusal=ResumeRefusal.incomplete)
    return ResumeDecision(refusal=ResumeRefusal.unknown)
