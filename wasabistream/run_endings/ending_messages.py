"""Messages between entries and agents about the ends of runs."""

from dataclasses import dataclass, field

from wasabistream.messages import Message, message

# First protocol version whose agents tell how runs ended.
ENDINGS_VERSION = 5


@message(113)
@dataclass(frozen=True, slots=True)
class RunEndingQuery(Message):
    """Ask an agent how a run of its engine ended."""

    # Chosen by the sender; the reply repeats it.
    number: int
    run_id: str
    # Time since the run was sent to the engine.
    age_ms: int
    # Handles of the memory from which its stream went on before. They identify
    # earlier stops of a stream that has come back to the engine.
    used_handles: list = field(default_factory=list)


@message(114)
@dataclass(frozen=True, slots=True)
class RunEndingReply(Message):
    """Answer a query; the ending is a value of RunEnding."""

    number: int
    ending: str
