"""Bans of parts of prompts, and the trials that can end them."""

from dataclasses import dataclass

# A doubtful ban is checked soon; any other trial most likely costs a server.
FIRST_CHECK_SECONDS = 2.0
FIRST_TRIAL_SECONDS = 45.0
# Keeps the trials of a part that goes on crashing servers to a few in a day.
PAUSE_GROWTH = 10.0


@dataclass(slots=True)
class PartBan:
    """Hold the ban of one part; times are of the monotonic clock."""

    banned_at_seconds: float
    # When this process learned of it.
    known_at_seconds: float
    trial_count: int = 0
    last_trial_at_seconds: float = 0
    # The request that this process lets run as the last trial.
    trial_request_id: str = ''

    def is_trial_due(self, now: float, *, is_doubtful: bool) -> bool:
        """Return whether a request with the part may run as a trial."""
        first_seconds = FIRST_TRIAL_SECONDS
        if is_doubtful:
            first_seconds = FIRST_CHECK_SECONDS
        since_seconds = max(self.banned_at_seconds, self.last_trial_at_seconds)
        pause_seconds = first_seconds * PAUSE_GROWTH**self.trial_count
        return now - since_seconds >= pause_seconds

    def record_trial(self, trial_count: int, now: float) -> None:
        """Record a trial of this entry or of another one."""
        self.trial_count = max(self.trial_count, trial_count)
        self.last_trial_at_seconds = now

    def withdraw_trial(self, request_id: str) -> bool:
        """Take back a trial that has not run; return whether there was one."""
        if self.trial_request_id != request_id:
            return False
        self.trial_request_id = ''
        self.trial_count -= 1
        return True
