"""Fleets for the named workloads."""

from collections.abc import Mapping
from typing import Any

from wasabistream_tools.fleet import Fleet, credential_digest
from wasabistream_tools.workloads import Workload


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
    fleet.wait_ready(workload.engine_count + workload.service_count)
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
                'non_repeatable': [
                    {'method': 'POST', 'path_prefix': '/bookings'}
                ],
            }
        ],
    }
