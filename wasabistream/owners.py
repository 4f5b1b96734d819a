"""Choice of the owner of a key by rendezvous hashing."""

from collections.abc import Sequence

from wasabistream.digests import hash64


def rendezvous_hash(key: str, member: str) -> int:
    """Return the rendezvous hash of a key and a member."""
    return hash64(key, member)


def owner_of(key: str, members: Sequence[str]) -> str:
    """Return the member that owns a key; raises ValueError if none is given."""
    return max(members, key=lambda member: rendezvous_hash(key, member))
