"""Whether a server has outlived an answer that ended with its connection."""

import logging
import time
from collections.abc import Callable

from wasabistream.exceptions import NotRunError

logger = logging.getLogger(__name__)

# One packet may be lost.
PROBE_COUNT = 2
# The kernel may close the port of a killed process after its connections.
PROBE_DELAY_SECONDS = 0.03


def outlives_answer(
    connect: Callable[[], None],
    request_id: str,
    is_ended: Callable[[], bool] = bool,
) -> bool:
    """Return whether a server still accepts a connection.

    `connect` raises OSError or NotRunError if it does not. Once the request has
    ended, there is no further try.
    """
    time.sleep(PROBE_DELAY_SECONDS)
    for _ in range(PROBE_COUNT):
        try:
            connect()
        except (OSError, NotRunError) as error:
            logger.info(
                'answer: its server cannot be reached: %s',
                error,
                extra={'request_id': request_id},
            )
        else:
            return True
        if is_ended():
            break
    return False
