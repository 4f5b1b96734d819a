"""Messages between entries about parts of prompts that crash servers."""

from dataclasses import dataclass

from wasabistream.messages import Message, message


@message(90)
@dataclass(frozen=True, slots=True)
class PartCrashNotice(Message):
    """State which request a server held when it crashed."""

    endpoint: str
    age_seconds: float
    # Ids of the shared parts of the request's prompt.
    parts: list
    # Whether the head of the answer had arrived.
    has_begun: bool


@message(91)
@dataclass(frozen=True, slots=True)
class PartAnswerNotice(Message):
    """State how long ago requests with some parts were sent and answered."""

    # Rows of the id of a part and the age in seconds.
    rows: list


@message(92)
@dataclass(frozen=True, slots=True)
class PartBanNotice(Message):
    """State that a part is banned, and how many trials were started."""

    part: str
    age_seconds: float
    trial_count: int
