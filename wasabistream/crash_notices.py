"""Messages about engines that crashed and what ran on them."""

from dataclasses import dataclass

from wasabistream.messages import Message, message


@message(50)
@dataclass(frozen=True, slots=True)
class CrashNotice(Message):
    """Tell which contents ran in an engine when it crashed."""

    crash_id: str
    fingerprints: list


@message(51)
@dataclass(frozen=True, slots=True)
class ClearNotice(Message):
    """Tell that a suspected content ran to its end."""

    fingerprint: int
