"""Comparison of the policy with baselines on one workload."""

import statistics
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

from wasabistream_tools.fleet import Fleet
from wasabistream_tools.load_runners import LoadRunner
from wasabistream_tools.measurement_reports import MeasurementReport
from wasabistream_tools.request_samples import RequestSample
from wasabistream_tools.schedules import make_schedule
from wasabistream_tools.summaries import summarize, summarize_classes
from wasabistream_tools.workload_fleets import (
    engine_totals,
    start_workload_fleet,
    wait_idle,
)
from wasabistream_tools.workloads import WORKLOADS, Workload

# Routing and admission of each compared policy.
POLICIES = {
    'wasabistream': ('balanced', 'growth'),
    'round_robin': ('round_robin', 'open'),
    'least_requests': ('least_requests', 'open'),
}
DEFAULT_LOADS = (0.8, 1.0, 1.5)
SEND_SECONDS = 5.0
# Drafts that wait may finish after the last arrival.
DRAIN_SECONDS = 3.5
IDLE_LIMIT_SECONDS = 1.0
# Teaches the estimators of each fleet before the first figure.
WARM_UP_SEED = 977
WARM_UP_SECONDS = 3.0
WARM_UP_LOAD = 0.8
SPREAD_FIGURES = (
    'stall_seconds',
    'preemption_count',
    'gap_p95_ms',
    'gap_p99_ms',
    'first_token_p50_ms',
    'first_token_p95_ms',
    'first_token_p99_ms',
    'goodput_tokens_per_second',
    'complete_count',
    'sent_count',
)


@dataclass(frozen=True)
class Trial:
    """Hold the figures of one run."""

    policy: str
    load: float
    figures: dict[str, Any]
    classes: dict[str, Any]


class PolicyMeasure:
    """Run the same schedules against one fleet for each policy."""

    def __init__(self, workload: Workload, seconds: float) -> None:
        self._workload = workload
        self._seconds = seconds
        self._fleets: dict[str, Fleet] = {}

    def start(self, names: Sequence[str]) -> None:
        """Start the fleets."""
        for name in names:
            self._start(name)
        with ThreadPoolExecutor(len(names)) as pool:
            list(pool.map(self._warm_up, names))

    def fleet(self, policy: str) -> Fleet:
        """Return the fleet of a policy."""
        return self._fleets[policy]

    def stop(self) -> None:
        """Stop the fleets; drafts in progress are not awaited."""
        for fleet in self._fleets.values():
            for name in list(fleet.processes):
                fleet.kill(name)

    def run(self, policy: str, load: float, seed: int) -> Trial:
        """Run one schedule against one policy."""
        fleet = self._fleets[policy]
        before = engine_totals(fleet)
        samples = self._send(policy, load, self._seconds, seed)
        after = engine_totals(fleet)
        figures = summarize(samples, self._seconds)
        for name, total in after.items():
            figures[name] = total - before[name]
        return Trial(
            policy, load, figures, summarize_classes(samples, self._seconds)
        )

    def _start(self, name: str) -> None:
        token_seconds = self._workload.engine_options['token_seconds']
        routing, admission = POLICIES[name]
        self._fleets[name] = start_workload_fleet(
            self._workload,
            entry_flags={'routing_policy': routing, 'log_level': 'ERROR'},
            agent_flags={
                'admission_policy': admission,
                'normal_token_seconds': token_seconds,
                'report_interval_seconds': 0.2,
                'log_level': 'ERROR',
            },
        )

    def _warm_up(self, name: str) -> None:
        self._send(name, WARM_UP_LOAD, WARM_UP_SECONDS, WARM_UP_SEED)

    def _send(
        self, policy: str, load: float, seconds: float, seed: int
    ) -> list[RequestSample]:
        fleet = self._fleets[policy]
        schedule = make_schedule(self._workload, load, seconds, seed)
        urls = [entry.url for entry in fleet.entries()]
        samples = LoadRunner(self._workload, urls).run(schedule, DRAIN_SECONDS)
        wait_idle(fleet, IDLE_LIMIT_SECONDS)
        return samples


def run(
    workload: str = 'saaf-dabba',
    load: Any = DEFAULT_LOADS,
    seed: int = 1,
    repeats: int = 1,
    json: bool = False,
    policies: Any = None,
    seconds: float = SEND_SECONDS,
) -> None:
    """Measure the policies at multiples of the measured capacity."""
    loads = load if isinstance(load, (tuple, list)) else (load,)
    names = policies.split('+') if policies else list(POLICIES)
    report = MeasurementReport(json)
    measure = PolicyMeasure(WORKLOADS[workload], seconds)
    started = time.monotonic()
    trials: list[Trial] = []
    try:
        measure.start(names)
        for repeat in range(repeats):
            for each_load in loads:
                # Interleaved, so that a busy machine hits all policies.
                for name in names:
                    trials.append(measure.run(name, each_load, seed + repeat))
                    report.progress(
                        f'{time.monotonic() - started:.0f} s: {name} {each_load}'
                    )
    finally:
        measure.stop()
    for each_load in loads:
        for name in names:
            _add_row(report, workload, name, each_load, trials)
    report.close()


def _add_row(
    report: MeasurementReport,
    workload: str,
    policy: str,
    load: float,
    trials: list[Trial],
) -> None:
    chosen = [
        trial
        for trial in trials
        if trial.policy == policy and trial.load == load
    ]
    row: dict[str, Any] = {'policy': policy, 'load': load}
    for figure in SPREAD_FIGURES:
        numbers = [trial.figures[figure] for trial in chosen]
        row[figure] = round(statistics.median(numbers), 3)
        if len(numbers) > 1:
            row[f'{figure}_spread'] = round(max(numbers) - min(numbers), 3)
    report.add(
        workload=workload,
        **row,
        not_complete_by_reason=chosen[-1].figures['not_complete_by_reason'],
        classes={
            kind: {
                'complete_count': figures['complete_count'],
                'sent_count': figures['sent_count'],
                'first_token_p95_ms': figures['first_token_p95_ms'],
                'not_complete_by_reason': figures['not_complete_by_reason'],
            }
            for kind, figures in chosen[-1].classes.items()
        },
    )
