"""Messages between entries."""

from dataclasses import dataclass

from wasabistream.messages import Message, message


@message(85)
@dataclass(frozen=True, slots=True)
class PeerNotice(Message):
    """Report an entry's liveness, store revision, peers and engines."""

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


@message(86)
@dataclass(frozen=True, slots=True)
class MirrorQuery(Message):
    """Ask an entry for its items if they are newer than this revision."""

    revision: int


@message(87)
@dataclass(frozen=True, slots=True)
class MirrorPart(Message):
    """Carry a part of an entry's items; `last` marks the final part.

    Each row holds the key, content and revision of an item.
    """

    revision: int
    rows: list
    last: bool
