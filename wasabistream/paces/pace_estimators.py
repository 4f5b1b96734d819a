"""Estimation of an engine's speed from its polled states."""

import math
from dataclasses import dataclass
from statistics import fmean

from wasabistream.forwarding.engine_states import EngineRun, EngineState
from wasabistream.paces.decaying_ratios import DecayingRatio
from wasabistream.paces.engine_paces import EnginePace

DECAY_SECONDS = 4.0
# Nothing is learned from an interval between polls that is longer than this.
MAX_INTERVAL_SECONDS = 0.5
# Time to observe before a value counts as known.
MIN_OBSERVED_SECONDS = 0.2
# As many generations do not end within one poll interval unless the engine
# restarts; fewer may.
RESTART_RUN_COUNT = 3
# Lower rates count as 0. On an idle engine the estimate falls for ever, and
# each tenth of it would be reported.
MIN_PROMPTS_PER_SECOND = 0.01
# Longer times between events are stated as this one. The estimate grows
# exponentially while a generation produces nothing, beyond what a message
# can carry after two minutes.
MAX_EVENT_SECONDS = 60.0
# Announced prompts are forgotten after this time.
PROMPT_AGE_LIMIT_SECONDS = 10.0
# An announced generation that ends earlier was turned away, not prefilled.
MIN_PREFILL_SECONDS = 0.05


@dataclass(slots=True)
class _Prompt:
    tokens: int
    announced_at_seconds: float
    # Whether its tokens have been added to those prefilled, or it has ended.
    is_done: bool = False


@dataclass(frozen=True, slots=True)
class _Poll:
    at_seconds: float
    # Generations with events, by id.
    runs: dict[str, EngineRun]
    # Generations of any state.
    run_count: int
    is_prefilling: bool


