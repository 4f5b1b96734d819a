"""Order of the contents of the store."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class StoreVersion:
    """Order store contents by epoch, then by revision.

    The epoch rises each time that the store returns from an older copy, which
    gives revisions out again. It is 0 where a sender states none.
    """

    epoch: int = 0
    revision: int = 0
