"""A simulated engine for tests of what its agent measures."""

from dataclasses import dataclass, field

from wasabistream.forwarding.engine_states import EngineRun, EngineState
from wasabistream.paces.pace_estimators import PaceEstimator

POLL_SECONDS = 0.05


@dataclass
class SimulatedEngine:
    """Prefill one prompt at a time; all generations advance in each step."""

    event_seconds: float = 0.03
    prompt_event_seconds: float = 0.06
    prompt_tokens_per_second: float = 7000
    now_seconds: float = 0
    runs: dict[str, int] = field(default_factory=lambda: {'a': 1, 'b': 1})
    prompts: dict[str, float] = field(default_factory=dict)
    _step_seconds: float = 0

    def advance(self, seconds: float) -> EngineState:
        """Run for some time and return the state at its end."""
        self.now_seconds += seconds
        self._step_seconds += seconds
        while self._step_seconds >= self._step_duration():
            duration = self._step_duration()
            self._step_seconds -= duration
            self.runs = {name: count + 1 for name, count in self.runs.items()}
            for name in list(self.prompts)[:1]:
                self.prompts[name] -= duration * self.prompt_tokens_per_second
                if self.prompts[name] <= 0:
                    self.prompts.pop(name)
                    self.runs[name] = 1
        return build_state(self.runs, running_count=len(self.prompts))

    def begin(
        self, estimator: PaceEstimator, name: str, tokens: int, phase: float
    ) -> None:
        """Announce a prompt at a phase of the poll interval, from 0 to 1."""
        self.advance(phase * POLL_SECONDS)
        estimator.record_prompt(name, tokens, self.now_seconds)
        self.prompts[name] = tokens
        state = self.advance((1 - phase) * POLL_SECONDS)
        estimator.observe(state, self.now_seconds)

    def poll(self, estimator: PaceEstimator, seconds: float) -> None:
        """Run for some time, in which an agent polls the state."""
        for _ in range(round(seconds / POLL_SECONDS)):
            state = self.advance(POLL_SECONDS)
            estimator.observe(state, self.now_seconds)

    def _step_duration(self) -> float:
        return self.prompt_event_seconds if self.prompts else self.event_seconds


def build_state(
    event_counts: dict[str, int], running_count: int = 0
) -> EngineState:
    """Return the state of an engine with these generations and more."""
    runs = tuple(
        EngineRun(name, 1000 + 4 * count, count, 1)
        for name, count in event_counts.items()
    )
    used_tokens = sum(run.memory_tokens for run in runs)
    count = len(runs) + running_count
    return EngineState(count, 0, used_tokens, 30000, False, None, runs)
