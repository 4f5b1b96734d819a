"""Messages between entries and agents about one request of a caller."""

from dataclasses import dataclass, field

from wasabistream.messages import Message, message


@message(10)
@dataclass(frozen=True, slots=True)
class Generate(Message):
    """Ask an agent to run a generation on its engine.

    `deadline_seconds` is the time that remains when the message is sent.
    """

    request_id: str
    organisation: str
    model: str
    work_class: str
    prompt: str
    # Estimate from the length of the prompt.
    prompt_tokens: int
    max_tokens: int
    deadline_seconds: float
    # Hash of organisation, model and prompt, by which the quarantine recognises
    # requests that crash engines.
    fingerprint: int
    document_revision: int
    # Engine crashes counted for the fingerprint before this attempt.
    crash_count: int = 0
    adapter: str = ''
    # Weight of the organisation in the fair queue of the gate.
    priority_weight: float = 1
    # JSON object of sampling fields that are forwarded to the engine unchanged.
    options: str = ''
    # Encoded AnswerContext: the fields that all events of the answer share.
    answer_context: str = ''
    # Hashes of the messages of the prompt that other requests may share.
    prompt_parts: list = field(default_factory=list)


@message(11)
@dataclass(frozen=True, slots=True)
class Accepted(Message):
    """Report that a generation is queued, or that a stream to resume exists."""

    request_id: str
    # Id by which a caller can resume the stream, also over another entry.
    stream_id: str
    # Context of the original answer; sent to an entry that resumes the stream.
    answer_context: str = ''


@message(12)
@dataclass(frozen=True, slots=True)
class Refused(Message):
    """Report that an attempt was refused.

    `outcome` is a value of Outcome: whether the attempt has run.
    """

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
    """Report that a stream or call failed after it may have started.

    `outcome` is a value of Outcome: whether the attempt has run.
    """

    request_id: str
    outcome: str
    reason: str
    token_count: int = 0


@message(16)
@dataclass(frozen=True, slots=True)
class Cancel(Message):
    """Ask an agent to stop a generation whose caller has gone.

    Generations of the class `patient` go on.
    """

    request_id: str


@message(17)
@dataclass(frozen=True, slots=True)
class Withdraw(Message):
    """Ask an agent to cancel a request and to report whether it has run.

    A request that has not run may be sent to another agent.
    """

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
    """Ask an agent to forward a call to its plain service.

    `deadline_seconds` is the time that remains when the message is sent.
    """

    request_id: str
    organisation: str
    service: str
    method: str
    path: str
    headers: dict
    body: bytes
    deadline_seconds: float
    document_revision: int
    # True if the document allows the call to run more than once.
    repeatable: bool
    # Organisation and idempotency key; empty for a call without a key.
    key: str = ''
    # Time by the clock of the entry at which it received the request; 0 for a
    # repeatable call.
    started_unix_seconds: float = 0


@message(21)
@dataclass(frozen=True, slots=True)
class ServiceAnswer(Message):
    """Carry the answer of a plain service to a call."""

    request_id: str
    status: int
    headers: dict
    body: bytes
    # True if this is the kept answer of an earlier attempt with the same key.
    replayed: bool = False
