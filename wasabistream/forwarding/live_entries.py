"""Entries that were heard lately."""

from collections.abc import Iterable

from wasabistream.forwarding.liveness_trackers import LivenessTracker

# What a peer hears is up to one notice older.
RELAYED_AGE_SECONDS = 1.0


class LiveEntries:
    """Remember when each other entry was heard last."""

    def __init__(self, own_endpoint: str) -> None:
        self._own_endpoint = own_endpoint
        self._tracker: LivenessTracker[str] = LivenessTracker()

    def record_heard(self, endpoint: str, relayed: Iterable[str]) -> None:
        """Note a notice of an entry and whom it hears itself."""
        for relayed_endpoint in relayed:
            self._tracker.record_heard(
                relayed_endpoint, age_seconds=RELAYED_AGE_SECONDS
            )
        self._tracker.record_heard(endpoint)

    def list_live(self) -> set[str]:
        """Return the other entries that were heard lately."""
        return set(self._tracker.list_live()) - {self._own_endpoint}
