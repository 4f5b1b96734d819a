"""Measurement of the token path through one entry.

The same streams are read twice in turn: from the engine stand-ins directly,
and through agents and one entry.
"""

import random
import time
from dataclasses import dataclass
from typing import Any

from hdrh.histogram import HdrHistogram

from wasabistream_tools.fleet import Fleet
from wasabistream_tools.measurement_reports import MeasurementReport
from wasabistream_tools.sample_documents import sample_document
from wasabistream_tools.stream_readers import (
    ReadStream,
    StreamTarget,
    read_streams,
)
from wasabistream_tools.usage import read_busy_seconds, read_usage

CREDENTIAL = 'relay-credential'
DATA_CENTRE = 'dc-a'
# About 40 streams for each engine, as 10,000 requests/s give 4,700 replicas.
ENGINE_COUNT = 12
PAIR_COUNT = 2
# Tokens more than a run needs, so that all streams overlap for its length.
START_SECONDS = 3
# Allowance for streams that are late, beyond the planned length.
GRACE_SECONDS = 8
MICROSECONDS = 1_000_000
MAX_GAP_MICROSECONDS = 60 * MICROSECONDS
PROMPT_TOKENS = 10


@dataclass(frozen=True)
class RelayOptions:
    """Hold the options of the measurement."""

    streams: int = 495
    rate: float = 26
    seconds: float = 14
    seed: int = 1
    json: bool = False

    @property
    def length_tokens(self) -> int:
        """Return the length of every stream."""
        return round(self.rate * (self.seconds + START_SECONDS))


def run(**options: Any) -> None:
    """Measure and print one row for each path."""
    chosen = RelayOptions(**options)
    report = MeasurementReport(chosen.json)
    with _start_fleet(chosen) as fleet:
        measurement = Measurement(chosen, fleet)
        generator = random.Random(chosen.seed)
        for number in range(PAIR_COUNT):
            paths = ['direct', 'relay']
            generator.shuffle(paths)
            for path in paths:
                report.progress(f'run {number + 1}: {path}')
                measurement.measure(path)
        for path in ('direct', 'relay'):
            report.add(**measurement.row(path))
        report.add(**measurement.difference())
    report.close()


class Measurement:
    """Read the streams of both paths and collect the gaps."""

    def __init__(self, options: RelayOptions, fleet: Fleet) -> None:
        self._options = options
        self._fleet = fleet
        self._totals = {'direct': PathTotal(), 'relay': PathTotal()}
        self._run_count = 0

    def measure(self, path: str) -> None:
        """Read all streams over one path."""
        self._run_count += 1
        targets = [
            self._direct(number) if path == 'direct' else self._relay()
            for number in range(self._options.streams)
        ]
        entry = self._fleet.processes['entry-1'].process.pid
        before = read_usage(entry)
        busy_before = read_busy_seconds()
        started = time.monotonic()
        planned = self._options.length_tokens / self._options.rate
        streams = read_streams(targets, planned + GRACE_SECONDS)
        elapsed = time.monotonic() - started
        after = read_usage(entry)
        total = self._totals[path]
        total.take(streams, self._options.length_tokens)
        total.seconds += elapsed
        total.entry_cpu_seconds += after.cpu_seconds - before.cpu_seconds
        total.entry_memory_bytes = after.memory_bytes
        total.busy_seconds += read_busy_seconds() - busy_before

    def row(self, path: str) -> dict[str, Any]:
        """Return the figures of one path."""
        total = self._totals[path]
        on_relay = path == 'relay'
        return {
            'path': path,
            'streams': self._options.streams,
            'rate': self._options.rate,
            'p50_gap_ms': total.gap_ms(50),
            'p95_gap_ms': total.gap_ms(95),
            'p99_gap_ms': total.gap_ms(99),
            'tokens_per_second': round(total.tokens_per_second),
            'streams_lost': total.lost_count,
            'entry_cpu_cores': (
                total.entry_cpu_seconds / total.seconds if on_relay else 0.0
            ),
            'entry_memory_mb': total.entry_memory_bytes // 2**20,
            'machine_busy_cores': total.busy_seconds / total.seconds,
        }

    def difference(self) -> dict[str, Any]:
        """Return what the relay adds to the gaps."""
        direct, relay = self._totals['direct'], self._totals['relay']
        return {
            'path': 'difference',
            'streams': self._options.streams,
            'rate': self._options.rate,
            **{
                f'p{percentile}_gap_ms': relay.gap_ms(percentile)
                - direct.gap_ms(percentile)
                for percentile in (50, 95, 99)
            },
        }

    def _direct(self, number: int) -> StreamTarget:
        name = f'agent-{number % ENGINE_COUNT}-engine'
        return StreamTarget(
            self._fleet.processes[name].http_port,
            '/v1/completions',
            {},
            {
                **self._body(),
                'request_id': f'direct.{self._run_count}.{number}',
                'priority': 1,
                'prompt_tokens': PROMPT_TOKENS,
            },
        )

    def _relay(self) -> StreamTarget:
        return StreamTarget(
            self._fleet.processes['entry-1'].http_port,
            '/v1/completions',
            {'Authorization': f'Bearer {CREDENTIAL}'},
            self._body(),
        )

    def _body(self) -> dict[str, object]:
        length = self._options.length_tokens
        return {
            'model': 'assistant',
            'prompt': f'measure [[length={length}]]',
            'max_tokens': length,
            'stream': True,
        }


