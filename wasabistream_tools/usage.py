"""CPU time and memory of a process, read from /proc."""

import os
import pathlib
from dataclasses import dataclass

TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
KIBIBYTE_BYTES = 1024
# Position of utime among the fields after the process name in
# /proc/<pid>/stat; stime follows it.
USER_TIME_INDEX = 11
# Positions of idle and iowait among the numbers in the first line of
# /proc/stat.
IDLE_INDEXES = slice(3, 5)


@dataclass(frozen=True)
class ProcessUsage:
    """Hold the CPU time since a process started and its resident memory."""

    cpu_seconds: float
    memory_bytes: int


def read_usage(pid: int) -> ProcessUsage:
    """Read the usage of a process; raises OSError if it does not exist."""
    process = pathlib.Path('/proc', str(pid))
    stat = (process / 'stat').read_text(encoding='utf-8')
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[USER_TIME_INDEX]) + int(fields[USER_TIME_INDEX + 1])
    status = (process / 'status').read_text(encoding='utf-8')
    texts_by_name = dict(line.split(':', 1) for line in status.splitlines())
    return ProcessUsage(
        ticks / TICKS_PER_SECOND,
        int(texts_by_name['VmRSS'].split()[0]) * KIBIBYTE_BYTES,
    )


def read_busy_seconds() -> float:
    """Return the CPU time that all cores of the computer have been busy."""
    report = pathlib.Path('/proc/stat').read_text(encoding='utf-8')
    ticks = [int(text) for text in report.splitlines()[0].split()[1:]]
    return (sum(ticks) - sum(ticks[IDLE_INDEXES])) / TICKS_PER_SECOND
