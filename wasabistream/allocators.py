"""Settings of the C library's allocator."""

import ctypes
import logging

logger = logging.getLogger(__name__)

# Of mallopt(3).
MMAP_THRESHOLD_OPTION = -3
MAX_ARENA_COUNT_OPTION = -8
# Blocks of this size are mapped by themselves and go back to the system when
# they are freed. By default the C library raises its threshold to the size of
# the first long body that it frees and then keeps freed ones for each thread.
MMAP_THRESHOLD_BYTES = 64 * 1024
# Each arena keeps some freed memory; one interpreter lock leaves little use for
# more of them.
MAX_ARENA_COUNT = 2
OPTIONS = (
    (MMAP_THRESHOLD_OPTION, MMAP_THRESHOLD_BYTES),
    (MAX_ARENA_COUNT_OPTION, MAX_ARENA_COUNT),
)


def return_freed_memory() -> None:
    """Have the allocator return large blocks as soon as they are freed."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError) as error:
        logger.warning('memory: allocator has no options: %s', error)
        return
    for option, number in OPTIONS:
        if not mallopt(option, number):
            logger.warning('memory: allocator refuses option %d', option)
