"""Messages between processes about parts of prompts that crash servers."""

from dataclasses import dataclass

from wasabistream.crash_notices import CrashMessage
from wasabistream.messages import message


@message(90)
@dataclass(frozen=True, slots=True)
class PartCrashNotice(CrashMessage):
    """State which request a server held when it crashed."""

    endpoint: str
    age_seconds: float
    # Ids of the shared parts of the request's prompt.
    parts: list
    # Whether the head of the answer had arrived.
    has_begun: bool


@message(91)
@dataclass(frozen=True, slots=True)
class PartAnswerNotice(CrashMessage):
    """State how long ago requests with some parts were answered."""

    # Rows of the id of a part and the age in seconds.
    rows: list


@message(92)
@dataclass(frozen=True, slots=True)
class PartBanNotice(CrashMessage):
    """State that a part is banned, and how many trials were started."""

    part: str
    age_seconds: float
    trial_count: int
