"""Bans of parts of prompts, and the trials that can end them."""

from dataclasses import dataclass

# A trial of a part that could be confused with another one may answer the
# question soon; any other trial costs a server if the part still crashes them.
FIRST_CHECK_SECONDS = 2.0
FIRST_TRIAL_SECONDS = 45.0
CHECK_GROWTH = 4.0
TRIAL_GROWTH = 8.0


@dataclass(slots=True)
class PartBan:
    """Hold the ban of one part; times are of the monotonic clock."""

    banned_at_seconds: float
    trial_count: int = 0
    last_trial_at_seconds: float = 0

    def is_trial_due(self, now: float, *, distinguishes: bool) -> bool:
        """Return whether a request with the part may run as a trial.

        `distinguishes` tells whether its outcome separates the part from
        others that were in the same crashes.
        """
        if distinguishes:
            pause_seconds = FIRST_CHECK_SECONDS * CHECK_GROWTH**self.trial_count
        else:
            pause_seconds = FIRST_TRIAL_SECONDS * TRIAL_GROWTH**self.trial_count
        since_seconds = max(self.banned_at_seconds, self.last_trial_at_seconds)
        return now - since_seconds >= pause_seconds

    def record_trial(self, trial_count: int, now: float) -> None:
        """Record a trial of this entry or of another one."""
        self.trial_count = max(self.trial_count, trial_count)
        self.last_trial_at_seconds = now
