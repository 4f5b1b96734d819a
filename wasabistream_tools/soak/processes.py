"""Daemons of the platform as processes that the soak starts and ends."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

from wasabistream_tools.soak import sites
from wasabistream_tools.soak.linked_entries import OWN_ADDRESS_VARIABLE
from wasabistream_tools.soak.records import (
    Disturbance,
    Exited,
    Recorder,
    Signalled,
    Started,
    now,
)

GRACE_SECONDS: float = sites.BOUNDS['grace_s']
PROBE_TIMEOUT_SECONDS = 0.5
PROBE_INTERVAL_SECONDS = 1.0
# Failed probes after which an entry gets no new connections.
PROBE_MISS_COUNT = 2
PROBE = b'GET /-/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n'


class Daemon:
    """Start, signal and restart one daemon."""

    def __init__(
        self,
        module: str,
        node: dict[str, Any],
        folder: Path,
        recorder: Recorder,
        processors: Iterable[int],
    ) -> None:
        self.name: str = node['node_name']
        self.address: str = node['ip']
        self.data_centre: str = node['zone']
        self.is_entry = 'listen' in node
        # Held by the fault that stops the daemon.
        self.stop_lock = threading.Lock()
        self._module = module
        self._processors = tuple(processors)
        self._recorder = recorder
        self._log_path = folder / f'{self.name}.log'
        self._node_path = folder / f'{self.name}.yaml'
        # YAML includes JSON.
        self._node_path.write_text(json.dumps(node), encoding='utf-8')
        self._process: subprocess.Popen[bytes] | None = None
        # Held while the process is started or ended for good.
        self._start_lock = threading.Lock()
        self._is_ended = False

    def start(self) -> None:
        """Start the process, unless the run has ended."""
        with self._start_lock:
            if not self._is_ended:
                self._process = self._start_process()
                os.sched_setaffinity(self._process.pid, self._processors)
                self._recorder.add(Started(self.name, now()))

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        process = self._process
        if process is not None and process.poll() is None:
            self._recorder.add(Signalled(self.name, now(), number))
            process.send_signal(number)

    def pause(self, seconds: float) -> None:
        """Stop the process without its knowledge; it goes on afterwards."""
        process = self._process
        if process is None:
            return
        began_at_seconds = now()
        process.send_signal(signal.SIGSTOP)
        try:
            time.sleep(seconds)
        finally:
            process.send_signal(signal.SIGCONT)
            self._recorder.add(
                Disturbance(self.name, began_at_seconds, now(), 'paused')
            )

    def wait_for_exit(self, seconds: float) -> None:
        """Wait for the exit; send SIGKILL once the grace time is over."""
        process = self._process
        if process is None:
            return
        is_killed = False
        try:
            process.wait(seconds)
        except subprocess.TimeoutExpired:
            is_killed = True
            process.kill()
            process.wait()
        self._recorder.add(
            Exited(self.name, now(), process.returncode, is_killed)
        )
        self._process = None

    def kill(self) -> None:
        """End a process that runs without a warning, as a crash does."""
        process = self._process
        if process is not None and process.poll() is None:
            self.send_signal(signal.SIGKILL)
            process.wait()
            self._process = None

    def record_own_exit(self) -> bool:
        """Record the end of a process that nobody stopped."""
        process = self._process
        if process is None or process.poll() is None:
            return False
        self._process = None
        self._recorder.add(Exited(self.name, now(), process.returncode))
        return True

    def end(self) -> None:
        """End the process without a record, at the end of the run."""
        with self._start_lock:
            self._is_ended = True
            process = self._process
        if process is not None:
            process.kill()
            process.wait()

    def is_ready(self) -> bool:
        """Return whether the readiness probe is answered with 200."""
        try:
            return b' 200 ' in self._probe()
        except OSError:
            return False

    def _start_process(self) -> subprocess.Popen[bytes]:
        with self._log_path.open('ab') as log:
            return subprocess.Popen(
                (
                    sys.executable,
                    '-m',
                    self._module,
                ),
                env={
                    **os.environ,
                    'WASABISTREAM_NODE_FILE': str(self._node_path),
                    'WASABISTREAM_METRICS_PORT': str(sites.METRICS_PORT),
                    OWN_ADDRESS_VARIABLE: self.address,
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _probe(self) -> bytes:
        with socket.create_connection(
            (self.address, sites.READY_PORT), PROBE_TIMEOUT_SECONDS
        ) as sock:
            sock.sendall(PROBE)
            return sock.recv(100)


class EntryChoice(Protocol):
    """Choose entries for new connections."""

    def choose(self, data_centre: str) -> list[Daemon]:
        """Return the entries that get connections from a data centre."""


@dataclass(frozen=True)
class OneEntry:
    """Choose the same entry always, also while it is not ready."""

    entry: Daemon

    def choose(self, data_centre: str) -> list[Daemon]:
        """Return the entry."""
        return [self.entry]


class Rotation:
    """Choose entries for new connections as the platform does."""

    def __init__(self, entries: list[Daemon], stopped: threading.Event) -> None:
        self._entries = entries
        self._stopped = stopped
        self._misses = dict.fromkeys((entry.name for entry in entries), 0)
        for entry in entries:
            threading.Thread(
                target=self._probe, args=(entry,), daemon=True
            ).start()

    def choose(self, data_centre: str) -> list[Daemon]:
        """Return the entries that get connections from a data centre."""
        local = [
            entry for entry in self._entries if entry.data_centre == data_centre
        ]
        ready = self._ready(local)
        if not ready:
            return self._ready(self._entries) or self._entries
        return local if len(ready) * 2 < len(local) else ready

    def _ready(self, entries: list[Daemon]) -> list[Daemon]:
        return [
            entry
            for entry in entries
            if self._misses[entry.name] < PROBE_MISS_COUNT
        ]

    def _probe(self, entry: Daemon) -> None:
        while not self._stopped.wait(PROBE_INTERVAL_SECONDS):
            missed = not entry.is_ready()
            self._misses[entry.name] = (
                self._misses[entry.name] + 1 if missed else 0
            )
