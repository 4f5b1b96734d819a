"""Messages between entries."""

from dataclasses import dataclass, field

from wasabistream.messages import Message, message
from wasabistream.restores.store_versions import StoreVersion


@message(85)
@dataclass(frozen=True, slots=True)
class PeerNotice(Message):
    """Report an entry's liveness, store version, peers and engines.

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
    # Epoch of the revision; 0 from entries of earlier builds.
    epoch: int = 0
    # Bandwidth of the entry's link; 0 if unknown.
    link_mbps: float = 0

    @property
    def version(self) -> StoreVersion:
        """Return the version of the entry's mirror."""
        return StoreVersion(self.epoch, self.revision)


@message(86)
@dataclass(frozen=True, slots=True)
class MirrorQuery(Message):
    """Ask an entry for its store items if they are newer than `version`.

    They come from its mirror, the local copy of the read-only store.
    """

    revision: int
    epoch: int = 0
    # Whether the answer may be compressed.
    takes_compressed: bool = False

    @property
    def version(self) -> StoreVersion:
        """Return the version of the mirror that asks."""
        return StoreVersion(self.epoch, self.revision)


@message(89)
@dataclass(frozen=True, slots=True)
class MirrorUpdate(Message):
    """Send the changes of a mirror between two of its revisions."""

    before_revision: int
    revision: int
    # Rows of key, content and revision; content is None for a removal.
    rows: list
    # Epoch of both revisions.
    epoch: int = 0
    # Whether the contents are compressed. Only for peers of protocol version 4
    # or higher.
    is_compressed: bool = False

    @property
    def version(self) -> StoreVersion:
        """Return the version that the changes lead to."""
        return StoreVersion(self.epoch, self.revision)


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
    epoch: int = 0
    # Whether the contents are compressed, as in updates.
    is_compressed: bool = False

    @property
    def version(self) -> StoreVersion:
        """Return the version of the whole mirror."""
        return StoreVersion(self.epoch, self.revision)
