"""Messages between entries and agents about moves of generations."""

from dataclasses import dataclass, field

from wasabistream.messages import Message, message


@message(81)
@dataclass(frozen=True, slots=True)
class RunMoved(Message):
    """Announce where a stopped generation can continue."""

    run_id: str
    # Backend server that holds the memory and can continue the generation.
    endpoint: str
    # Endpoint of the source engine and handle, which identify the memory.
    memory_endpoint: str
    handle: str
    # Version of the software of the source, which the agent has compared with
    # that of the destination; empty from agents of earlier builds.
    software_version: str = ''
    # Start of the destination, as the entry that offered it knows it; 0 if
    # unknown, and if the destination is the source.
    started_unix_ms: int = 0


@message(80)
@dataclass(frozen=True, slots=True)
class RunMoving(Message):
    """Announce that a generation is about to stop to be moved.

    The fields after the first describe the copy that was made while it ran.
    They are empty without one, and from agents of earlier builds.
    """

    # Id of the request that started the generation.
    run_id: str
    endpoint: str = ''
    memory_endpoint: str = ''
    handle: str = ''
    software_version: str = ''
    started_unix_ms: int = 0
    # Whether the generation is not stopped after this copy. Other moves of it
    # may be in progress, so that the handle has to match.
    is_withdrawn: bool = False

    @property
    def first_copy(self) -> RunMoved | None:
        """Return where the generation can continue from the copy, if any."""
        if not self.handle:
            return None
        return RunMoved(
            self.run_id,
            self.endpoint,
            self.memory_endpoint,
            self.handle,
            self.software_version,
            self.started_unix_ms,
        )


@message(96)
@dataclass(frozen=True, slots=True)
class RunSilent(Message):
    """Report to an agent that a generation's events do not arrive."""

    run_id: str
    # Events that the entry has received.
    event_count: int
    # Whether the entry is about to send the stream on elsewhere, for which this
    # run has to be stopped.
    is_given_up: bool = False


@message(82)
@dataclass(frozen=True, slots=True)
class MoveTargetQuery(Message):
    """Ask an entry which backend servers can take over generations."""

    service: str
    # Version of the software of the agent's engine; empty from agents of
    # earlier builds.
    software_version: str = ''


@message(83)
@dataclass(frozen=True, slots=True)
class MoveTargetReport(Message):
    """List the backend servers that can take over generations.

    Each row holds the endpoint, data centre, free memory in tokens and number
    of requests of one backend server.
    """

    rows: list
    # Data centres that should get no generations of others. A further column
    # of the rows would make agents of earlier versions refuse all of them.
    full_data_centres: list = field(default_factory=list)
    # Version of the software of each row's backend server. Empty from entries
    # of earlier builds, which list servers of all versions.
    software_versions: list = field(default_factory=list)
    # Start of each row's backend server, 0 where it is not known. Empty from
    # entries of earlier builds.
    starts_unix_ms: list = field(default_factory=list)
