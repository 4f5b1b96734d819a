"""Entries that were heard lately."""

from collections.abc import Iterable

from wasabistream.forwarding.recently_heard import RecentlyHeard

# What a peer hears is up to one notice older.
RELAY_SECONDS = 1.0


class HeardEntries:
    """Remember when each other entry was heard last."""

    def __init__(self, own_endpoint: str) -> None:
        self._own_endpoint = own_endpoint
        self._heard: RecentlyHeard[str] = RecentlyHeard()

    def hear(self, endpoint: str, relayed: Iterable[str]) -> None:
        """Note a notice of an entry and whom it hears itself."""
        for known in relayed:
            self._heard.hear(known, age_seconds=RELAY_SECONDS)
        self._heard.hear(endpoint)

    def alive(self) -> set[str]:
        """Return the other entries that were heard lately."""
        return set(self._heard.alive()) - {self._own_endpoint}
