"""Stand-in for many agents that report their load over real links."""

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
CAPACITY_TOKENS = 500000
LIMIT_COUNT = 64
# Load moves as at full size: about two arrivals and 1,000 tokens per second.
MEMORY_STEP_TOKENS = 3000
RUNNING_STEP_COUNT = 2
# An entry sends 26 requests/s to 196 agents.
TAKEN_PER_SECOND = 26 / 196


class AgentStandIn:
    """Listen as one agent and report a load that changes at random."""

    def __init__(self, name: str, data_centre: str) -> None:
        self._data_centre = data_centre
        self._name = name
        self._memory_tokens = CAPACITY_TOKENS // 2
        self._running_count = LIMIT_COUNT // 2
        self._links: list[Link] = []
        self._reporter = LoadReporter(self._load)
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
        """Start to listen."""
        self._listener.start()

    def stop(self) -> None:
        """Close the links."""
        self._listener.stop()
        for link in list(self._links):
            link.close()

    def vm(self) -> dict[str, Any]:
        """Return the entry of the VM list."""
        return {
            'id': self._name,
            'role': 'agent',
            'address': ADDRESS,
            'link_port': self._listener.port,
            'data_centre': self._data_centre,
            'state': 'live',
        }

    def tick(self) -> None:
        """Change the load and report it where it is due."""
        self._memory_tokens = _walk(
            self._memory_tokens, MEMORY_STEP_TOKENS, CAPACITY_TOKENS
        )
        self._running_count = _walk(
            self._running_count, RUNNING_STEP_COUNT, LIMIT_COUNT
        )
        for link in list(self._links):
            if random.random() < TAKEN_PER_SECOND * REPORT_INTERVAL_SECONDS:
                self._reporter.add_taken_request(link)
        self._reporter.send()

    def on_opened(self, link: Link) -> None:
        """Tell what is served."""
        self._links.append(link)
        link.send(ServingReport('', ['assistant'], [], 'decode', ready=True))
        self._reporter.on_link_opened(link)

    def on_messages(self, link: Link, received: Sequence[Message]) -> None:
        """Ignore what the entry sends."""

    def on_closed(self, link: Link, reason: str) -> None:
        """Forget a link."""
        self._links.remove(link)
        self._reporter.on_link_closed(link)

    def _load(self) -> LoadReport:
        return LoadReport(
            self._memory_tokens,
            CAPACITY_TOKENS,
            self._running_count,
            0,
            LIMIT_COUNT,
            leaving=False,
        )


class AgentStandIns:
    """Run many report sources in this process."""

    def __init__(self, count: int, data_centre: str) -> None:
        self.sources = [
            AgentStandIn(f'source-{number}', data_centre)
            for number in range(count)
        ]
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start all sources."""
        for source in self.sources:
            source.start()
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """Stop all sources."""
        self._stopped.set()
        for source in self.sources:
            source.stop()

    def _run(self) -> None:
        # The sources report spread over the interval, as separate processes.
        pause_seconds = REPORT_INTERVAL_SECONDS / len(self.sources)
        while not self._stopped.is_set():
            for source in self.sources:
                self._stopped.wait(pause_seconds)
                source.tick()


def _walk(current: int, step: int, limit: int) -> int:
    return min(max(current + random.randint(-step, step), 0), limit)
