"""Measurement of a data centre that is taken out and brought back."""

import time
from typing import Any

from wasabistream_tools.demo import CREDENTIAL, demo_document
from wasabistream_tools.fleet import Fleet
from wasabistream_tools.measurement_reports import MeasurementReport
from wasabistream_tools.steady_loads import SteadyLoad

# A data centre taken out of service gets no new work after this time.
REMOVAL_LIMIT_SECONDS = 5.0
POLICIES = ('balanced', 'round_robin', 'least_requests')
DATA_CENTRES = ('dc-a', 'dc-b')
ENGINES_PER_DATA_CENTRE = 2
REMOVED_DATA_CENTRE = 'dc-a'
WARM_UP_SECONDS = 2.0
OUT_OF_SERVICE_SECONDS = 7.0
RETURNED_SECONDS = 12.0
POLL_SECONDS = 0.05
TOKEN_SECONDS = 0.02


def run(
    seed: int = 1, load: float = 20, seeds: int = 1, json: bool = False
) -> None:
    """Take a data centre out of service and back under each routing policy.

    `load` is in requests per second over all entries. Each seed from `seed`
    on, `seeds` in number, is run with every policy in turn.
    """
    report = MeasurementReport(json)
    for number in range(seed, seed + seeds):
        for policy in POLICIES:
            report.print_progress(f'seed {number}, policy {policy}')
            report.add_row(
                policy=policy,
                seed=number,
                load=load,
                **_measure_policy(policy, number, load),
            )
    report.close()


def _measure_policy(policy: str, seed: int, load: float) -> dict[str, Any]:
    with start_fleet(policy) as fleet:
        steady_load = SteadyLoad(
            [entry.url for entry in fleet.entries()], CREDENTIAL, load, seed
        )
        steady_load.start()
        time.sleep(WARM_UP_SECONDS)
        publish_revision(fleet, revision=2, in_service=False)
        out_of_service_starts_seconds = _record_starts(
            fleet, OUT_OF_SERVICE_SECONDS
        )
        publish_revision(fleet, revision=3, in_service=True)
        returned_starts_seconds = _record_starts(fleet, RETURNED_SECONDS)
        results = steady_load.stop()
    # Starts per second that the data centre has once its share is restored:
    # half of the load.
    expected_rate = load / len(DATA_CENTRES)
    return {
        'request_count': len(results),
        'error_count': sum(bool(result.error) for result in results),
        'first_error': next((item.error for item in results if item.error), ''),
        'last_new_work_seconds': out_of_service_starts_seconds[-1]
        if out_of_service_starts_seconds
        else 0.0,
        'first_return_seconds': returned_starts_seconds[0]
        if returned_starts_seconds
        else -1.0,
        'return_share_first_2s': _compute_share(
            returned_starts_seconds, 0, expected_rate
        ),
        'return_share_last_2s': _compute_share(
            returned_starts_seconds, RETURNED_SECONDS - 2, expected_rate
        ),
    }


def _compute_share(
    starts_seconds: list[float], from_seconds: float, expected_rate: float
) -> float:
    count = sum(
        from_seconds <= start < from_seconds + 2 for start in starts_seconds
    )
    return count / (2 * expected_rate)


def start_fleet(policy: str) -> Fleet:
    """Start two data centres with one entry each."""
    fleet = Fleet()
    for data_centre in DATA_CENTRES:
        for number in range(ENGINES_PER_DATA_CENTRE):
            fleet.add_engine(
                f'{data_centre}-{number}',
                data_centre,
                token_seconds=TOKEN_SECONDS,
            )
        fleet.add_entry(
            f'entry-{data_centre}', data_centre, routing_policy=policy
        )
    publish_revision(fleet, revision=1, in_service=True)
    fleet.publish_vms()
    fleet.wait_until_ready(ENGINES_PER_DATA_CENTRE)
    return fleet


def publish_revision(fleet: Fleet, *, revision: int, in_service: bool) -> None:
    """Publish a revision with `REMOVED_DATA_CENTRE` in or out of service."""
    document = demo_document()
    document['revision'] = revision
    document['data_centres'] = [
        {'name': name, 'in_service': in_service or name != REMOVED_DATA_CENTRE}
        for name in DATA_CENTRES
    ]
    fleet.publish_document(document)


def _record_starts(fleet: Fleet, seconds: float) -> list[float]:
    """Return when generations start in the data centre, in seconds from now."""
    started_seconds = time.monotonic()
    previous_count = started_count(fleet, REMOVED_DATA_CENTRE)
    starts_seconds: list[float] = []
    while time.monotonic() < started_seconds + seconds:
        time.sleep(POLL_SECONDS)
        count = started_count(fleet, REMOVED_DATA_CENTRE)
        now_seconds = time.monotonic() - started_seconds
        starts_seconds.extend(
            now_seconds for _ in range(count - previous_count)
        )
        previous_count = count
    return starts_seconds


def started_count(fleet: Fleet, data_centre: str) -> int:
    """Return how many generations the engines of a data centre started."""
    total = 0
    for name, vm in fleet.vms.items():
        if vm['role'] == 'agent' and vm['data_centre'] == data_centre:
            url = fleet.processes[f'{name}-engine'].url
            state = fleet.http.request('GET', f'{url}/stand-in/state').json()
            total += state['started_count']
    return total
