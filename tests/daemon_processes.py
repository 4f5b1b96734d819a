"""Daemons of the platform as processes of their own."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tests.builders import wait_until
from tests.platform_builders import CONFIGURATION, NODE, SERVER, build_row
from tests.platform_paths import READINESS_PROBE, StandInBackend, exchange
from wasabistream_tools.fleet import free_port
from wasabistream_tools.soak.stores import StandInStore

KIB_BYTES = 1024
# Memory of an entry at which the platform ends it.
MEMORY_LIMIT_MB = 150


@dataclass(frozen=True)
class DaemonProcess:
    """Hold a running daemon and its ports."""

    process: subprocess.Popen[bytes]
    front_port: int
    ready_port: int
    log_path: Path
    metrics_port: int

    def is_ready(self) -> bool:
        """Return whether the readiness probe is answered with 200."""
        try:
            return b' 200 ' in exchange(self.ready_port, READINESS_PROBE)
        except OSError:
            return False

    def wait_for_log(self, text: str) -> None:
        """Wait until the process has logged a text; raises TimeoutError."""
        wait_until(lambda: text in self.log_path.read_text(encoding='utf-8'))

    def peak_memory_bytes(self) -> int:
        """Return the largest resident memory so far."""
        path = Path(f'/proc/{self.process.pid}/status')
        for line in path.read_text(encoding='ascii').splitlines():
            if line.startswith('VmHWM:'):
                return int(line.split()[1]) * KIB_BYTES
        raise AssertionError('no peak memory is stated')

    def stop_within(self, grace_seconds: float) -> float:
        """Send SIGTERM and wait; return the time until the process ended.

        Raises subprocess.TimeoutExpired after the grace time.
        """
        started_seconds = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        self.process.wait(grace_seconds)
        return time.monotonic() - started_seconds

    def kill(self) -> None:
        """End the process."""
        self.process.kill()
        self.process.wait()


def start_daemon(
    folder: str, module: str, settings: dict[str, Any]
) -> DaemonProcess:
    """Start a daemon with these settings besides the usual ones."""
    ports = {use: free_port() for use in ('front', 'ready', 'control')}
    metrics_port = free_port()
    node = {
        **NODE,
        'listen': {use: f'127.0.0.1:{port}' for use, port in ports.items()},
        'seeds': [],
        'limits': {'memory_mb': MEMORY_LIMIT_MB},
        **settings,
    }
    node_path = Path(folder) / 'boot.yaml'
    # YAML includes JSON.
    node_path.write_text(json.dumps(node), encoding='utf-8')
    log_path = Path(folder) / 'daemon.log'
    with log_path.open('wb') as log:
        process = subprocess.Popen(
            (sys.executable, '-m', f'wasabistream.platform.{module}'),
            env={
                **os.environ,
                'WASABISTREAM_NODE_FILE': str(node_path),
                'WASABISTREAM_METRICS_PORT': str(metrics_port),
            },
            stdout=log,
            stderr=log,
        )
    return DaemonProcess(
        process, ports['front'], ports['ready'], log_path, metrics_port
    )


class DaemonCase(unittest.TestCase):
    """Run an entry daemon between a store and a backend server."""

    def setUp(self) -> None:
        """Start a store and a backend server of both services."""
        self.store = StandInStore()
        self.addCleanup(self.store.stop)
        self.backend = StandInBackend()
        self.addCleanup(self.backend.server_close)
        self.addCleanup(self.backend.shutdown)
        address = f'127.0.0.1:{self.backend.server_address[1]}'
        self.store.put(build_row('op/config', 2, CONFIGURATION))
        for revision, service in enumerate(('desk', 'writer'), 3):
            row = {**SERVER, 'service': service, 'address': address}
            self.store.put(build_row(f'servers/{service}', revision, row))

    def start_entry(
        self, bounds: dict[str, Any] | None = None
    ) -> DaemonProcess:
        """Start an entry that ends with the test; wait until it is ready."""
        entry = self.start_daemon(
            'entry_daemon', bounds={**NODE['bounds'], **(bounds or {})}
        )
        wait_until(entry.is_ready)
        return entry

    def start_daemon(self, module: str, **settings: Any) -> DaemonProcess:
        """Start a daemon that ends with the test."""
        folder = tempfile.TemporaryDirectory(prefix='wasabistream-')
        self.addCleanup(folder.cleanup)
        store = {'address': f'127.0.0.1:{self.store.port}'}
        daemon = start_daemon(
            folder.name, module, {'platform': store, **settings}
        )
        self.addCleanup(daemon.kill)
        return daemon
