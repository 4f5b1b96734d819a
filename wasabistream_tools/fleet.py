"""Fleet of daemons and stand-ins as processes on the loopback address.

For tools and tests only; the daemons start no processes.
"""

import hashlib
import json
import random
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass
from typing import Any

import urllib3

ADDRESS = '127.0.0.1'
START_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 10.0
POLL_INTERVAL_SECONDS = 0.05
DOCUMENT_KEY = 'wasabistream/document'
VM_LIST_KEY = 'wasabistream/vms'
# Below the range of ephemeral ports, so that no outgoing connection takes a
# port before its daemon has bound it.
PORT_RANGE = (15000, 32000)

_used_ports: set[int] = set()


def free_port() -> int:
    """Return a free port that was not returned before in this process."""
    while True:
        port = random.randint(*PORT_RANGE)
        if port in _used_ports:
            continue
        _used_ports.add(port)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((ADDRESS, port))
            except OSError:
                continue
        return port


@dataclass
class FleetProcess:
    """Hold one running process and its ports."""

    name: str
    process: subprocess.Popen[bytes]
    http_port: int = 0
    link_port: int = 0
    command_line: tuple[str, ...] = ()

    @property
    def url(self) -> str:
        """Return the base URL of the process."""
        return f'http://{ADDRESS}:{self.http_port}'


