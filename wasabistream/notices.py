"""Messages that identify peers and keep their views up to date."""

from dataclasses import dataclass

from wasabistream.messages import Message, message

# Value of a taken count that an agent of an older version does not report.
UNKNOWN_COUNT = -1
# Rate limit in a report that does not state whether there is one.
UNKNOWN_LIMIT = -1.0


@message(1)
@dataclass(frozen=True, slots=True)
class Hello(Message):
    """Introduce the sender; the first message in each direction of a link."""

    version_min: int
    version_max: int
    role: str
    peer_id: str
    incarnation: str
    data_centre: str


@message(2)
@dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """Show that the sender is running when it has nothing else to send."""


@message(3)
@dataclass(frozen=True, slots=True)
class LoadReport(Message):
    """Report the load of a backend server."""

    memory_used_tokens: int
    memory_capacity_tokens: int
    running_count: int
    queued_count: int
    ramp_limit_count: int
    leaving: bool
    # Requests that the agent had read from this link before the report.
    taken_count: int = UNKNOWN_COUNT
    # Whether the backend server answered its agent.
    responsive: bool = True
    # Requests per second that the backend server takes from all entries
    # together; infinite without a limit.
    limit_per_second: float = UNKNOWN_LIMIT
    # Prompt tokens of announced generations without an event yet.
    backlog_tokens: int = 0
    # Memory that these are expected to need beyond what is in use.
    reserved_tokens: int = 0
    # Tokens by which generations with events are expected to grow.
    growth_tokens: int = 0


@message(4)
@dataclass(frozen=True, slots=True)
class ServingReport(Message):
    """Report the service, models and role of a backend server."""

    service: str
    models: list
    adapters: list
    role: str
    ready: bool


@message(5)
@dataclass(frozen=True, slots=True)
class CacheReport(Message):
    """Report which prompt prefixes an engine has cached, as 32-bit hashes."""

    prefixes: list


@message(6)
@dataclass(frozen=True, slots=True)
class DocumentDigest(Message):
    """Announce which document is in force at the sender."""

    revision: int
    digest: str


@message(7)
@dataclass(frozen=True, slots=True)
class DocumentFetch(Message):
    """Request a document, or its difference from the one with `held_digest`."""

    revision: int
    digest: str
    held_digest: str = ''


@message(8)
@dataclass(frozen=True, slots=True)
class DocumentBody(Message):
    """Carry the body of a document."""

    revision: int
    digest: str
    body: bytes


@message(9)
@dataclass(frozen=True, slots=True)
class VmListBody(Message):
    """Relay the VM list with the index that the platform gave it."""

    list_index: int
    read_age_seconds: float
    body: bytes


@message(30)
@dataclass(frozen=True, slots=True)
class LeaseRequest(Message):
    """Ask a peer of the same service to confirm the view of the sender."""

    sequence: int
    view_digest: str
    list_index: int
    revision: int
    has_lease: bool


@message(31)
@dataclass(frozen=True, slots=True)
class LeaseReply(Message):
    """Grant or refuse a lease request; carries packed earlier views."""

    sequence: int
    granted: bool
    reason: str
    lease_known: bool
    earlier_views: list


@message(32)
@dataclass(frozen=True, slots=True)
class ServiceViewBody(Message):
    """Carry the packed view of the sender to a peer whose view differs."""

    view: list


@message(33)
@dataclass(frozen=True, slots=True)
class ModelRetentionRequest(Message):
    """Ask a peer to keep serving a model while the sender unloads it."""

    model: str


@message(34)
@dataclass(frozen=True, slots=True)
class ModelRetentionReply(Message):
    """Promise to keep serving a model for the retention time, or refuse."""

    model: str
    granted: bool
