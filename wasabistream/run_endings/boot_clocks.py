"""Clock that also counts the time in which a VM is suspended."""

import time


def read_boot_clock() -> float:
    """Return the time since boot, which goes on while a VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
