"""Comparison of the product's policies with baselines on one workload."""

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
from wasabistream_tools.schedules import draw_schedule
from wasabistream_tools.summaries import summarise_by_kind, summarise_samples
from wasabistream_tools.workload_fleets import (
    fetch_engine_totals,
    start_workload_fleet,
    wait_until_idle,
)
from wasabistream_tools.workloads import WORKLOADS, Workload

# Routing policy and admission policy of each compared configuration.
POLICIES = {
    'wasabistream': ('balanced', 'growth'),
    'round_robin': ('round_robin', 'open'),
    'least_requests': ('least_requests', 'open'),
}
DEFAULT_LOADS = (0.8, 1.0, 1.5)
SEND_SECONDS = 5.0
# Time after the last arrival in which queued drafts (requests of the class
# `patient`) may still finish.
DRAIN_SECONDS = 3.5
IDLE_LIMIT_SECONDS = 1.0
# Load before the first measured run, so that the estimators of each fleet have
# observations.
WARM_UP_SEED = 977
WARM_UP_SECONDS = 3.0
WARM_UP_LOAD = 0.8
ROW_FIGURES = (
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
class PolicyRun:
    """Hold the figures of one run of a schedule."""

    policy: str
    load: float
    figures: dict[str, Any]
    classes: dict[str, Any]


class PolicyComparison:
    """Run the same schedules against a separate fleet for each policy."""

    def __init__(self, workload: Workload, seconds: float) -> None:
        self._workload = workload
        self._seconds = seconds
        self._fleets: dict[str, Fleet] = {}

    def start(self, policies: Sequence[str]) -> None:
        """Start the fleets and warm them up."""
        for name in policies:
            self._start(name)
        with ThreadPoolExecutor(len(policies)) as pool:
            list(pool.map(self._warm_up, policies))

    def fleet_of(self, policy: str) -> Fleet:
        """Return the fleet of a policy."""
        return self._fleets[policy]

    def stop(self) -> None:
        """Kill the fleets without waiting for drafts in progress."""
        for fleet in self._fleets.values():
            for name in list(fleet.processes):
                fleet.kill(name)

    def run(self, policy: str, load: float, seed: int) -> PolicyRun:
        """Run one schedule against one policy."""
        fleet = self._fleets[policy]
        before = fetch_engine_totals(fleet)
        samples = self._send(policy, load, self._seconds, seed)
        after = fetch_engine_totals(fleet)
        figures = summarise_samples(samples, self._seconds)
        for name, total in after.items():
            figures[name] = total - before[name]
        return PolicyRun(
            policy, load, figures, summarise_by_kind(samples, self._seconds)
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
        schedule = draw_schedule(self._workload, load, seconds, seed)
        urls = [entry.url for entry in fleet.entries()]
        samples = LoadRunner(self._workload, urls).run(schedule, DRAIN_SECONDS)
        wait_until_idle(fleet, IDLE_LIMIT_SECONDS)
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
    """Compare policies at loads that are multiples of the capacity."""
    loads = load if isinstance(load, (tuple, list)) else (load,)
    policy_names = policies.split('+') if policies else list(POLICIES)
    report = MeasurementReport(json)
    comparison = PolicyComparison(WORKLOADS[workload], seconds)
    started_seconds = time.monotonic()
    policy_runs: list[PolicyRun] = []
    try:
        comparison.start(policy_names)
        for repetition in range(repeats):
            for each_load in loads:
                # Interleaves the policies, so that other processes of the
                # computer slow all of them alike.
                for name in policy_names:
                    policy_runs.append(
                        comparison.run(name, each_load, seed + repetition)
                    )
                    report.print_progress(
                        f'{time.monotonic() - started_seconds:.0f} s: {name} {each_load}'
                    )
    finally:
        comparison.stop()
    for each_load in loads:
        for name in policy_names:
            _add_row(report, workload, name, each_load, policy_runs)
    report.close()


def _add_row(
    report: MeasurementReport,
    workload: str,
    policy: str,
    load: float,
    policy_runs: list[PolicyRun],
) -> None:
    matching_runs = [
        policy_run
        for policy_run in policy_runs
        if policy_run.policy == policy and policy_run.load == load
    ]
    row: dict[str, Any] = {'policy': policy, 'load': load}
    for figure in ROW_FIGURES:
        values = [policy_run.figures[figure] for policy_run in matching_runs]
        row[figure] = round(statistics.median(values), 3)
        if len(values) > 1:
            row[f'{figure}_spread'] = round(max(values) - min(values), 3)
    report.add_row(
        workload=workload,
        **row,
        not_complete_by_reason=matching_runs[-1].figures[
            'not_complete_by_reason'
        ],
        classes={
            kind: {
                'complete_count': figures['complete_count'],
                'sent_count': figures['sent_count'],
                'first_token_p95_ms': figures['first_token_p95_ms'],
                'not_complete_by_reason': figures['not_complete_by_reason'],
            }
            for kind, figures in matching_runs[-1].classes.items()
        },
    )
