"""Use of processor and memory by a process, from /proc."""

import os
import pathlib
from dataclasses import dataclass

TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
KIBIBYTE = 1024
# Position of utime behind the process name in /proc/<pid>/stat.
USER_TIME_FIELD = 11
# Positions of idle and waiting time in the first line of /proc/stat.
IDLE_FIELDS = slice(3, 5)


@dataclass(frozen=True)
class ProcessUsage:
    """Hold what a process has used since its start."""

    cpu_seconds: float
    memory_bytes: int


def read_usage(pid: int) -> ProcessUsage:
    """Read the use of one process; raises OSError when it is gone."""
    process = pathlib.Path('/proc', str(pid))
    stat = (process / 'stat').read_text(encoding='utf-8')
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[USER_TIME_FIELD]) + int(fields[USER_TIME_FIELD + 1])
    status = (process / 'status').read_text(encoding='utf-8')
    lines = dict(line.split(':', 1) for line in status.splitlines())
    return ProcessUsage(
        ticks / TICKS_PER_SECOND, int(lines['VmRSS'].split()[0]) * KIBIBYTE
    )


def read_busy_seconds() -> float:
    """Return the processor time that the whole machine has spent busy."""
    report = pathlib.Path('/proc/stat').read_text(encoding='utf-8')
    ticks = [int(text) for text in report.splitlines()[0].split()[1:]]
    return (sum(ticks) - sum(ticks[IDLE_FIELDS])) / TICKS_PER_SECOND
