"""Measurement of a data centre that is taken out and brought back."""

import time
from typing import Any

from wasabistream_tools.demo import CREDENTIAL, demo_document
from wasabistream_tools.fleet import Fleet
from wasabistream_tools.measurement_reports import MeasurementReport
from wasabistream_tools.steady_loads import SteadyLoad

REMOVAL_LIMIT_SECONDS = 5.0
POLICIES = ('balanced', 'round_robin', 'least_requests')
DATA_CENTRES = ('dc-a', 'dc-b')
ENGINES_PER_DATA_CENTRE = 2
OUT = 'dc-a'
WARM_SECONDS = 2.0
OUT_SECONDS = 7.0
BACK_SECONDS = 12.0
POLL_SECONDS = 0.05
TOKEN_SECONDS = 0.02


def run(
    seed: int = 1, load: float = 20, seeds: int = 1, json: bool = False
) -> None:
    """Compare the policies while a data centre leaves and returns.

    `load` is in requests per second over all entries; seeds from `seed` on
    are run with every policy in turn.
    """
    report = MeasurementReport(json)
    for number in range(seed, seed + seeds):
        for policy in POLICIES:
            report.progress(f'seed {number}, policy {policy}')
            report.add(
                policy=policy,
                seed=number,
                load=load,
                **_run(policy, number, load),
            )
    report.close()


def _run(policy: str, seed: int, load: float) -> dict[str, Any]:
    with start_fleet(policy) as fleet:
        steady = SteadyLoad(
            [entry.url for entry in fleet.entries()], CREDENTIAL, load, seed
        )
        steady.start()
        time.sleep(WARM_SECONDS)
        publish_revision(fleet, revision=2, in_service=False)
        out_starts = _follow_starts(fleet, OUT_SECONDS)
        publish_revision(fleet, revision=3, in_service=True)
        back_starts = _follow_starts(fleet, BACK_SECONDS)
        answers = steady.stop()
    # Half of all work belongs to the data centre once it is back in full.
    share_count = load / len(DATA_CENTRES)
    return {
        'request_count': len(answers),
        'error_count': sum(bool(answer.error) for answer in answers),
        'first_error': next((item.error for item in answers if item.error), ''),
        'last_new_work_seconds': out_starts[-1] if out_starts else 0.0,
        'first_return_seconds': back_starts[0] if back_starts else -1.0,
        'return_share_first_2s': _share(back_starts, 0, share_count),
        'return_share_last_2s': _share(
            back_starts, BACK_SECONDS - 2, share_count
        ),
    }


def _share(starts: list[float], since: float, share_count: float) -> float:
    count = sum(since <= start < since + 2 for start in starts)
    return count / (2 * share_count)


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
    """Publish a document with the data centre in or out of service."""
    document = demo_document()
    document['revision'] = revision
    document['data_centres'] = [
        {'name': name, 'in_service': in_service or name != OUT}
        for name in DATA_CENTRES
    ]
    fleet.publish_document(document)


def _follow_starts(fleet: Fleet, seconds: float) -> list[float]:
    """Return when generations started in the data centre, from now on."""
    began = time.monotonic()
    known_count = started_count(fleet, OUT)
    starts: list[float] = []
    while time.monotonic() < began + seconds:
        time.sleep(POLL_SECONDS)
        count = started_count(fleet, OUT)
        now = time.monotonic() - began
        starts.extend(now for _ in range(count - known_count))
        known_count = count
    return starts


def started_count(fleet: Fleet, data_centre: str) -> int:
    """Return how many generations the engines of a data centre started."""
    total = 0
    for name, vm in fleet.vms.items():
        if vm['role'] == 'agent' and vm['data_centre'] == data_centre:
            url = fleet.processes[f'{name}-engine'].url
            state = fleet.http.request('GET', f'{url}/stand-in/state').json()
            total += state['started_count']
    return total