class PathTotal:
    """Add up the runs over one path."""

    def __init__(self) -> None:
        self._gaps = HdrHistogram(1, MAX_GAP_MICROSECONDS, 3)
        self.lost_count = 0
        self.seconds = 0.0
        self.entry_cpu_seconds = 0.0
        self.entry_memory_bytes = 0
        self.busy_seconds = 0.0
        self._token_rates: list[float] = []

    @property
    def tokens_per_second(self) -> float:
        """Return the mean rate while all streams ran."""
        return sum(self._token_rates) / len(self._token_rates)

    def gap_ms(self, percentile: float) -> float:
        """Return a percentile of the gaps between tokens."""
        gap: int = self._gaps.get_value_at_percentile(percentile)
        return gap / 1000

    def take(self, streams: list[ReadStream], length: int) -> None:
        """Add the streams of one run."""
        lost = [item for item in streams if not item.complete(length)]
        self.lost_count += len(lost)
        # Gaps count while all streams run: after the last first token and
        # before the first end.
        arrivals = [item.arrivals_seconds for item in streams]
        begin = max((times[0] for times in arrivals if times), default=0.0)
        end = min((times[-1] for times in arrivals if times), default=0.0)
        count = 0
        for times in arrivals:
            inside = [moment for moment in times if begin <= moment <= end]
            count += len(inside)
            for earlier, later in zip(inside, inside[1:]):
                gap = round((later - earlier) * MICROSECONDS)
                self._gaps.record_value(max(gap, 1))
        self._token_rates.append(count / max(end - begin, 0.001))


def _start_fleet(options: RelayOptions) -> Fleet:
    fleet = Fleet()
    for number in range(ENGINE_COUNT):
        fleet.add_engine(
            f'agent-{number}',
            DATA_CENTRE,
            {'admission_policy': 'open', 'ramp_start_count': options.streams},
            token_seconds=1 / options.rate,
            full_batch_count=options.streams,
            memory_tokens=options.streams * 2 * options.length_tokens,
        )
    fleet.add_entry('entry-1', DATA_CENTRE)
    fleet.publish_document(sample_document(CREDENTIAL, (DATA_CENTRE,), {}))
    fleet.publish_vms()
    fleet.wait_until_ready(backend_count=ENGINE_COUNT)
    return fleet
