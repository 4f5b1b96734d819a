"""Entries, agents and engine stand-ins of several software versions."""

import socket
import threading
import unittest
from collections.abc import Mapping
from contextlib import ExitStack
from typing import Any, Protocol

from tests.builders import wait_until
from tests.platform_builders import CONFIGURATION, NODE, SERVER, build_row
from tests.platform_paths import (
    BackendHandler,
    StandInBackend,
    answer_report,
    build_entry,
    exchange,
)
from wasabistream.platform.agent_applications import PlatformAgent
from wasabistream.platform.entry_applications import PlatformEntry
from wasabistream.platform.node_applications import ProcessOptions
from wasabistream.platform.node_files import decode_node
from wasabistream_tools.fleet import free_port
from wasabistream_tools.soak.stores import StandInStore

WAIT_SECONDS = 10.0
# Of entries and of the agents of four engines.
ADDRESSES = tuple(f'127.0.0.{number}' for number in range(1, 6))
EVENT_COUNT = 6
# Events of a stream before its engine waits until the test goes on.
FIRST_EVENT_COUNT = 3
REMAINING_MS = 5000
# Time between two starts of an engine.
RESTART_MS = 60_000
# Port of the store for an entry that can be cut off from it.
CUT_OFF = 'cut-off'


def find_shared_port() -> int:
    """Return a port that is free at the addresses of entries and agents.

    The system gives it to no engine that binds any port.
    """
    while True:
        port = free_port()
        with ExitStack() as stack:
            try:
                for address in ADDRESSES:
                    stack.enter_context(socket.create_server((address, port)))
            except OSError:
                # Another process listens there.
                continue
            return port


def build_head(request_id: str, *lines: str, path: str = '/chat/a') -> bytes:
    """Return the head of a request for a stream."""
    fixed = (
        f'GET {path} HTTP/1.1',
        'Host: host.example',
        'Authorization: Bearer key-1',
        f'Wasabistream-Request-Attempt-Id: {request_id}',
        f'Wasabistream-Deadline-Remaining: {REMAINING_MS}',
        'Connection: close',
    )
    return '\r\n'.join((*fixed, *lines, '', '')).encode()


def build_resume(request_id: str, first_id: str, event_id: int = 3) -> bytes:
    """Return the head of a request that resumes a stream."""
    return build_head(
        request_id, f'Last-Event-Id: {event_id}', f'Resumes: {first_id}'
    )


def receive_head(port: int, raw: bytes) -> str:
    """Send a request and return the head of its answer."""
    address = ('127.0.0.1', port)
    with socket.create_connection(address, timeout=WAIT_SECONDS) as sock:
        sock.sendall(raw)
        with sock.makefile('rb') as lines:
            return b''.join(iter(lines.readline, b'\r\n')).decode()


class QuietBackend(StandInBackend):
    """Stand-in that prints nothing about callers that have left."""

    # Many requests may arrive at once; the base class lets five wait.
    request_queue_size = 64

    def handle_error(self, *arguments: Any) -> None:
        """Ignore the error of a connection."""


class AgentEngine(Protocol):
    """An engine stand-in beside which an agent runs."""

    server_id: str
    address: str

    @property
    def endpoint(self) -> str:
        """Return the address and port."""

    def stop(self) -> None:
        """End with all connections."""


class VersionedEngine:
    """Engine stand-in whose events name its software version."""

    def __init__(self, number: int, software_version: str) -> None:
        self.server_id = f's{number}'
        self.software_version = software_version
        # Agents of different machines listen at the same port.
        self.address = f'127.0.0.{number + 1}'
        # Streams that begin wait for this after their first events.
        self.released = threading.Event()
        self.stream_ids: list[str] = []
        self.started_unix_ms: int = SERVER['born'] + number
        self._backend = QuietBackend(self.address)
        self._backend.respond = self._respond

    @property
    def endpoint(self) -> str:
        """Return the address and port."""
        return f'{self.address}:{self._backend.server_address[1]}'

    def build_item(self, revision: int) -> dict[str, Any]:
        """Return the item of the store that lists the engine."""
        fields = {
            **SERVER,
            'address': self.endpoint,
            'version': self.software_version,
            'cold_remaining_ms': 0,
            'born': self.started_unix_ms,
        }
        return build_row(f'servers/{self.server_id}', revision, fields)

    def stop(self) -> None:
        """End the streams and close the port."""
        self.released.set()
        self._backend.shutdown()
        self._backend.server_close()

    def restart(self, software_version: str) -> None:
        """Start again at the same address, under the same id."""
        port: int = self._backend.server_address[1]
        self.stop()
        self.released = threading.Event()
        self.software_version = software_version
        self.started_unix_ms += RESTART_MS
        self._backend = QuietBackend(self.address, port)
        self._backend.respond = self._respond

    def _respond(self, handler: BackendHandler) -> None:
        if handler.path == '/-/report':
            answer_report(handler, born=self.started_unix_ms)
        else:
            self._stream(handler)

    def _stream(self, handler: BackendHandler) -> None:
        request_id = handler.headers['Wasabistream-Request-Attempt-Id']
        self.stream_ids.append(request_id)
        handler.send_response(200)
        handler.send_header('Wasabistream-Request-Attempt-Id', request_id)
        handler.send_header('Wasabistream-Response-Seal', 's')
        handler.send_header('Content-Type', 'text/event-stream')
        handler.send_header('Transfer-Encoding', 'chunked')
        handler.end_headers()
        last_id = int(handler.headers.get('Last-Event-Id') or 0)
        for number in range(last_id + 1, EVENT_COUNT + 1):
            if not last_id and number > FIRST_EVENT_COUNT:
                self.released.wait(WAIT_SECONDS)
            text = f'id: {number}\ndata: {self.software_version} {number}\n\n'
            piece = f'{len(text):x}\r\n{text}\r\n'
            handler.wfile.write(piece.encode())
        handler.wfile.write(b'0\r\n\r\n')
        handler.close_connection = True


