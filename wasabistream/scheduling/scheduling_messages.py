"""Messages between entries and agents about when generations start."""

from dataclasses import dataclass

from wasabistream.messages import Message, message


@message(100)
@dataclass(frozen=True, slots=True)
class PromptNotice(Message):
    """Announce a generation that the sender is about to send to the engine."""

    request_id: str
    prompt_tokens: int
    # Expected memory use of the whole generation.
    expected_tokens: int


@message(101)
@dataclass(frozen=True, slots=True)
class PromptEnd(Message):
    """Withdraw a PromptNotice: an event has arrived, or the attempt ended."""

    request_id: str


@message(102)
@dataclass(frozen=True, slots=True)
class EnginePaceReport(Message):
    """Report how fast an engine is; 0 stands for a value that is not known."""

    event_microseconds: int
    prompt_event_microseconds: int
    prompt_tokens_per_second: int
    output_tokens_per_second: int
    output_tokens: int
    prompts_per_second: float
