"""Measurement of what one entry and agents add to the gaps between tokens.

The same streams are read over two paths in turn: directly from the engine
stand-ins, and relayed by agents and one entry.
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
    ReceivedStream,
    StreamRequest,
    read_streams,
)
from wasabistream_tools.usage import read_busy_seconds, read_usage

CREDENTIAL = 'relay-credential'
DATA_CENTRE = 'dc-a'
# About 40 streams per engine by default, as each of 4,700 engine replicas has
# at 10,000 requests/s.
ENGINE_COUNT = 12
PAIR_COUNT = 2
# Added to the length of each stream, so that all of them overlap for about
# `seconds`.
EXTRA_STREAM_SECONDS = 3
# Time after the planned end in which late streams may still finish.
GRACE_SECONDS = 8
MICROSECONDS_PER_SECOND = 1_000_000
MAX_GAP_MICROSECONDS = 60 * MICROSECONDS_PER_SECOND
PROMPT_TOKENS = 10


@dataclass(frozen=True)
class RelayOptions:
    """Hold the options.

    `rate` is in tokens per second of each stream; `seconds` is the time in
    which all streams are to be active together.
    """

    streams: int = 495
    rate: float = 26
    seconds: float = 14
    seed: int = 1
    json: bool = False

    @property
    def length_tokens(self) -> int:
        """Return the length of each stream."""
        return round(self.rate * (self.seconds + EXTRA_STREAM_SECONDS))


def run(**options: Any) -> None:
    """Measure both paths; print a row for each and their difference."""
    relay_options = RelayOptions(**options)
    report = MeasurementReport(relay_options.json)
    with _start_fleet(relay_options) as fleet:
        measurement = RelayMeasurement(relay_options, fleet)
        rng = random.Random(relay_options.seed)
        for number in range(PAIR_COUNT):
            paths = ['direct', 'relay']
            rng.shuffle(paths)
            for path in paths:
                report.print_progress(f'pair {number + 1}: {path}')
                measurement.measure_path(path)
        for path in ('direct', 'relay'):
            report.add_row(**measurement.build_row(path))
        report.add_row(**measurement.difference())
    report.close()


class RelayMeasurement:
    """Read streams over both paths and collect their gaps between tokens."""

    def __init__(self, options: RelayOptions, fleet: Fleet) -> None:
        self._options = options
        self._fleet = fleet
        self._totals = {'direct': PathTotals(), 'relay': PathTotals()}
        self._run_count = 0

    def measure_path(self, path: str) -> None:
        """Read all streams once over a path."""
        self._run_count += 1
        requests = [
            self._build_direct_request(number)
            if path == 'direct'
            else self._build_relay_request()
            for number in range(self._options.streams)
        ]
        entry = self._fleet.processes['entry-1'].process.pid
        before = read_usage(entry)
        busy_before = read_busy_seconds()
        started_seconds = time.monotonic()
        planned_seconds = self._options.length_tokens / self._options.rate
        streams = read_streams(requests, planned_seconds + GRACE_SECONDS)
        elapsed_seconds = time.monotonic() - started_seconds
        after = read_usage(entry)
        total = self._totals[path]
        total.add_streams(streams, self._options.length_tokens)
        total.seconds += elapsed_seconds
        total.entry_cpu_seconds += after.cpu_seconds - before.cpu_seconds
        total.last_entry_memory_bytes = after.memory_bytes
        total.busy_seconds += read_busy_seconds() - busy_before

    def build_row(self, path: str) -> dict[str, Any]:
        """Return the figures of a path over all its runs."""
        total = self._totals[path]
        is_relay = path == 'relay'
        return {
            'path': path,
            'streams': self._options.streams,
            'rate': self._options.rate,
            'p50_gap_ms': total.gap_percentile_ms(50),
            'p95_gap_ms': total.gap_percentile_ms(95),
            'p99_gap_ms': total.gap_percentile_ms(99),
            'tokens_per_second': round(total.tokens_per_second),
            'streams_lost': total.incomplete_count,
            # The direct path does not use the entry.
            'entry_cpu_cores': (
                total.entry_cpu_seconds / total.seconds if is_relay else 0.0
            ),
            'entry_memory_mb': total.last_entry_memory_bytes // 2**20,
            'machine_busy_cores': total.busy_seconds / total.seconds,
        }

    def difference(self) -> dict[str, Any]:
        """Return how much longer the gaps are on the relay path."""
        direct, relay = self._totals['direct'], self._totals['relay']
        return {
            'path': 'difference',
            'streams': self._options.streams,
            'rate': self._options.rate,
            **{
                f'p{percentile}_gap_ms': relay.gap_percentile_ms(percentile)
                - direct.gap_percentile_ms(percentile)
                for percentile in (50, 95, 99)
            },
        }

    def _build_direct_request(self, number: int) -> StreamRequest:
        name = f'agent-{number % ENGINE_COUNT}-engine'
        return StreamRequest(
            self._fleet.processes[name].http_port,
            '/v1/completions',
            {},
            {
                **self._build_body(),
                'request_id': f'direct.{self._run_count}.{number}',
                'priority': 1,
                'prompt_tokens': PROMPT_TOKENS,
            },
        )

    def _build_relay_request(self) -> StreamRequest:
        return StreamRequest(
            self._fleet.processes['entry-1'].http_port,
            '/v1/completions',
            {'Authorization': f'Bearer {CREDENTIAL}'},
            self._build_body(),
        )

    def _build_body(self) -> dict[str, object]:
        length_tokens = self._options.length_tokens
        return {
            'model': 'assistant',
            'prompt': f'measure [[length={length_tokens}]]',
            'max_tokens': length_tokens,
            'stream': True,
        }


class PathTotals:
    """Add up the runs over a path."""

    def __init__(self) -> None:
        self._gap_histogram = HdrHistogram(1, MAX_GAP_MICROSECONDS, 3)
        # Streams that were cut or late, or whose tokens were not all there in
        # order.
        self.incomplete_count = 0
        self.seconds = 0.0
        self.entry_cpu_seconds = 0.0
        # Memory after the last run, not a sum.
        self.last_entry_memory_bytes = 0
        self.busy_seconds = 0.0
        self._total_token_rates: list[float] = []

    @property
    def tokens_per_second(self) -> float:
        """Return the rate of all streams together, averaged over the runs."""
        return sum(self._total_token_rates) / len(self._total_token_rates)

    def gap_percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the gaps between tokens."""
        gap: int = self._gap_histogram.get_value_at_percentile(percentile)
        return gap / 1000

    def add_streams(
        self, streams: list[ReceivedStream], length_tokens: int
    ) -> None:
        """Add the streams of a run; each was to have `length_tokens`."""
        incomplete = [
            item for item in streams if not item.complete(length_tokens)
        ]
        self.incomplete_count += len(incomplete)
        # Counts gaps only while all streams run: from the latest first token to
        # the earliest last token.
        arrivals = [item.arrivals_seconds for item in streams]
        begin_seconds = max(
            (
                stream_arrivals[0]
                for stream_arrivals in arrivals
                if stream_arrivals
            ),
            default=0.0,
        )
        end = min(
            (
                stream_arrivals[-1]
                for stream_arrivals in arrivals
                if stream_arrivals
            ),
            default=0.0,
        )
        count = 0
        for stream_arrivals in arrivals:
            overlap = [
                arrival
                for arrival in stream_arrivals
                if begin_seconds <= arrival <= end
            ]
            count += len(overlap)
            for earlier, later in zip(overlap, overlap[1:]):
                gap = round((later - earlier) * MICROSECONDS_PER_SECOND)
                self._gap_histogram.record_value(max(gap, 1))
        self._total_token_rates.append(count / max(end - begin_seconds, 0.001))


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
