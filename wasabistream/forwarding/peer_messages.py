"""Messages between entries."""

from dataclasses import dataclass

from wasabistream.messages import Message, message


@message(85)
@dataclass(frozen=True, slots=True)
class PeerNotice(Message):
    """Tell that an entry lives, what it has read and whom it knows."""

    endpoint: str
    revision: int
    # Whether the entry cannot read the store.
    store_lost: bool
    # Endpoints of the entries that it hears directly.
    direct_peers: list
    # Engines that agents announced to it: endpoint, service, data centre.
    engines: list
    # Whether the entry shuts down.
    draining: bool = False


@message(86)
@dataclass(frozen=True, slots=True)
class MirrorQuery(Message):
    """Ask an entry for what it has read from the store."""

    revision: int


@message(87)
@dataclass(frozen=True, slots=True)
class MirrorPart(Message):
    """Carry some items of the store; `last` ends the listing.

    Each row holds key, content and revision.
    """

    revision: int
    rows: list
    last: bool
