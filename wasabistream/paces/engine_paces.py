"""Speed of an engine as its agent measures it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EnginePace:
    """Hold the speed of an engine; 0 stands for a value that is not known."""

    # Time between two events of a generation while no prompt is prefilled.
    event_seconds: float = 0
    # The same while a prompt is prefilled beside it.
    prompt_event_seconds: float = 0
    # Prompt tokens prefilled per second while there are any.
    prompt_tokens_per_second: float = 0
    # Tokens that one generation produces per second.
    output_tokens_per_second: float = 0
    # Mean number of tokens that a generation produces.
    output_tokens: float = 0
    # Generations that began per second.
    prompts_per_second: float = 0


UNKNOWN_PACE = EnginePace()
