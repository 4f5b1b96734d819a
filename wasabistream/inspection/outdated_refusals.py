"""Refusals of requests by a configuration that others had replaced before."""

from collections import Counter

from wasabistream.inspection.log_lines import LogLine
from wasabistream.inspection.request_records import CALLER_ERROR_STATUSES

# Time in which a change must be in force at every process; the shortest of the
# deployments.
APPLY_SECONDS = 2.0
# Bounds the memory for the distinct pairs of version and second.
MAX_GROUP_COUNT = 100_000


class OutdatedRefusals:
    """Count refusals by versions older than one in force elsewhere."""

    def __init__(self) -> None:
        # Earliest time at which a process had the version in force.
        self._in_force_at_seconds: dict[int, float] = {}
        # Refusals by version and whole second.
        self._counts: Counter[tuple[int, int]] = Counter()
        self.skipped_count = 0

    def add_version(self, line: LogLine) -> None:
        """Add a line about a version that came into force at a process."""
        version = line.fields.get('version')
        if isinstance(version, int):
            known_at_seconds = self._in_force_at_seconds.get(
                version, line.time_seconds
            )
            self._in_force_at_seconds[version] = min(
                known_at_seconds, line.time_seconds
            )

    def add_refusal(self, line: LogLine) -> None:
        """Add a line about a refusal; others than of a caller's error are ignored."""
        version = line.fields.get('version')
        if (
            not isinstance(version, int)
            or line.fields.get('status') not in CALLER_ERROR_STATUSES
        ):
            return
        group = (version, int(line.time_seconds))
        if group in self._counts or len(self._counts) < MAX_GROUP_COUNT:
            self._counts[group] += 1
        else:
            self.skipped_count += 1

    def count(self) -> int:
        """Return the number of refusals after a later version's time to apply."""
        return sum(
            refusal_count
            for (version, second), refusal_count in self._counts.items()
            if any(
                later > version and second > in_force_at_seconds + APPLY_SECONDS
                for later, in_force_at_seconds in self._in_force_at_seconds.items()
            )
        )
