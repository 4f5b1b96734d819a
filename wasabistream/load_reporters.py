"""Reporter of an agent's load to the entries that it has links to."""

import logging
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, replace

from wasabistream.link_senders import send_or_log
from wasabistream.links import Link
from wasabistream.notices import LoadReport

# Smaller changes are not reported, to keep control traffic small.
MEMORY_CHANGE_RATIO = 0.02
COUNT_CHANGE_RATIO = 0.05
# A report is sent after this time even when nothing has changed.
MAX_REPORT_INTERVAL_SECONDS = 5.0


@dataclass
class _LinkState:
    """Hold the count of requests from one entry and its last report."""

    taken_count: int = 0
    last_report: LoadReport | None = None
    last_report_monotonic_seconds: float = 0


class LoadReporter:
    """Send each entry the agent's load when it has changed.

    A report states how many requests the agent has taken from that link, so
    that the entry knows which of its own sends the load does not include.
    """

    def __init__(self, build: Callable[[], LoadReport]) -> None:
        self._build_report = build
        self._lock = threading.Lock()
        self._states: dict[Link, _LinkState] = {}

    def on_link_opened(self, link: Link) -> None:
        """Add a link and send the first report over it."""
        with self._lock:
            self._states[link] = _LinkState()
        self.send()

    def on_link_closed(self, link: Link) -> None:
        """Remove a link."""
        with self._lock:
            self._states.pop(link, None)

    def add_taken_request(self, link: Link) -> None:
        """Count a request from a link; call it once the load includes it."""
        with self._lock:
            state = self._states.get(link)
            if state is not None:
                state.taken_count += 1

    def send(self) -> None:
        """Send a report over each link for which one is due."""
        with self._lock:
            # The counts are read before the load, so the load includes at
            # least the requests that they count.
            counts = {
                link: state.taken_count for link, state in self._states.items()
            }
        load = self._build_report()
        for link, taken_count in counts.items():
            report = replace(load, taken_count=taken_count)
            if self._is_due(link, report):
                _send(link, report)

    def _is_due(self, link: Link, report: LoadReport) -> bool:
        now = time.monotonic()
        with self._lock:
            state = self._states.get(link)
            if state is None:
                return False
            elapsed_seconds = now - state.last_report_monotonic_seconds
            last_report = state.last_report
            if (
                last_report is not None
                and elapsed_seconds < MAX_REPORT_INTERVAL_SECONDS
                and not is_significant_change(last_report, report)
            ):
                return False
            state.last_report = report
            state.last_report_monotonic_seconds = now
            return True


def is_significant_change(old: LoadReport, new: LoadReport) -> bool:
    """Return whether a report differs enough to be sent."""
    if (old.leaving, old.taken_count) != (new.leaving, new.taken_count):
        return True
    if old.memory_capacity_tokens != new.memory_capacity_tokens:
        return True
    limits = (old.ramp_limit_count, new.ramp_limit_count)
    smallest_change = max(COUNT_CHANGE_RATIO * limits[0], 1)
    changes = (
        abs(old.running_count - new.running_count),
        abs(old.queued_count - new.queued_count),
        abs(limits[0] - limits[1]),
    )
    if max(changes) >= smallest_change:
        return True
    memory_change = abs(old.memory_used_tokens - new.memory_used_tokens)
    return memory_change > MEMORY_CHANGE_RATIO * new.memory_capacity_tokens


def _send(link: Link, report: LoadReport) -> None:
    send_or_log(link, report, 'agent: report', logging.DEBUG)