class OpenStream:
    """A caller that has received the first events of a stream."""

    def __init__(self, port: int, raw: bytes) -> None:
        self._socket = socket.create_connection(
            ('127.0.0.1', port), timeout=WAIT_SECONDS
        )
        self._socket.sendall(raw)
        self.received = b''
        self.read_until(f'id: {FIRST_EVENT_COUNT}\n'.encode())

    def read_until(self, text: bytes) -> bytes:
        """Return all that has arrived once it holds a text."""
        while text not in self.received:
            piece = self._socket.recv(65536)
            if not piece:
                raise AssertionError(f'stream ended: {self.received!r}')
            self.received += piece
        return self.received

    def read_to_end(self) -> bytes:
        """Return all that arrives until the connection ends."""
        pieces = []
        while piece := self._socket.recv(65536):
            pieces.append(piece)
        return b''.join(pieces)

    def close(self) -> None:
        """Break the stream off."""
        self._socket.close()


class ResumeFleetCase(unittest.TestCase):
    """Run a store, engines with their agents, and entries one by one."""

    configuration: Mapping[str, Any] = CONFIGURATION

    def setUp(self) -> None:
        """Start a store with a configuration."""
        self.engines: list[VersionedEngine] = []
        self.agents: dict[str, PlatformAgent] = {}
        self.entries: list[PlatformEntry] = []
        self.store = StandInStore()
        self.addCleanup(self.store.stop)
        self.store.put(build_row('op/config', 2, self.configuration))
        self.link_port = find_shared_port()

    def add_engine(self, software_version: str) -> VersionedEngine:
        """Start and list an engine with its agent."""
        engine = VersionedEngine(len(self.engines) + 1, software_version)
        self.engines.append(engine)
        self.run_agent(engine)
        self.store.put(engine.build_item(self.store.revision + 1))
        return engine

    def run_agent(self, engine: AgentEngine) -> PlatformAgent:
        """Run the agent of an engine."""
        self.addCleanup(engine.stop)
        node = {
            **NODE,
            'node_name': f'side-{engine.server_id}',
            'ip': engine.address,
            'internal_ports': [self.link_port, self.link_port],
            'seeds': [],
            'app': engine.endpoint,
            'service': 'writer',
        }
        agent = PlatformAgent(decode_node(node), ProcessOptions('', 0))
        agent.on_start()
        self.agents[engine.server_id] = agent
        self.addCleanup(self.stop_agent, engine)
        return agent

    def wait_for_links(self, entry: PlatformEntry) -> None:
        """Wait until an entry has links to all agents."""
        origins = entry._agent_links.origins
        wait_until(lambda: origins.link_count == len(self.agents))

    def remove(self, engine: VersionedEngine) -> None:
        """Remove an engine from the list."""
        self.store.remove(f'servers/{engine.server_id}')

    def list_start(self, engine: VersionedEngine) -> None:
        """Write the present start of an engine to the store."""
        self.store.put(engine.build_item(self.store.revision + 1))

    def start_entry_to_cut_off(self) -> PlatformEntry:
        """Start an entry that `cut_off` cuts from the store."""
        return self.start_entry(self.store.open_port(CUT_OFF))

    def cut_off(self, entry: PlatformEntry) -> None:
        """Cut an entry from the store, without peers."""
        self.store.silent_callers.add(CUT_OFF)
        wait_until(lambda: entry.follower.is_lost)

    def start_entry(self, store_port: int = 0) -> PlatformEntry:
        """Start an entry; return once it lists all engines of the store."""
        entry = build_entry(
            store_port or self.store.port, link_port=self.link_port
        )
        entry.on_start()
        self.entries.append(entry)
        self.addCleanup(self.stop_entry, entry)
        count = sum(key.startswith('servers/') for key in self.store.items)
        wait_until(lambda: len(entry.fleet.current.servers) == count)
        return entry

    def stop_entry(self, entry: PlatformEntry) -> None:
        """Stop an entry unless it has been stopped."""
        if entry in self.entries:
            self.entries.remove(entry)
            entry.on_stop()

    def stop_agent(self, engine: AgentEngine) -> None:
        """Stop the agent of an engine unless it has been stopped."""
        agent = self.agents.pop(engine.server_id, None)
        if agent is not None:
            agent.on_stop()

    def begin(self, entry: PlatformEntry, request_id: str) -> OpenStream:
        """Return a stream of which the first events have arrived."""
        stream = OpenStream(entry.front_port, build_head(request_id))
        self.addCleanup(stream.close)
        return stream

    def find_engine(self, request_id: str) -> VersionedEngine:
        """Return the engine that runs a request."""
        return next(
            engine for engine in self.engines if request_id in engine.stream_ids
        )

    def send(self, entry: PlatformEntry, raw: bytes) -> str:
        """Send a request and return its whole answer."""
        return exchange(entry.front_port, raw).decode()
