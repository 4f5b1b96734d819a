"""Prompts in flight to an engine, as entries announce them to its agent."""

from collections.abc import Hashable
from dataclasses import dataclass

from wasabistream.forwarding.engine_states import EngineState
from wasabistream.scheduling.scheduling_messages import PromptNotice

# A prompt whose end was lost is removed after this time.
PROMPT_AGE_LIMIT_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class BacklogTokens:
    """Hold the tokens that announced and running generations will need."""

    backlog_tokens: int = 0
    reserved_tokens: int = 0
    growth_tokens: int = 0


@dataclass(frozen=True, slots=True)
class _AnnouncedPrompt:
    notice: PromptNotice
    announced_at_seconds: float


class PromptBacklog:
    """Hold announced prompts without events by link and request id."""

    def __init__(self) -> None:
        # In the order of their announcement.
        self._prompts: dict[tuple[Hashable, str], _AnnouncedPrompt] = {}
        # Open links over which a notice has come.
        self._links: set[Hashable] = set()

    @property
    def has_announcing_links(self) -> bool:
        """Return whether a notice has come over a link that is open."""
        return bool(self._links)

    def add(
        self, link: Hashable, notice: PromptNotice, now_seconds: float
    ) -> None:
        """Add an announced prompt; replaces an earlier notice of it."""
        self._links.add(link)
        key = link, notice.request_id
        self._prompts.pop(key, None)
        self._prompts[key] = _AnnouncedPrompt(notice, now_seconds)

    def end(self, link: Hashable, request_id: str) -> bool:
        """Remove a prompt; return whether it was there."""
        return self._prompts.pop((link, request_id), None) is not None

    def drop_link(self, link: Hashable) -> bool:
        """Remove all prompts of a closed link; return whether it had any."""
        self._links.discard(link)
        keys = [key for key in self._prompts if key[0] == link]
        for key in keys:
            self._prompts.pop(key)
        return bool(keys)

    def observe(self, state: EngineState, now_seconds: float) -> None:
        """Remove prompts that have events and those that are too old."""
        if not self._prompts:
            return
        started = {run.run_id for run in state.runs if run.event_count}
        oldest = now_seconds - PROMPT_AGE_LIMIT_SECONDS
        self._prompts = {
            key: prompt
            for key, prompt in self._prompts.items()
            if key[1] not in started and prompt.announced_at_seconds > oldest
        }

    def measure(
        self, state: EngineState, remaining_tokens: float
    ) -> BacklogTokens:
        """Return the tokens needed; all 0 while no linked entry announces.

        `remaining_tokens` is what each running generation is expected to grow.
        """
        if not self._links:
            return BacklogTokens()
        notices = [prompt.notice for prompt in self._prompts.values()]
        runs = [run for run in state.runs if run.event_count]
        prompt_memory_tokens = state.memory_used_tokens - sum(
            run.memory_tokens for run in runs
        )
        expected_tokens = sum(notice.expected_tokens for notice in notices)
        return BacklogTokens(
            sum(notice.prompt_tokens for notice in notices),
            max(expected_tokens - max(prompt_memory_tokens, 0), 0),
            round(remaining_tokens * len(runs)),
        )