class Fleet:
    """Start and stop the processes of a fleet and publish its configuration."""

    def __init__(self) -> None:
        self.http = urllib3.PoolManager(maxsize=64, retries=False)
        self.processes: dict[str, FleetProcess] = {}
        # Items of the VM list to publish, by process name.
        self.vms: dict[str, dict[str, Any]] = {}
        # Names of entries to which a load balancer sends no new requests.
        self.out_of_rotation: set[str] = set()
        self.configuration = self._start_configuration()

    def __enter__(self) -> 'Fleet':
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def add_engine(
        self,
        name: str,
        data_centre: str,
        agent_flags: dict[str, Any] | None = None,
        **options: Any,
    ) -> None:
        """Start an engine stand-in and its agent.

        `options` are fields of EngineOptions.
        """
        backend = self._start_stand_in(
            f'{name}-engine', 'wasabistream_tools.engine_server', options
        )
        flags = {'backend_url': backend.url, **(agent_flags or {})}
        self.add_agent(name, data_centre, flags)

    def add_service(
        self,
        name: str,
        data_centre: str,
        service: str,
        agent_flags: dict[str, Any] | None = None,
        **options: Any,
    ) -> None:
        """Start a service stand-in and its agent."""
        backend = self._start_stand_in(
            f'{name}-service',
            'wasabistream_tools.service',
            {'name': name, **options},
        )
        flags = {
            'backend_url': backend.url,
            'backend_kind': 'service',
            'service': service,
            **(agent_flags or {}),
        }
        self.add_agent(name, data_centre, flags)
        self.vms[name]['service'] = service

    def add_agent(
        self, name: str, data_centre: str, flags: dict[str, Any]
    ) -> None:
        """Start an agent and add it to `vms`, without publishing the list."""
        link_port = free_port()
        self._start_daemon(
            'agent',
            name,
            {
                'process_id': name,
                'data_centre': data_centre,
                'link_port': link_port,
                **flags,
            },
        )
        self.processes[name].link_port = link_port
        self.vms[name] = _build_vm_item(name, 'agent', link_port, data_centre)

    def add_entry(self, name: str, data_centre: str, **flags: Any) -> None:
        """Start an entry and add it to `vms`, without publishing the list."""
        http_port, link_port = free_port(), free_port()
        self._start_daemon(
            'entry',
            name,
            {
                'process_id': name,
                'data_centre': data_centre,
                'http_port': http_port,
                'link_port': link_port,
                'configuration_url': self.configuration.url,
                # No load balancer in front of the fleet must notice the drain.
                'drain_notice_seconds': 0,
                **flags,
            },
        )
        self.processes[name].http_port = http_port
        self.processes[name].link_port = link_port
        self.vms[name] = _build_vm_item(name, 'entry', link_port, data_centre)

    def publish_document(self, document: dict[str, Any]) -> None:
        """Publish a configuration document."""
        self.publish(DOCUMENT_KEY, json.dumps(document).encode())

    def publish_vms(self) -> None:
        """Publish the VM list."""
        body = {'vms': list(self.vms.values())}
        self.publish(VM_LIST_KEY, json.dumps(body).encode())

    def publish(self, key: str, body: bytes) -> None:
        """Publish a value in the configuration stand-in."""
        self.http.request(
            'PUT', f'{self.configuration.url}/v1/kv/{key}', body=body
        )

    def wait_until_ready(self, backend_count: int) -> None:
        """Wait until each entry can use `backend_count` backend servers.

        An entry links to the agents of its own data centre, and to others only
        on demand. So it is enough if it can use all of its data centre.
        Raises TimeoutError.
        """
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        for fleet_process in self.entries():
            local_count = self._local_agent_count(fleet_process.name)
            required_count = min(backend_count, local_count)
            while self._ready_backend_count(fleet_process) < required_count:
                if time.monotonic() > deadline:
                    raise TimeoutError(f'{fleet_process.name} is not ready')
                time.sleep(POLL_INTERVAL_SECONDS)

    def entries(self) -> list[FleetProcess]:
        """Return the entries that were not killed and are in rotation."""
        return [
            self.processes[name]
            for name, vm in self.vms.items()
            if vm['role'] == 'entry'
            and name in self.processes
            and name not in self.out_of_rotation
        ]

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.processes[name].process.send_signal(number)

    def restart(self, name: str) -> None:
        """Wait until a process has exited and start it again, without state."""
        fleet_process = self.processes[name]
        fleet_process.process.wait()
        fleet_process.process = subprocess.Popen(fleet_process.command_line)

    def kill(self, name: str) -> None:
        """Kill a process and forget it; the VM list keeps its item."""
        fleet_process = self.processes.pop(name)
        fleet_process.process.kill()
        fleet_process.process.wait()

    def stop(self) -> None:
        """Terminate the daemons, last started first, then the stand-ins."""
        daemons = [
            self.processes[name] for name in self.vms if name in self.processes
        ]
        self._terminate_all(list(reversed(daemons)))
        self._terminate_all(list(self.processes.values()))

    def _terminate_all(self, targets: list[FleetProcess]) -> None:
        for target in targets:
            # A paused process would not react to SIGTERM.
            target.process.send_signal(signal.SIGCONT)
            target.process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
        for target in targets:
            try:
                target.process.wait(max(deadline - time.monotonic(), 0.1))
            except subprocess.TimeoutExpired:
                target.process.kill()
                target.process.wait()

    def _start_configuration(self) -> FleetProcess:
        return self._start_stand_in(
            'configuration', 'wasabistream_tools.configuration', {}
        )

    def _start_stand_in(
        self, name: str, module: str, options: dict[str, Any]
    ) -> FleetProcess:
        port = free_port()
        fleet_process = self._start_process(
            name, module, {'address': ADDRESS, 'port': port, **options}
        )
        fleet_process.http_port = port
        self._wait_until_listening(port)
        return fleet_process

    def _start_daemon(
        self, subcommand: str, name: str, flags: dict[str, Any]
    ) -> None:
        flags = {'address': ADDRESS, 'log_level': 'WARNING', **flags}
        self._start_process(name, 'wasabistream', flags, subcommand)

    def _start_process(
        self, name: str, module: str, flags: dict[str, Any], *subcommands: str
    ) -> FleetProcess:
        arguments = [f'--{flag}={text}' for flag, text in flags.items()]
        command = (sys.executable, '-m', module, *subcommands, *arguments)
        process = subprocess.Popen(command)
        self.processes[name] = FleetProcess(name, process, command_line=command)
        return self.processes[name]

    def _wait_until_listening(self, port: int) -> None:
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            try:
                socket.create_connection((ADDRESS, port), 1).close()
            except OSError:
                time.sleep(POLL_INTERVAL_SECONDS)
            else:
                return
        raise TimeoutError(f'nothing listens on port {port}')

    def _local_agent_count(self, entry_name: str) -> int:
        data_centre = self.vms[entry_name]['data_centre']
        return sum(
            vm['role'] == 'agent' and vm['data_centre'] == data_centre
            for vm in self.vms.values()
        )

    def _ready_backend_count(self, entry: FleetProcess) -> int:
        # -1 means not ready, as 0 is enough where a data centre has no agent.
        try:
            response = self.http.request('GET', f'{entry.url}/readyz')
        except urllib3.exceptions.HTTPError:
            return -1
        report = response.json()
        return int(report['backend_count']) if report['ready'] else -1


def credential_digest(credential: str) -> str:
    """Return the SHA-256 hex digest of a credential for a document."""
    return hashlib.sha256(credential.encode()).hexdigest()


def _build_vm_item(
    name: str, role: str, link_port: int, data_centre: str
) -> dict[str, Any]:
    return {
        'id': name,
        'role': role,
        'address': ADDRESS,
        'link_port': link_port,
        'data_centre': data_centre,
        'state': 'live',
    }
