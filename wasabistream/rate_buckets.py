"""Rate limit of one backend server as a bucket of requests."""

# Allowance that collects while a server is not used. A longer time would send
# the server a burst after each pause of its callers.
MAX_CREDIT_SECONDS = 1.0
# Longest pause between two requests, however low the limit is: only an answer
# shows that a limit has ended.
MAX_INTERVAL_SECONDS = 10.0


class RateBucket:
    """Space requests by the inverse of a rate.

    Requests that are added above the rate delay those after them, so that the
    average stays at the rate. Not thread-safe.
    """

    def __init__(self, now_seconds: float) -> None:
        # Time at which the next request keeps within the rate.
        self.due_at_seconds = now_seconds

    def add(self, now_seconds: float, rate_per_second: float) -> None:
        """Count a request that is sent now."""
        earliest = now_seconds - MAX_CREDIT_SECONDS
        due_at = max(self.due_at_seconds, earliest)
        self.due_at_seconds = min(
            due_at + interval_seconds(rate_per_second),
            now_seconds + MAX_INTERVAL_SECONDS,
        )

    def defer(self, now_seconds: float, wait_seconds: float) -> None:
        """Admit no request for a time, of `MAX_INTERVAL_SECONDS` at most."""
        due_at = now_seconds + min(wait_seconds, MAX_INTERVAL_SECONDS)
        self.due_at_seconds = max(self.due_at_seconds, due_at)

    def limit_debt(self, now_seconds: float, rate_per_second: float) -> None:
        """Shorten the wait to the one after a request at this rate."""
        latest = now_seconds + interval_seconds(rate_per_second)
        self.due_at_seconds = min(self.due_at_seconds, latest)


def interval_seconds(rate_per_second: float) -> float:
    """Return the time between two requests at a rate, 0 included."""
    if rate_per_second * MAX_INTERVAL_SECONDS <= 1:
        return MAX_INTERVAL_SECONDS
    return 1 / rate_per_second
