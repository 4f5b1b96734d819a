"""Measurement of the memory of a process as the platform counts it."""

import os
import threading
from pathlib import Path

from tests.daemon_processes import DaemonProcess

SAMPLE_SECONDS = 0.005
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
LISTENING = '0A'


class MemoryMonitor:
    """Record the peak of resident memory and unread bytes of a daemon."""

    def __init__(self, daemon: DaemonProcess) -> None:
        self._daemon = daemon
        self._local_end = f'0100007F:{daemon.front_port:04X}'
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._sample, daemon=True)
        self.peak_bytes = 0

    def __enter__(self) -> 'MemoryMonitor':
        self._thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._stopped.set()
        self._thread.join()

    def _sample(self) -> None:
        while not self._stopped.wait(SAMPLE_SECONDS):
            used_bytes = self._resident_bytes() + self._unread_bytes()
            self.peak_bytes = max(self.peak_bytes, used_bytes)

    def _resident_bytes(self) -> int:
        path = Path(f'/proc/{self._daemon.process.pid}/statm')
        return int(path.read_text(encoding='ascii').split()[1]) * PAGE_BYTES

    def _unread_bytes(self) -> int:
        """Return what callers have sent and the daemon has not read."""
        lines = Path('/proc/net/tcp').read_text(encoding='ascii').splitlines()
        rows = [line.split() for line in lines[1:]]
        return sum(
            int(row[4].partition(':')[2], 16)
            for row in rows
            if row[1] == self._local_end and row[3] != LISTENING
        )