class PaceEstimator:
    """Estimate the speed of an engine as ratios of decaying sums."""

    def __init__(self) -> None:
        self._last: _Poll | None = None
        self._prompts: dict[str, _Prompt] = {}
        # Since the last poll.
        self._begun_count = 0
        self._prefilled_tokens = 0
        self._reset_ratios()

    def record_prompt(
        self, request_id: str, tokens: int, now_seconds: float
    ) -> None:
        """Record a prompt that was announced."""
        if self._prompts.pop(request_id, None) is None:
            self._begun_count += 1
        self._prompts[request_id] = _Prompt(tokens, now_seconds)

    def record_prompt_end(self, request_id: str, now_seconds: float) -> None:
        """Record that a prompt has its first event, or ended without one.

        A short generation may begin and end between two polls, so the end
        counts as a first event if the engine was prefilling long enough.
        """
        prompt = self._prompts.get(request_id)
        if prompt is None or prompt.is_done:
            return
        prompt.is_done = True
        prefill_seconds = now_seconds - prompt.announced_at_seconds
        if (
            self._last is not None
            and self._last.is_prefilling
            and prefill_seconds >= MIN_PREFILL_SECONDS
        ):
            self._prefilled_tokens += prompt.tokens

    def observe(self, state: EngineState, now_seconds: float) -> None:
        """Learn from the state of the engine at the time of a poll."""
        before = self._last
        after = _build_poll(state, now_seconds)
        self._last = after
        if before is not None:
            seconds = now_seconds - before.at_seconds
            is_gap = not 0 < seconds <= MAX_INTERVAL_SECONDS
            if _has_restarted(before, after, is_gap=is_gap):
                self._reset_ratios()
            elif not is_gap:
                self._decay(seconds)
                self._add_prompts(before, after, seconds)
                self._add_progress(before, after, seconds)
                if not state.leaving:
                    self._add_ended(before, after)
        self._begun_count = 0
        self._prefilled_tokens = 0
        self._finish_prompts(after)

    @property
    def pace(self) -> EnginePace:
        """Return the estimates; 0 for those that are not known."""
        prompts_per_second = self._prompt_count.ratio
        if prompts_per_second < MIN_PROMPTS_PER_SECOND:
            prompts_per_second = 0
        return EnginePace(
            event_seconds=min(self._plain_events.inverse, MAX_EVENT_SECONDS),
            prompt_event_seconds=min(
                self._prompt_events.inverse, MAX_EVENT_SECONDS
            ),
            prompt_tokens_per_second=self._prompt_tokens.ratio,
            output_tokens_per_second=self._output_tokens.ratio,
            output_tokens=self._mean_event_count() * self.event_tokens,
            prompts_per_second=prompts_per_second,
        )

    @property
    def event_tokens(self) -> float:
        """Return the number of tokens in an event; 1 if it is not known."""
        return self._event_tokens.ratio or 1

    @property
    def remaining_tokens(self) -> float:
        """Return what a running generation is expected to produce still.

        Long generations are seen running more often than short ones. At a
        random moment half of the length, weighted by itself, remains. While
        none has ended, as much is expected as has been produced.
        """
        remaining_events = self._ended_lengths.ratio / 2
        return (
            remaining_events or self._mean_event_count()
        ) * self.event_tokens

    def _reset_ratios(self) -> None:
        self._plain_events = DecayingRatio(MIN_OBSERVED_SECONDS)
        self._prompt_events = DecayingRatio(MIN_OBSERVED_SECONDS)
        self._prompt_tokens = DecayingRatio(MIN_OBSERVED_SECONDS)
        self._output_tokens = DecayingRatio(MIN_OBSERVED_SECONDS)
        self._prompt_count = DecayingRatio(MIN_OBSERVED_SECONDS)
        # Weighed by events and by generations.
        self._event_tokens = DecayingRatio(1)
        self._ended_events = DecayingRatio(1)
        # Squares of event counts, by events.
        self._ended_lengths = DecayingRatio(1)

    def _decay(self, seconds: float) -> None:
        factor = math.exp(-seconds / DECAY_SECONDS)
        for ratio in (
            self._plain_events,
            self._prompt_events,
            self._prompt_tokens,
            self._output_tokens,
            self._prompt_count,
            self._event_tokens,
            self._ended_events,
            self._ended_lengths,
        ):
            ratio.decay(factor)

    def _add_prompts(self, before: _Poll, after: _Poll, seconds: float) -> None:
        begun_count = self._begun_count
        tokens = self._prefilled_tokens
        for run_id in after.runs.keys() - before.runs.keys():
            prompt = self._prompts.get(run_id)
            if prompt is None:
                begun_count += 1
            elif not prompt.is_done:
                tokens += prompt.tokens
        self._prompt_count.add(begun_count, seconds)
        prefill_seconds = _prefill_seconds(before, after, seconds)
        if tokens or any(
            not prompt.is_done for prompt in self._prompts.values()
        ):
            self._prompt_tokens.add(tokens, prefill_seconds)

    def _add_progress(
        self, before: _Poll, after: _Poll, seconds: float
    ) -> None:
        pairs = [
            (before.runs[run_id], run)
            for run_id, run in after.runs.items()
            if run_id in before.runs
            and run.event_count >= before.runs[run_id].event_count
        ]
        if not pairs:
            return
        # Means of the generations, as they advance together.
        events = fmean(new.event_count - old.event_count for old, new in pairs)
        tokens = fmean(
            max(new.memory_tokens - old.memory_tokens, 0) for old, new in pairs
        )
        self._output_tokens.add(tokens, seconds)
        self._event_tokens.add(tokens, events)
        prefill_seconds = _prefill_seconds(before, after, seconds)
        plain_seconds = seconds - prefill_seconds
        if not prefill_seconds:
            self._plain_events.add(events, seconds)
        elif not plain_seconds:
            self._prompt_events.add(events, seconds)
        elif self._plain_events.ratio:
            # The prefill began or ended in the interval. Without the events
            # of the other half, and without those of the last step of the
            # prefill, short prefills would be estimated wrong.
            plain_events = plain_seconds * self._plain_events.ratio
            self._prompt_events.add(events - plain_events, prefill_seconds)

    def _add_ended(self, before: _Poll, after: _Poll) -> None:
        for run_id in before.runs.keys() - after.runs.keys():
            event_count = before.runs[run_id].event_count
            self._ended_events.add(event_count, 1)
            self._ended_lengths.add(event_count**2, event_count)

    def _finish_prompts(self, after: _Poll) -> None:
        for run_id in after.runs.keys() & self._prompts.keys():
            self._prompts[run_id].is_done = True
        oldest = after.at_seconds - PROMPT_AGE_LIMIT_SECONDS
        while self._prompts:
            request_id = next(iter(self._prompts))
            if self._prompts[request_id].announced_at_seconds > oldest:
                return
            self._prompts.pop(request_id)

    def _mean_event_count(self) -> float:
        ended = self._ended_events.ratio
        if ended or self._last is None or not self._last.runs:
            return ended
        return fmean(run.event_count for run in self._last.runs.values())


def is_prefilling(state: EngineState) -> bool:
    """Return whether the engine has prompts without an event."""
    with_events = sum(run.event_count > 0 for run in state.runs)
    return state.waiting_count > 0 or state.running_count > with_events


def _build_poll(state: EngineState, now_seconds: float) -> _Poll:
    return _Poll(
        at_seconds=now_seconds,
        runs={run.run_id: run for run in state.runs if run.event_count},
        run_count=state.running_count + state.waiting_count,
        is_prefilling=is_prefilling(state),
    )


def _prefill_seconds(before: _Poll, after: _Poll, seconds: float) -> float:
    # A prefill that begins or ends between polls takes half of the interval
    # on average.
    return seconds * (before.is_prefilling + after.is_prefilling) / 2


def _has_restarted(before: _Poll, after: _Poll, *, is_gap: bool) -> bool:
    if not before.runs or not before.runs.keys().isdisjoint(after.runs):
        return False
    if after.run_count >= before.run_count:
        return False
    return is_gap or len(before.runs) >= RESTART_RUN_COUNT
