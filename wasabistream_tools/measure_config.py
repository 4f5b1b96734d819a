"""Measurement of time, reads and bytes until a change is in force everywhere.

The baseline in the same run is a fleet whose entries all watch the
configuration service. Agents never read the service in either case.
"""

import json
import random
import socket
import statistics
import time
from dataclasses import dataclass
from typing import Any

from prometheus_client.parser import text_string_to_metric_families

from wasabistream.frames import FrameReader, encode_frame
from wasabistream.notices import DocumentDigest, Hello
from wasabistream_tools.fleet import ADDRESS, Fleet, credential_digest
from wasabistream_tools.measurement_reports import MeasurementReport

DATA_CENTRES = ('dc-a', 'dc-b')
ORGANISATION_COUNT = 1900
CHANGE_COUNT = 5
CHANGES_PER_DAY = 3300
IDLE_SECONDS = 10.0
# Limit for a change to be in force everywhere, plus a second for each entry.
LIMIT_SECONDS = 20.0
POLL_SECONDS = 0.02
# More readers than entries: every entry watches the configuration service.
UNLIMITED_READER_COUNT = 100000
DEFAULT_PROCESS_COUNT = 16


@dataclass
class TrafficCounters:
    """Hold counters of the configuration service and of the entries' links."""

    read_count: int
    service_bytes: int
    link_bytes: float


class ConfigMeasurement:
    """Publish changes to one fleet and wait until they are in force."""

    def __init__(self, fleet: Fleet, readers: int, seed: int) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._document = _build_document()
        self._agent_names = [f'agent-{number}' for number in range(readers)]
        self._readers = readers

    def start(self, reader_count: int) -> None:
        """Start the entries, and agents that share one backend server."""
        first, *other_names = self._agent_names
        self._fleet.add_service(first, DATA_CENTRES[0], 'booking')
        backend = self._fleet.processes[f'{first}-service']
        for number, name in enumerate(other_names, 1):
            self._fleet.add_agent(
                name,
                DATA_CENTRES[number % len(DATA_CENTRES)],
                {
                    'backend_url': backend.url,
                    'backend_kind': 'service',
                    'service': 'booking',
                },
            )
            self._fleet.vms[name]['service'] = 'booking'
        for number in range(self._readers):
            self._fleet.add_entry(
                f'entry-{number}',
                DATA_CENTRES[number % len(DATA_CENTRES)],
                reader_count=reader_count,
            )
        self._fleet.publish_document(self._document)
        self._fleet.publish_vms()
        self._fleet.wait_until_ready(1)
        self.wait_for_revision(self._document['revision'], time.monotonic())
        # Leaves the traffic of new links and of the choice of readers out of
        # the measurement.
        time.sleep(IDLE_SECONDS)

    def change(self) -> tuple[float, float]:
        """Publish a change; return times as `wait_for_revision` does."""
        self._document['revision'] += 1
        organisation = self._random.choice(self._document['organisations'])
        organisation['priority_weight'] = self._random.randint(2, 10**6)
        started_seconds = time.monotonic()
        self._fleet.publish_document(self._document)
        return self.wait_for_revision(
            self._document['revision'], started_seconds
        )

    def wait_for_revision(
        self, revision: int, started_seconds: float
    ) -> tuple[float, float]:
        """Wait until a revision is in force everywhere.

        Returns the seconds until all entries and until all processes have it.
        """
        entries = {entry.name: entry for entry in self._fleet.entries()}
        agents = set(self._agent_names)
        entry_seconds = 0.0
        deadline = started_seconds + LIMIT_SECONDS + self._readers
        while entries or agents:
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f'{[*entries, *agents]} do not have revision {revision}'
                )
            for name, entry in list(entries.items()):
                if self._read_entry_revision(entry.url) == revision:
                    entries.pop(name)
            if not entries and not entry_seconds:
                entry_seconds = time.monotonic() - started_seconds
            for name in sorted(agents):
                port = self._fleet.processes[name].link_port
                if read_announced_revision(port) == revision:
                    agents.discard(name)
            time.sleep(POLL_SECONDS)
        return entry_seconds, time.monotonic() - started_seconds

    def read_traffic(self) -> TrafficCounters:
        """Read the counters of the fleet."""
        counts = self._fleet.http.request(
            'GET', f'{self._fleet.configuration.url}/stand-in/counts'
        ).json()
        return TrafficCounters(
            counts['read_count'],
            counts['sent_bytes'],
            sum(
                self._read_link_bytes(entry.url)
                for entry in self._fleet.entries()
            ),
        )

    def _read_entry_revision(self, url: str) -> int:
        report = self._fleet.http.request('GET', f'{url}/readyz').json()
        return int(report['revision'] or 0)

    def _read_link_bytes(self, url: str) -> float:
        text = self._fleet.http.request('GET', f'{url}/metrics').data.decode()
        return sum(
            sample.value
            for family in text_string_to_metric_families(text)
            for sample in family.samples
            if sample.name == 'wasabi_link_bytes_total'
        )


