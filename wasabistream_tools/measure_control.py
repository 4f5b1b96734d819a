"""Measurement of what links and load reports cost an entry and an agent."""

import re
import time
from collections.abc import Sequence
from typing import Any

from wasabistream.dialers import PeerDialer
from wasabistream.links import Link
from wasabistream.messages import (
    PROTOCOL_VERSION_MAX,
    PROTOCOL_VERSION_MIN,
    Message,
)
from wasabistream.notices import Hello
from wasabistream_tools.agent_stand_ins import AgentStandIns
from wasabistream_tools.demo import demo_document
from wasabistream_tools.fleet import ADDRESS, Fleet, FleetProcess
from wasabistream_tools.linear_fits import fit_line
from wasabistream_tools.measurement_reports import MeasurementReport
from wasabistream_tools.usage import read_usage

DATA_CENTRE = 'dc-a'
BACKEND_SERVER_COUNTS = (10, 50, 100, 196)
ENTRY_COUNTS = (4, 16)
SETTLE_SECONDS = 4.0
MEASURE_SECONDS = 10.0
READY_LIMIT_SECONDS = 20.0
LINK_BYTES_PATTERN = r'wasabi_link_bytes_total\{direction="%s"\} (\S+)'
FIGURES = (
    'cpu_ratio',
    'received_bytes_per_second',
    'sent_bytes_per_second',
    'memory_bytes',
)


def run(
    servers: int | Sequence[int] = BACKEND_SERVER_COUNTS,
    seed: int = 1,
    json: bool = False,
) -> None:
    """Measure CPU time, bytes and memory by the number of links.

    `seed` only labels the rows: the stand-ins draw their load without it.
    """
    counts = [servers] if isinstance(servers, int) else list(servers)
    report = MeasurementReport(json)
    rows = []
    for count in counts:
        report.print_progress(f'entry with {count} agents')
        rows.append(_measure_entry(count))
        report.add_row(role='entry', links=count, seed=seed, **rows[-1])
    if len(set(counts)) > 1:
        slopes = {
            name: fit_line(counts, [row[name] for row in rows]).slope
            for name in FIGURES
        }
        report.add_row(
            role='entry slope per agent', links=1, seed=seed, **slopes
        )
    for count in ENTRY_COUNTS:
        report.print_progress(f'agent with {count} entries')
        report.add_row(
            role='agent', links=count, seed=seed, **_measure_agent(count)
        )
    report.close()


def _measure_entry(count: int) -> dict[str, Any]:
    stand_ins = AgentStandIns(count, DATA_CENTRE)
    stand_ins.start()
    try:
        with Fleet() as fleet:
            fleet.add_entry('entry', DATA_CENTRE)
            for stand_in in stand_ins.agents:
                vm = stand_in.build_vm()
                fleet.vms[vm['id']] = vm
            fleet.publish_document(demo_document())
            fleet.publish_vms()
            fleet.wait_until_ready(count)
            return _measure_process(
                fleet.processes['entry'],
                lambda: _read_link_bytes(fleet, fleet.processes['entry']),
            )
    finally:
        stand_ins.stop()


def _measure_agent(count: int) -> dict[str, Any]:
    with Fleet() as fleet:
        fleet.add_engine('agent', DATA_CENTRE)
        agent = fleet.processes['agent']
        handler = _LinkHandler()
        dialers = [
            PeerDialer(ADDRESS, agent.link_port, _build_hello(number), handler)
            for number in range(count)
        ]
        for dialer in dialers:
            dialer.start()
        _wait_for_links(handler, count)
        figures = _measure_process(agent, handler.sum_link_bytes)
        for dialer in dialers:
            dialer.stop()
    return figures


class _LinkHandler:
    """Keep the links to the agent and count their bytes."""

    def __init__(self) -> None:
        self.links: set[Link] = set()

    def on_opened(self, link: Link) -> None:
        """Add the link."""
        self.links.add(link)

    def on_messages(self, link: Link, received: Sequence[Message]) -> None:
        """Ignore the reports."""

    def on_closed(self, link: Link, reason: str) -> None:
        """Remove the link."""
        self.links.discard(link)

    def sum_link_bytes(self) -> tuple[int, int]:
        """Return the bytes that the agent received and sent over open links."""
        links = list(self.links)
        return (
            sum(link.sent_bytes for link in links),
            sum(link.received_bytes for link in links),
        )


def _build_hello(number: int) -> Hello:
    return Hello(
        PROTOCOL_VERSION_MIN,
        PROTOCOL_VERSION_MAX,
        'entry',
        f'entry-{number}',
        'stand-in',
        DATA_CENTRE,
    )


def _wait_for_links(handler: _LinkHandler, count: int) -> None:
    deadline_seconds = time.monotonic() + READY_LIMIT_SECONDS
    while len(handler.links) < count:
        if time.monotonic() > deadline_seconds:
            raise TimeoutError('the agent has not accepted all links')
        time.sleep(0.05)


def _measure_process(
    target: FleetProcess, read_link_bytes: Any
) -> dict[str, Any]:
    time.sleep(SETTLE_SECONDS)
    pid = target.process.pid
    started_seconds = time.monotonic()
    usage, byte_counts = read_usage(pid), read_link_bytes()
    time.sleep(MEASURE_SECONDS)
    end_usage, end_byte_counts = read_usage(pid), read_link_bytes()
    seconds = time.monotonic() - started_seconds
    figures = (
        (end_usage.cpu_seconds - usage.cpu_seconds) / seconds,
        (end_byte_counts[0] - byte_counts[0]) / seconds,
        (end_byte_counts[1] - byte_counts[1]) / seconds,
        end_usage.memory_bytes,
    )
    return dict(zip(FIGURES, figures))


def _read_link_bytes(fleet: Fleet, entry: FleetProcess) -> tuple[float, float]:
    text = fleet.http.request('GET', f'{entry.url}/metrics').data.decode()
    received, sent = (
        re.search(LINK_BYTES_PATTERN % direction, text)
        for direction in ('received', 'sent')
    )
    return (
        float(received.group(1)) if received else 0,
        float(sent.group(1)) if sent else 0,
    )
