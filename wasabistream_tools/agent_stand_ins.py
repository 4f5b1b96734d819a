"""Stand-ins for agents that report a random load over real links."""

import random
import threading
from collections.abc import Sequence
from typing import Any

from wasabistream.links import Link
from wasabistream.listeners import LinkListener
from wasabistream.load_reporters import LoadReporter
from wasabistream.messages import (
    PROTOCOL_VERSION_MAX,
    PROTOCOL_VERSION_MIN,
    Message,
)
from wasabistream.notices import Hello, LoadReport, ServingReport
from wasabistream_tools.fleet import ADDRESS

REPORT_INTERVAL_SECONDS = 1.0
MEMORY_CAPACITY_TOKENS = 500000
# Limit of running requests that the agents report; it stays the same.
RAMP_LIMIT_COUNT = 64
# Largest steps of the random walks, taken once per interval. The load changes
# about as fast as at an agent in a full-size fleet, where about two requests
# arrive and 1,000 tokens are generated per second.
MEMORY_STEP_TOKENS = 3000
RUNNING_STEP_COUNT = 2
# Requests from one entry to one agent: it sends 26 requests/s to 196 agents.
TAKEN_REQUESTS_PER_SECOND = 26 / 196


class AgentStandIn:
    """Listen as one agent and report a load that changes at random."""

    def __init__(self, name: str, data_centre: str) -> None:
        self._data_centre = data_centre
        self._name = name
        self._memory_tokens = MEMORY_CAPACITY_TOKENS // 2
        self._running_count = RAMP_LIMIT_COUNT // 2
        self._links: list[Link] = []
        self._load_reporter = LoadReporter(self._build_load_report)
        hello = Hello(
            PROTOCOL_VERSION_MIN,
            PROTOCOL_VERSION_MAX,
            'agent',
            name,
            'stand-in',
            data_centre,
        )
        self._listener = LinkListener(ADDRESS, 0, hello, self)

    def start(self) -> None:
        """Start listening."""
        self._listener.start()

    def stop(self) -> None:
        """Stop listening and close the links."""
        self._listener.stop()
        for link in list(self._links):
            link.close()

    def build_vm(self) -> dict[str, Any]:
        """Return the item for this agent in the VM list."""
        return {
            'id': self._name,
            'role': 'agent',
            'address': ADDRESS,
            'link_port': self._listener.port,
            'data_centre': self._data_centre,
            'state': 'live',
        }

    def change_and_report(self) -> None:
        """Change the load, count requests as taken and send due reports."""
        self._memory_tokens = _walk_randomly(
            self._memory_tokens, MEMORY_STEP_TOKENS, MEMORY_CAPACITY_TOKENS
        )
        self._running_count = _walk_randomly(
            self._running_count, RUNNING_STEP_COUNT, RAMP_LIMIT_COUNT
        )
        # A report states how many requests the agent has taken from its link.
        for link in list(self._links):
            if (
                random.random()
                < TAKEN_REQUESTS_PER_SECOND * REPORT_INTERVAL_SECONDS
            ):
                self._load_reporter.add_taken_request(link)
        self._load_reporter.send()

    def on_opened(self, link: Link) -> None:
        """Report the served model and engine role; start reporting the load."""
        self._links.append(link)
        link.send(ServingReport('', ['assistant'], [], 'decode', ready=True))
        self._load_reporter.on_link_opened(link)

    def on_messages(self, link: Link, received: Sequence[Message]) -> None:
        """Ignore what the entry sends."""

    def on_closed(self, link: Link, reason: str) -> None:
        """Stop reporting over the link."""
        self._links.remove(link)
        self._load_reporter.on_link_closed(link)

    def _build_load_report(self) -> LoadReport:
        return LoadReport(
            self._memory_tokens,
            MEMORY_CAPACITY_TOKENS,
            self._running_count,
            0,
            RAMP_LIMIT_COUNT,
            leaving=False,
        )


class AgentStandIns:
    """Run many stand-ins for agents in this process."""

    def __init__(self, count: int, data_centre: str) -> None:
        self.agents = [
            AgentStandIn(f'source-{number}', data_centre)
            for number in range(count)
        ]
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start all agents and their reports."""
        for agent in self.agents:
            agent.start()
        threading.Thread(target=self._run_reports, daemon=True).start()

    def stop(self) -> None:
        """Stop all agents."""
        self._stopped.set()
        for agent in self.agents:
            agent.stop()

    def _run_reports(self) -> None:
        # Spreads the reports over the interval, as those of agents in separate
        # processes are.
        pause_seconds = REPORT_INTERVAL_SECONDS / len(self.agents)
        while not self._stopped.is_set():
            for agent in self.agents:
                self._stopped.wait(pause_seconds)
                agent.change_and_report()


def _walk_randomly(current: int, step: int, limit: int) -> int:
    return min(max(current + random.randint(-step, step), 0), limit)
