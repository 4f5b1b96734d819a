"""Fleets for the named workloads."""

import time
from collections.abc import Mapping
from typing import Any

from wasabistream_tools.fleet import Fleet, credential_digest
from wasabistream_tools.workloads import Workload

STATE_TIMEOUT_SECONDS = 5.0
POLL_SECONDS = 0.1
COUNTER_NAMES = (
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
    """Start a workload's engines and services and one entry per data centre."""
    fleet = Fleet()
    data_centres = workload.data_centres
    for number in range(workload.engine_count):
        fleet.add_engine(
            f'engine-{number + 1}',
            data_centres[number % len(data_centres)],
            dict(agent_flags or {}),
            models=workload.model,
            **{**workload.engine_options, **(engine_options or {})},
        )
    for number in range(workload.service_backend_count):
        fleet.add_service(
            f'{workload.service}-{number + 1}',
            data_centres[number % len(data_centres)],
            workload.service,
        )
    for number, data_centre in enumerate(data_centres, 1):
        fleet.add_entry(f'entry-{number}', data_centre, **(entry_flags or {}))
    fleet.publish_document(build_workload_document(workload))
    fleet.publish_vms()
    fleet.wait_until_ready(
        workload.engine_count + workload.service_backend_count
    )
    return fleet


def build_workload_document(
    workload: Workload, revision: int = 1
) -> dict[str, Any]:
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
                # Short times, so that a new fleet accepts bookings within
                # seconds.
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


def fetch_engine_states(fleet: Fleet) -> list[dict[str, Any]]:
    """Read the state of each engine stand-in of a fleet."""
    return [
        fleet.http.request(
            'GET',
            f'{process.url}/stand-in/state',
            timeout=STATE_TIMEOUT_SECONDS,
            # The stand-in may have closed a pooled connection meanwhile.
            retries=3,
        ).json()
        for name, process in fleet.processes.items()
        if name.endswith('-engine')
    ]


def fetch_engine_totals(fleet: Fleet) -> dict[str, float]:
    """Return the counters of the engine stand-ins, summed over engines."""
    states = fetch_engine_states(fleet)
    return {
        name: sum(float(state[name]) for state in states)
        for name in COUNTER_NAMES
    }


def wait_until_idle(fleet: Fleet, limit_seconds: float) -> None:
    """Wait until no engine has work, or until the limit is over."""
    deadline = time.monotonic() + limit_seconds
    while time.monotonic() < deadline:
        if not any(
            state['running'] or state['waiting']
            for state in fetch_engine_states(fleet)
        ):
            return
        time.sleep(POLL_SECONDS)
