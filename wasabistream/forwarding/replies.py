"""Answers that an entry makes itself."""

import random

from wasabistream.forwarding.requests import Reply

# Statuses from here on are failures of a server.
SERVER_ERROR = 500
NOT_RUN = 503
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
# Clients come back within a third of the time they have left.
RETRY_AFTER_RATIO = 0.3
# Jitter spreads the clients that were refused at the same moment.
RETRY_AFTER_JITTER_RATIO = 0.5
RETRY_AFTER_MIN_SECONDS = 0.05
RETRY_AFTER_MAX_SECONDS = 2.0


def build_refusal(remaining_seconds: float) -> Reply:
    """Refuse a request that has not run and say when to come back."""
    wait_seconds = remaining_seconds * RETRY_AFTER_RATIO
    wait_seconds *= random.uniform(1 - RETRY_AFTER_JITTER_RATIO, 1)
    wait_seconds = min(
        max(wait_seconds, RETRY_AFTER_MIN_SECONDS), RETRY_AFTER_MAX_SECONDS
    )
    return Reply(NOT_RUN, (('retry-after', f'{wait_seconds:.2f}'),))


def build_bad_gateway() -> Reply:
    """Report a request that may have run and has no answer."""
    return Reply(BAD_GATEWAY)


def build_gateway_timeout() -> Reply:
    """Report a request that was sent and got no answer in time."""
    return Reply(GATEWAY_TIMEOUT)
