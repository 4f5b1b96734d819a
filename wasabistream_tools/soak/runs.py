"""One run of a soak: daemons, stand-ins, clients and faults of a seed."""

import math
import os
import random
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from wasabistream_tools.soak import linked_entries, sites
from wasabistream_tools.soak.clients import (
    DENSE,
    PROBING,
    SPARSE,
    STREAMING,
    Client,
    Traffic,
)
from wasabistream_tools.soak.faults import (
    LINK_FAULTS,
    STOP_FAULTS,
    FaultContext,
    play_series,
)
from wasabistream_tools.soak.links import LinkNetwork
from wasabistream_tools.soak.operators import Operator
from wasabistream_tools.soak.processes import (
    Daemon,
    EntryChoice,
    OneEntry,
    Rotation,
)
from wasabistream_tools.soak.records import Facts, HeldUp, Recorder, now
from wasabistream_tools.soak.servers import (
    EngineServer,
    MovedMemory,
    PlainServer,
    StandInServer,
)
from wasabistream_tools.soak.stores import StandInStore

READY_TIMEOUT_SECONDS = 90.0
POLL_SECONDS = 0.1
# Entries find each other and the load of the servers.
SETTLING_SECONDS = 2.0
# No process is started or stopped by the faults for this long at the end.
QUIET_SECONDS = 2.0
RUN_END_SECONDS = 2.0
ENTRIES_PER_ENGINE = 4
MIN_ENGINE_COUNT = 4
AGENT_COUNT = 2
# One of this many engines, and of plain servers, frames its answers.
FRAMED_INTERVAL = 2
# The same for runs with faults around orders that stop streams.
STOPPED_AGENT_COUNT = 3
STOPPED_FRAMED_INTERVAL = 4
ENTRY_MODULE = 'wasabistream.platform.entry_daemon'
AGENT_MODULE = 'wasabistream.platform.agent_daemon'
PLAIN_PER_SERVICE = 2


@dataclass(frozen=True)
class RunOptions:
    """Hold the options of a run."""

    seed: int
    duration_seconds: float
    entry_count: int
    # Clients beside each entry.
    client_count: int
    faults: tuple[str, ...]
    folder: Path
    size: sites.SiteSize = sites.SiteSize()


