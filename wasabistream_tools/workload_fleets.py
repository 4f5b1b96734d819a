"""Fleets for the named workloads."""

import time
from collections.abc import Mapping
from typing import Any

from wasabistream_tools.fleet import Fleet, credential_digest
from wasabistream_tools.workloads import Workload

STATE_TIMEOUT = 5.0
POLL_SECONDS = 0.1
TOTAL_NAMES = (
    'preemption_count',
    'stall_seconds',
    'crash_count',
    'generated_count',
)


def start_workload_fleet(
    workload: Workload,
    *,
    entry_flags: Mapping[str, Any] | None = None,
    agent_flags: Mapping[str, Any] | None = None,
    engine_options: Mapping[str, Any] | None = None,
) -> Fleet:
    """Start the engines, services and one entry for each data centre."""
    fleet = Fleet()
    centres = workload.data_centres
    for number in range(workload.engine_count):
        fleet.add_engine(
            f'engine-{number + 1}',
            centres[number % len(centres)],
            dict(agent_flags or {}),
            models=workload.model,
            **{**workload.engine_options, **(engine_options or {})},
        )
    for number in range(workload.service_count):
        fleet.add_service(
            f'{workload.service}-{number + 1}',
            centres[number % len(centres)],
            workload.service,
        )
    for number, centre in enumerate(centres, 1):
        fleet.add_entry(f'entry-{number}', centre, **(entry_flags or {}))
    fleet.publish_document(workload_document(workload))
    fleet.publish_vms()
    fleet.wait_until_ready(workload.engine_count + workload.service_count)
    return fleet


def workload_document(workload: Workload, revision: int = 1) -> dict[str, Any]:
    """Return the configuration document of a workload."""
    return {
        'format': 1,
        'revision': revision,
        'models': [
            {
                'name': workload.model,
                'version': '1',
                'data_centres': list(workload.data_centres),
            }
        ],
        'data_centres': [{'name': name} for name in workload.data_centres],
        'organisations': [
            {
                'name': item.name,
                'credential_sha256': credential_digest(item.credential),
                'priority_weight': item.priority_weight,
                'models': [workload.model],
                'services': [workload.service],
            }
            for item in workload.organisations
        ],
        'services': [
            {
                'name': workload.service,
                # A fleet that has just started books within seconds.
                'retry_horizon_seconds': 10,
                'timeout_seconds': 5,
                'settling_seconds': 2.5,
                'list_hold_seconds': 2,
                'non_repeatable': [
                    {'method': 'POST', 'path_prefix': '/bookings'}
                ],
            }
        ],
    }


def engine_states(fleet: Fleet) -> list[dict[str, Any]]:
    """Return what the engine stand-ins of a fleet report."""
    return [
        fleet.http.request(
            'GET',
            f'{process.url}/stand-in/state',
            timeout=STATE_TIMEOUT,
            # A kept connection may have been closed since its last use.
            retries=3,
        ).json()
        for name, process in fleet.processes.items()
        if name.endswith('-engine')
    ]


def engine_totals(fleet: Fleet) -> dict[str, float]:
    """Return the sums of the engines' counts."""
    states = engine_states(fleet)
    return {
        name: sum(float(state[name]) for state in states)
        for name in TOTAL_NAMES
    }


def wait_idle(fleet: Fleet, limit_seconds: float) -> None:
    """Cancel what still runs once the limit is over, and wait for the end."""
    deadline = time.monotonic() + limit_seconds
    while time.monotonic() < deadline:
        if not any(
            state['running'] or state['waiting']
            for state in engine_states(fleet)
        ):
            return
        time.sleep(POLL_SECONDS)
