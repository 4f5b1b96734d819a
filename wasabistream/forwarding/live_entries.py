"""Entries that are live, directly or through a peer."""

from collections.abc import Iterable

from wasabistream.forwarding.liveness_trackers import LivenessTracker

# A relayed sighting may be one notice interval older than a direct one.
RELAYED_AGE_SECONDS = 1.0


class LiveEntries:
    """Track the liveness of the other entries."""

    def __init__(self, own_endpoint: str) -> None:
        self._own_endpoint = own_endpoint
        self._tracker: LivenessTracker[str] = LivenessTracker()

    def record_heard(self, endpoint: str, relayed: Iterable[str]) -> None:
        """Record an entry's notice and the peers that it lists as linked."""
        for relayed_endpoint in relayed:
            self._tracker.record_heard(
                relayed_endpoint, age_seconds=RELAYED_AGE_SECONDS
            )
        self._tracker.record_heard(endpoint)

    def list_live(self) -> set[str]:
        """Return the endpoints of the other live entries."""
        return set(self._tracker.list_live()) - {self._own_endpoint}