class SoakRun:
    """Start everything, play the faults and return the facts."""

    def __init__(self, options: RunOptions) -> None:
        self._options = options
        self._random = random.Random(options.seed)
        self._recorder = Recorder()
        self._stopped = threading.Event()
        self._network = sites.Network()
        self._moved_memory = MovedMemory()
        size = options.size
        self._data_centres = sites.DATA_CENTRES[: size.data_centre_count]
        self._store = StandInStore(size.page_limit)
        self._operator = Operator(
            self._store,
            self._recorder,
            random.Random(options.seed),
            size.filler_route_count,
        )
        # Those of the entries and agents.
        self._processors = _choose_processors(
            options.seed, size.processor_count
        )
        self._links = LinkNetwork()
        # The proxies take processor time, so other runs do without them.
        self._has_link_faults = not LINK_FAULTS.isdisjoint(options.faults)
        stop_faults = [name for name in options.faults if name in STOP_FAULTS]
        self._agent_count = STOPPED_AGENT_COUNT if stop_faults else AGENT_COUNT
        self._framed_interval = (
            STOPPED_FRAMED_INTERVAL if stop_faults else FRAMED_INTERVAL
        )
        self._server_count = 0
        self._servers: list[StandInServer] = []
        self._entries: list[Daemon] = []
        self._agents: list[Daemon] = []
        self.traffic = self._random.choice(
            (SPARSE, DENSE, *(STREAMING for _ in stop_faults))
        )

    def run(self, report_progress: Callable[[str], None]) -> Facts:
        """Run the seed; ends all that it started, also on an exception."""
        try:
            self._start(report_progress)
            self._play(report_progress)
        finally:
            self._end()
        return Facts(self._recorder.snapshot())

    def _start(self, report_progress: Callable[[str], None]) -> None:
        self._start_servers()
        self._operator.start()
        self._start_daemons()
        begun_at_seconds = time.monotonic()
        deadline = begun_at_seconds + READY_TIMEOUT_SECONDS
        while not all(entry.is_ready() for entry in self._entries):
            if time.monotonic() > deadline:
                raise TimeoutError('entries are not ready')
            time.sleep(POLL_SECONDS)
        taken = time.monotonic() - begun_at_seconds
        report_progress(
            f'{len(self._entries)} entries and {len(self._agents)} agents '
            f'ready in {taken:.1f} s, {self.traffic.name} traffic'
        )
        time.sleep(SETTLING_SECONDS)

    def _play(self, report_progress: Callable[[str], None]) -> None:
        options = self._options
        rotation = Rotation(self._entries, self._stopped)
        context = FaultContext(
            tuple(self._entries),
            tuple(self._agents),
            self._operator,
            self._recorder,
            self._replace_server,
            self._links,
            tuple(self._processors),
        )
        client_count = math.ceil(
            options.entry_count
            * options.client_count
            * self.traffic.client_ratio
        )
        clients = [
            self._build_client(f's{options.seed}-{number}', number, rotation)
            for number in range(client_count)
        ]
        clients.extend(self._build_probes())
        with ThreadPoolExecutor(len(clients) + 1) as pool:
            futures = [
                pool.submit(client.run, self._stopped) for client in clients
            ]
            pool.submit(self._watch_processes)
            try:
                play_series(
                    context,
                    options.faults,
                    options.duration_seconds,
                    self._random,
                )
                time.sleep(QUIET_SECONDS)
            except KeyboardInterrupt:
                # Clients would wait for their answers.
                self._end_daemons()
                raise
            finally:
                self._stopped.set()
        for future in futures:
            future.result()
        report_progress('faults and clients have ended')

    def _build_client(
        self,
        name: str,
        number: int,
        rotation: EntryChoice,
        traffic: Traffic | None = None,
    ) -> Client:
        return Client(
            name,
            self._data_centres[number % len(self._data_centres)],
            traffic or self.traffic,
            rotation,
            self._operator,
            self._recorder,
            self._options.seed,
        )

    def _build_probes(self) -> list[Client]:
        return [
            self._build_client(
                f'p{self._options.seed}-{number}-{entry.name}',
                number,
                OneEntry(entry),
                PROBING,
            )
            for entry in self._entries
            for number in range(self._options.size.probe_count)
        ]

    def _watch_processes(self) -> None:
        due_seconds = now() + POLL_SECONDS
        while not self._stopped.wait(POLL_SECONDS):
            self._recorder.add(HeldUp(now(), max(now() - due_seconds, 0)))
            due_seconds = now() + POLL_SECONDS
            for daemon in (*self._entries, *self._agents):
                if daemon.stop_lock.acquire(blocking=False):
                    if daemon.record_own_exit():
                        daemon.start()
                    daemon.stop_lock.release()

    def _start_servers(self) -> None:
        engine_count = max(
            MIN_ENGINE_COUNT, self._options.entry_count // ENTRIES_PER_ENGINE
        )
        for number in range(engine_count):
            self._add_engine(number + 1, has_agent=number < self._agent_count)
        address = self._network.address(sites.PLAIN_SUBNET, 1)
        for service in sites.PLAIN_SERVICES * PLAIN_PER_SERVICE:
            self._add_server(service, self._server_count, address)
        for number in range(self._options.size.spare_server_count):
            self._add_server(sites.SPARE_SERVICE, number, address)

    def _add_engine(self, number: int, *, has_agent: bool) -> None:
        address = self._network.address(sites.ENGINE_SUBNET, number)
        # The agent beside an engine knows its address.
        port = sites.ENGINE_PORT if has_agent else 0
        server = self._add_server(sites.ENGINE_SERVICE, number, address, port)
        if has_agent:
            node = {
                **self._build_node(f'agent-{number}', address, server),
                'app': server.endpoint,
                'service': server.service,
            }
            self._agents.append(self._build_daemon(AGENT_MODULE, node))

    def _replace_server(self, server: StandInServer) -> None:
        """Start a server with a new id where one has left."""
        address, _, port = server.endpoint.partition(':')
        kept_port = int(port) if server.service == sites.ENGINE_SERVICE else 0
        number = self._data_centres.index(server.data_centre)
        self._add_server(server.service, number, address, kept_port)

    def _add_server(
        self, service: str, number: int, address: str, port: int = 0
    ) -> StandInServer:
        self._server_count += 1
        arguments = (
            f'{service}-{self._server_count}',
            service,
            self._data_centres[number % len(self._data_centres)],
            address,
            self._recorder,
            port,
        )
        server: StandInServer
        if service == sites.ENGINE_SERVICE:
            server = EngineServer(
                *arguments,
                moved_memory=self._moved_memory,
                seed=self._options.seed,
                # Streams of the others end with their connection.
                is_framed=self._server_count % self._framed_interval == 0,
            )
        else:
            # Those of a service are two apart.
            pair_number = self._server_count // len(sites.PLAIN_SERVICES)
            server = PlainServer(
                *arguments,
                seed=self._options.seed,
                is_framed=pair_number % FRAMED_INTERVAL == 0,
            )
        self._servers.append(server)
        self._operator.add_server(server)
        return server

    def _start_daemons(self) -> None:
        addresses = [
            self._network.address(sites.ENTRY_SUBNET, number + 1)
            for number in range(self._options.entry_count)
        ]
        seeds = [
            f'{address}:{sites.CONTROL_PORT}'
            for address in addresses[: sites.MAX_SEED_COUNT]
        ]
        module = ENTRY_MODULE
        if self._has_link_faults:
            module = linked_entries.__name__
        for number, address in enumerate(addresses):
            data_centre = self._data_centres[number % len(self._data_centres)]
            name = f'entry-{number + 1}'
            node = sites.build_node(
                name, address, data_centre, self._open_store_port(name)
            )
            node['seeds'] = seeds
            node['listen'] = {
                'front': f'{address}:{sites.FRONT_PORT}',
                'ready': f'{address}:{sites.READY_PORT}',
                'control': f'{address}:{sites.CONTROL_PORT}',
            }
            if self._has_link_faults:
                self._links.add_entry(
                    (linked_entries.proxy_address(address), sites.CONTROL_PORT),
                    (address, sites.CONTROL_PORT),
                )
            self._entries.append(self._build_daemon(module, node))
        for daemon in (*self._entries, *self._agents):
            daemon.start()

    def _open_store_port(self, name: str) -> int:
        rate = self._options.size.store_bytes_per_second
        if rate:
            self._store.bytes_per_second[name] = rate
        return self._store.open_port(name)

    def _build_node(
        self, name: str, address: str, server: StandInServer
    ) -> dict[str, Any]:
        node = sites.build_node(
            name, address, server.data_centre, self._store.port
        )
        seed = self._network.address(sites.ENTRY_SUBNET, 1)
        return {**node, 'seeds': [f'{seed}:{sites.CONTROL_PORT}']}

    def _build_daemon(self, module: str, node: dict[str, Any]) -> Daemon:
        return Daemon(
            module,
            node,
            self._options.folder,
            self._recorder,
            self._processors,
        )

    def _end_daemons(self) -> None:
        for daemon in (*self._entries, *self._agents):
            daemon.end()

    def _end(self) -> None:
        self._stopped.set()
        self._operator.stop()
        self._end_daemons()
        self._links.stop()
        deadline = time.monotonic() + RUN_END_SECONDS
        while time.monotonic() < deadline and any(
            server.has_connections() for server in self._servers
        ):
            time.sleep(POLL_SECONDS)
        for server in self._servers:
            server.stop()
        self._store.stop()
        self._network.release()


def _choose_processors(seed: int, count: int) -> list[int]:
    """Return processors from one that the seed names on, or all for 0."""
    processors = sorted(os.sched_getaffinity(0))
    first = seed % len(processors)
    rotated = processors[first:] + processors[:first]
    return rotated[:count] if count else processors
