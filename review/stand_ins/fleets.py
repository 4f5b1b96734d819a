"""Small deployment on loopback: daemons as processes, the rest as threads."""

import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from review.stand_ins.records import Record
from wasabistream_tools.soak import sites
from wasabistream_tools.soak.servers import StandInServer
from wasabistream_tools.soak.stores import StandInStore

ROOT = Path(__file__).resolve().parents[2]
ENTRY_MODULE = 'wasabistream.platform.entry_daemon'
AGENT_MODULE = 'wasabistream.platform.agent_daemon'
READY_SECONDS = 40.0
SETTLING_SECONDS = 3.5
PROBE = b'GET /-/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n'
# What the deploy file's programs get of the environment.
PASSED_VARIABLES = ('PATH', 'HOME', 'LANG')


def _keep(document: dict[str, Any]) -> None:
    """Change nothing."""


class Daemon:
    """Start one program of the deploy file and signal it."""

    def __init__(self, module: str, node: dict[str, Any], folder: Path) -> None:
        self.address: str = node['ip']
        self.name: str = node['node_name']
        self.data_centre: str = node['zone']
        self._module = module
        self._log_path = folder / f'{self.name}.log'
        self._node_path = folder / f'{self.name}.yaml'
        self._node_path.write_text(json.dumps(node), encoding='utf-8')
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        variables = {
            name: os.environ[name]
            for name in PASSED_VARIABLES
            if name in os.environ
        }
        with self._log_path.open('ab') as log:
            self._process = subprocess.Popen(
                ('python3', '-m', self._module),
                cwd=ROOT,
                env={
                    **variables,
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'WASABISTREAM_NODE_FILE': str(self._node_path),
                    'WASABISTREAM_METRICS_PORT': str(sites.METRICS_PORT),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def pid(self) -> int:
        """Return the id of the process; 0 if none runs."""
        return self._process.pid if self._process else 0

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def wait_for_exit(self, seconds: float) -> None:
        """Wait for the exit; send SIGKILL after the time."""
        if self._process is None:
            return
        try:
            self._process.wait(seconds)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()

    def end(self) -> None:
        """End the process."""
        if self._process is not None:
            # A stopped process ends as well.
            self._process.kill()
            self._process.wait()

    def is_ready(self) -> bool:
        """Return whether the readiness probe is answered with 200."""
        try:
            with socket.create_connection(
                (self.address, sites.READY_PORT), 0.5
            ) as sock:
                sock.sendall(PROBE)
                return b' 200 ' in sock.recv(100)
        except OSError:
            return False


class Fleet:
    """Hold the deployment of one case."""

    def __init__(self, record: Record, entry_count: int = 3) -> None:
        self.record = record
        self.network = sites.Network()
        self.store = StandInStore()
        self.servers: dict[str, StandInServer] = {}
        # Servers whose heartbeats do not reach the store.
        self.cut_off_ids: set[str] = set()
        self.entries: list[Daemon] = []
        self.agents: dict[str, Daemon] = {}
        self.folder = Path(tempfile.mkdtemp(prefix='wasabi-case-'))
        # Called at the end.
        self.closers: list[Callable[[], None]] = []
        self._entry_count = entry_count
        self._stopped = threading.Event()
        self._write_lock = threading.Lock()
        self._version = 0
        # Changes each configuration before it is written.
        self.configure: Callable[[dict[str, Any]], None] = _keep

    def entry_address(self, number: int) -> str:
        """Return the address of an entry, from 1."""
        return self.network.address(sites.ENTRY_SUBNET, number)

    def engine_address(self, number: int) -> str:
        """Return the address of an engine's machine, from 1."""
        return self.network.address(sites.ENGINE_SUBNET, number)

    def plain_address(self, number: int) -> str:
        """Return the address of a plain server, from 1."""
        return self.network.address(sites.PLAIN_SUBNET, number)

    def data_centre(self, number: int) -> str:
        """Return a data centre, one after the other."""
        return sites.DATA_CENTRES[(number - 1) % len(sites.DATA_CENTRES)]

    def add_server(self, server: StandInServer) -> None:
        """List a server and keep its item alive."""
        self.servers[server.server_id] = server
        self.write_server(server)

    def write_server(self, server: StandInServer) -> bool:
        """Write the item of a server, if the store answers."""
        return self.write(f'servers/{server.server_id}', server.build_item())

    def write(self, key: str, fields: Any) -> bool:
        """Write an item, or remove it; return whether the store answered."""
        with self._write_lock:
            if self.store.failing_status or self.store.silent:
                return False
            if fields is None:
                if key in self.store.items:
                    self.store.remove(key)
                return True
            revision = self.store.revision + 1
            self.store.put(sites.build_row(key, revision, fields))
            return True

    def write_configuration(self) -> None:
        """Write a configuration with all routes of the soak."""
        self._version += 3
        services = {kind.prefix: kind.service for kind in sites.BASE_KINDS}
        document = sites.build_document(
            self._version, services, frozenset((sites.BASE_KEY,))
        )
        self.configure(document)
        self.write('op/config', document)
        self.record.write('configuration', version=self._version)

    def start(self) -> None:
        """Start entries and agents and wait until they serve."""
        self.write_configuration()
        threading.Thread(target=self._write_heartbeats, daemon=True).start()
        self._build_daemons()
        for daemon in (*self.entries, *self.agents.values()):
            daemon.start()
        deadline = time.monotonic() + READY_SECONDS
        while not all(entry.is_ready() for entry in self.entries):
            if time.monotonic() > deadline:
                raise TimeoutError('entries are not ready')
            time.sleep(0.1)
        time.sleep(SETTLING_SECONDS)
        self.record.write('started', entries=len(self.entries))

    def stop(self) -> None:
        """End everything that was started."""
        self._stopped.set()
        for daemon in (*self.entries, *self.agents.values()):
            daemon.end()
        for server in self.servers.values():
            server.stop()
        for close in self.closers:
            close()
        self.store.stop()
        self.network.release()
        logs = os.environ.get('CASE_LOGS')
        if logs:
            shutil.copytree(self.folder, logs, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def _write_heartbeats(self) -> None:
        while not self._stopped.wait(sites.HEARTBEAT_SECONDS):
            for server in list(self.servers.values()):
                is_cut_off = server.server_id in self.cut_off_ids
                if not (server.is_stopped or is_cut_off):
                    self.write_server(server)

    def _build_daemons(self) -> None:
        addresses = [
            self.entry_address(number + 1)
            for number in range(self._entry_count)
        ]
        seeds = [f'{text}:{sites.CONTROL_PORT}' for text in addresses[:3]]
        for number, address in enumerate(addresses, start=1):
            node = sites.build_node(
                f'entry-{number}',
                address,
                self.data_centre(number),
                self.store.open_port(f'entry-{number}'),
            )
            node['seeds'] = seeds
            node['listen'] = {
                'front': f'{address}:{sites.FRONT_PORT}',
                'ready': f'{address}:{sites.READY_PORT}',
                'control': f'{address}:{sites.CONTROL_PORT}',
            }
            self.entries.append(Daemon(ENTRY_MODULE, node, self.folder))
        for server in self.servers.values():
            if server.service != sites.ENGINE_SERVICE:
                continue
            address = server.endpoint.partition(':')[0]
            node = sites.build_node(
                f'agent-{server.server_id}',
                address,
                server.data_centre,
                self.store.port,
            )
            node['seeds'] = seeds
            node['app'] = server.endpoint
            node['service'] = server.service
            self.agents[server.server_id] = Daemon(
                AGENT_MODULE, node, self.folder
            )
