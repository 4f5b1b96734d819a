"""Decoder of what backend servers state about themselves in headers."""

import logging
import re
from collections.abc import Mapping
from functools import lru_cache

from wasabistream.forwarding.server_advisories import NO_LIMIT, ServerAdvisory
from wasabistream.platform import header_names as names

logger = logging.getLogger(__name__)

# Decimal numbers without sign or exponent; the number of digits is limited so
# that the value stays finite.
DECIMAL = re.compile(r'[0-9]{1,12}(\.[0-9]{1,12})?')
# Only with this status the time in Retry-After holds for all requests.
BACK_OFF_STATUS = 503
FLAG_ON = '1'
FLAG_OFF = '0'
MAX_LOGGED_LENGTH = 40
# Servers and texts that are remembered as logged.
MAX_LOGGED_COUNT = 256


def decode_advisory(
    status: int, headers: Mapping[str, str], peer: str
) -> ServerAdvisory:
    """Return what a server states; headers have names in lower case."""
    retry_after = None
    if status == BACK_OFF_STATUS:
        retry_after = headers.get(names.RETRY_AFTER)
    limit = headers.get(names.RATE_LIMIT)
    leaving = headers.get(names.LEAVING, FLAG_OFF).strip()
    if leaving not in {FLAG_ON, FLAG_OFF}:
        _log_unreadable(leaving[:MAX_LOGGED_LENGTH], peer)
    return ServerAdvisory(
        limit_per_second=(
            NO_LIMIT if limit is None else _decode_decimal(limit, peer)
        ),
        is_leaving=leaving == FLAG_ON,
        retry_after_seconds=(
            0
            if retry_after is None
            else _decode_decimal(retry_after, peer) or 0
        ),
    )


def _decode_decimal(text: str, peer: str) -> float | None:
    stripped = text.strip()
    if DECIMAL.fullmatch(stripped) is None:
        _log_unreadable(text[:MAX_LOGGED_LENGTH], peer)
        return None
    return float(stripped)


# An agent reads twenty reports a second, which would repeat the line.
@lru_cache(maxsize=MAX_LOGGED_COUNT)
def _log_unreadable(text: str, peer: str) -> None:
    logger.warning(
        'server: statement cannot be read: %r', text, extra={'peer': peer}
    )
