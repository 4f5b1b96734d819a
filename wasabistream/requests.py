"""Messages between entries and agents about one request of a caller."""

from dataclasses import dataclass

from wasabistream.messages import Message, message


@message(10)
@dataclass(frozen=True, slots=True)
class Generate(Message):
    """Ask an agent to run a generation on its engine."""

    request_id: str
    organisation: str
    model: str
    work_class: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    deadline_seconds: float
    fingerprint: int
    document_revision: int
    crash_count: int = 0
    adapter: str = ''
    priority_weight: float = 1
    # JSON object of sampling fields that are forwarded to the engine unchanged.
    options: str = ''
    # Encoded AnswerContext: the fields that all events of the answer share.
    answer_context: str = ''


@message(11)
@dataclass(frozen=True, slots=True)
class Accepted(Message):
    """Report that the gate has queued a generation."""

    request_id: str
    stream_id: str
    # Context of the original answer; sent to an entry that resumes the stream.
    answer_context: str = ''


@message(12)
@dataclass(frozen=True, slots=True)
class Refused(Message):
    """Report that an attempt was refused: not run, or possibly run."""

    request_id: str
    outcome: str
    reason: str
    retry_after_seconds: float = 0


@message(13)
@dataclass(frozen=True, slots=True)
class Token(Message):
    """Carry one token of a stream."""

    request_id: str
    index: int
    text: str


@message(14)
@dataclass(frozen=True, slots=True)
class Finished(Message):
    """Report that a stream is complete."""

    request_id: str
    token_count: int
    finish_reason: str


@message(15)
@dataclass(frozen=True, slots=True)
class Failed(Message):
    """Report that a stream or call failed after it may have started."""

    request_id: str
    outcome: str
    reason: str
    token_count: int = 0


@message(16)
@dataclass(frozen=True, slots=True)
class Cancel(Message):
    """Ask an agent to stop a generation whose caller has gone."""

    request_id: str


@message(17)
@dataclass(frozen=True, slots=True)
class Withdraw(Message):
    """Ask an agent to cancel a request and to report its outcome."""

    request_id: str


@message(18)
@dataclass(frozen=True, slots=True)
class Resume(Message):
    """Ask an agent for the tokens of a stream from an index on."""

    request_id: str
    stream_id: str
    organisation: str
    next_index: int


@message(19)
@dataclass(frozen=True, slots=True)
class Tokens(Message):
    """Carry consecutive tokens that were generated before a stream was resumed."""

    request_id: str
    first_index: int
    texts: list


@message(20)
@dataclass(frozen=True, slots=True)
class Call(Message):
    """Ask an agent to forward a call to its plain service."""

    request_id: str
    organisation: str
    service: str
    method: str
    path: str
    headers: dict
    body: bytes
    deadline_seconds: float
    document_revision: int
    repeatable: bool
    key: str = ''
    # Time by the clock of the entry at which it received the request.
    started_unix_seconds: float = 0


@message(21)
@dataclass(frozen=True, slots=True)
class Answer(Message):
    """Carry the answer of a plain service."""

    request_id: str
    status: int
    headers: dict
    body: bytes
    replayed: bool = False
