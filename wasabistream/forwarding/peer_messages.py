"""Messages between entries."""

from dataclasses import dataclass, field

from wasabistream.messages import Message, message


@message(85)
@dataclass(frozen=True, slots=True)
class PeerNotice(Message):
    """Report an entry's liveness, store revision, peers and engines.

    Engines are backend servers that run generations.
    """

    endpoint: str
    revision: int
    # Whether the entry cannot read the store.
    store_lost: bool
    # Endpoints of the entries that it has links to.
    direct_peers: list
    # Rows of endpoint, service and data centre of the engines that agents
    # announced to it.
    engines: list
    # Whether the entry is shutting down.
    draining: bool = False
    # Whether both lists are those of the notice before on the same link; they
    # are empty then. Only for peers of protocol version 2 or higher.
    lists_unchanged: bool = False
    # Time since the announcement of each of the engines, also if the lists are
    # left out. Empty from entries of earlier builds.
    engine_ages_ms: list = field(default_factory=list)


@message(86)
@dataclass(frozen=True, slots=True)
class MirrorQuery(Message):
    """Ask an entry for its store items if they are newer than `revision`.

    They come from its mirror, the local copy of the read-only store.
    """

    revision: int


@message(89)
@dataclass(frozen=True, slots=True)
class MirrorUpdate(Message):
    """Send the changes of a mirror between two of its revisions."""

    before_revision: int
    revision: int
    # Rows of key, content and revision; content is None for a removal.
    rows: list


@message(87)
@dataclass(frozen=True, slots=True)
class MirrorPart(Message):
    """Carry a part of an entry's store items; `last` marks the final part.

    Each row holds the key, content and revision of an item.
    """

    # Revision of the whole mirror of the entry.
    revision: int
    rows: list
    last: bool
