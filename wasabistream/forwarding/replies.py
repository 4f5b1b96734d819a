"""Replies that an entry generates itself."""

import random

from wasabistream.forwarding.requests import Reply

# Lowest status of a server error.
SERVER_ERROR = 500
NOT_RUN = 503
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
# Share of its remaining time after which a client should retry.
RETRY_AFTER_RATIO = 0.3
# Jitter spreads the retries of clients that were refused at the same moment.
RETRY_AFTER_JITTER_RATIO = 0.5
RETRY_AFTER_MIN_SECONDS = 0.05
RETRY_AFTER_MAX_SECONDS = 2.0


def build_refusal(
    remaining_seconds: float, min_wait_seconds: float = 0
) -> Reply:
    """Return a 503 for a request that has not run.

    Its Retry-After is a share of the time until the request's deadline, or
    `min_wait_seconds` if that is longer.
    """
    wait_seconds = remaining_seconds * RETRY_AFTER_RATIO
    wait_seconds *= random.uniform(1 - RETRY_AFTER_JITTER_RATIO, 1)
    wait_seconds = min(
        max(wait_seconds, RETRY_AFTER_MIN_SECONDS), RETRY_AFTER_MAX_SECONDS
    )
    wait_seconds = max(wait_seconds, min_wait_seconds)
    return Reply(NOT_RUN, (('retry-after', f'{wait_seconds:.2f}'),))


def build_bad_gateway() -> Reply:
    """Return a 502 for a request that may have run but has no answer."""
    return Reply(BAD_GATEWAY)


def build_gateway_timeout() -> Reply:
    """Return a 504 for a request that may have run and timed out."""
    return Reply(GATEWAY_TIMEOUT)
