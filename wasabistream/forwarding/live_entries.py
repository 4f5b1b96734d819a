"""Entries that are live, directly or through a peer."""

from collections.abc import Iterable

from wasabistream.forwarding.liveness_trackers import LivenessTracker

# Age that is assumed for contact through a peer: up to one notice interval.
RELAYED_AGE_SECONDS = 1.0


class LiveEntries:
    """Track the liveness of the other entries."""

    def __init__(self, own_endpoint: str) -> None:
        self._own_endpoint = own_endpoint
        self._tracker: LivenessTracker[str] = LivenessTracker()

    def record_contact(self, endpoint: str, relayed: Iterable[str]) -> None:
        """Record an entry's notice and the peers that it lists as linked."""
        for relayed_endpoint in relayed:
            self._tracker.record_contact(
                relayed_endpoint, age_seconds=RELAYED_AGE_SECONDS
            )
        self._tracker.record_contact(endpoint)

    def list_live(self) -> set[str]:
        """Return the endpoints of the other live entries."""
        return set(self._tracker.list_live()) - {self._own_endpoint}