def read_announced_revision(port: int) -> int:
    """Open a link to an agent; return the revision that it announces."""
    reader = FrameReader('agent')
    hello = Hello(1, 1, 'probe', 'probe', '1', DATA_CENTRES[0])
    with socket.create_connection((ADDRESS, port), LIMIT_SECONDS) as sock:
        sock.sendall(encode_frame(hello))
        while True:
            for message in reader.feed(sock.recv(65536)):
                if isinstance(message, DocumentDigest):
                    return message.revision


def run(
    readers: int = DEFAULT_PROCESS_COUNT, seed: int = 1, json: bool = False
) -> None:
    """Compare two readers with the baseline.

    `readers` is the number of entries and of agents in a fleet.
    """
    report = MeasurementReport(json)
    for policy, reader_count in (
        ('two_readers', 2),
        ('every_entry_reads', UNLIMITED_READER_COUNT),
    ):
        report.print_progress(f'{policy}: starting {2 * readers} daemons')
        with Fleet() as fleet:
            measurement = ConfigMeasurement(fleet, readers, seed)
            measurement.start(reader_count)
            report.add_row(
                policy=policy,
                entries=readers,
                agents=readers,
                **_measure_changes(measurement, readers),
            )
    report.close()


def _measure_changes(
    measurement: ConfigMeasurement, readers: int
) -> dict[str, Any]:
    idle_before = measurement.read_traffic()
    time.sleep(IDLE_SECONDS)
    before = measurement.read_traffic()
    seconds = [measurement.change() for _ in range(CHANGE_COUNT)]
    after = measurement.read_traffic()
    idle_bytes = before.link_bytes - idle_before.link_bytes
    service_bytes = (after.service_bytes - before.service_bytes) / CHANGE_COUNT
    return {
        'document_bytes': len(json.dumps(_build_document())),
        'changes': CHANGE_COUNT,
        'entries_p50_seconds': statistics.median(pair[0] for pair in seconds),
        'entries_max_seconds': max(pair[0] for pair in seconds),
        'all_max_seconds': max(pair[1] for pair in seconds),
        'service_reads_per_change': (after.read_count - before.read_count)
        / CHANGE_COUNT,
        'service_bytes_per_change': service_bytes,
        'service_bytes_per_second_per_entry': service_bytes
        * CHANGES_PER_DAY
        / 86400
        / readers,
        'idle_link_bytes_per_second_per_entry': idle_bytes
        / IDLE_SECONDS
        / readers,
        'link_bytes_per_change_per_entry': (
            after.link_bytes - before.link_bytes
        )
        / CHANGE_COUNT
        / readers,
    }


def _build_document() -> dict[str, Any]:
    return {
        'format': 1,
        'revision': 1,
        'models': [],
        'data_centres': [{'name': name} for name in DATA_CENTRES],
        'services': [{'name': 'booking'}],
        'organisations': [
            {
                'name': f'organisation-{number:04}',
                'credential_sha256': credential_digest(str(number)),
                'priority_weight': 1,
                'services': ['booking'],
                'classes': ['urgent', 'normal', 'patient'],
                'default_class': 'normal',
                'max_concurrent_count': 1000,
                'max_output_tokens': 32000,
            }
            for number in range(ORGANISATION_COUNT)
        ],
    }
