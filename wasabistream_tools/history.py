"""Run a fleet under faults, record its history and check the guarantees.

Each seed is one run. Prints a line for each seed and ends with
`N passed, N failed`.
"""

import dataclasses
import json
import random
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import fire
import urllib3

from wasabistream_tools.faults import FAULTS, FaultContext
from wasabistream_tools.fleet import Fleet
from wasabistream_tools.guarantees import Violation, check_history
from wasabistream_tools.history_callers import (
    CREDENTIAL,
    RETRY_HORIZON_SECONDS,
    HistoryCaller,
)
from wasabistream_tools.history_events import (
    End,
    Ended,
    History,
    InForce,
    Overloaded,
    Published,
    Ran,
    Recorder,
    Sent,
    now,
)
from wasabistream_tools.link_proxies import LinkProxy
from wasabistream_tools.sample_documents import sample_document

DATA_CENTRES = ('dc-a', 'dc-b')
CALLER_COUNT = 12
RUN_SECONDS = 12.0
# Time after callers and faults end in which a request that a backend server
# starts late is still recorded.
COLLECT_DELAY_SECONDS = 2.0
MAX_FAULT_DELAY_SECONDS = 2.0
# Interval of asking the entries for their document, and timeout of a request.
POLL_INTERVAL_SECONDS = 0.3
CALLER_PAUSE_SECONDS = 0.1
# The agent that owns an idempotency key runs no new call before it has held
# its lease for the settling time, so the first bookings are refused.
MAX_FIRST_BOOKING_COUNT = 20


class HistoryRun:
    """Run a fleet, its callers and the faults of one seed."""

    def __init__(self, seed: int, fault_names: tuple[str, ...]) -> None:
        self._seed = seed
        self._fault_names = fault_names
        self._recorder = Recorder()
        self._callers_ended = threading.Event()

    def run(self) -> History:
        """Run until all callers and faults have ended; return the history."""
        with Fleet() as fleet:
            link_proxies = self._start_fleet(fleet)
            context = FaultContext(
                fleet,
                self._recorder,
                random.Random(self._seed),
                link_proxies,
                initial_document(),
            )
            fleet.wait_until_ready(backend_count=7)
            self._recorder.add(Published(now(), 1))
            self._try_bookings_until_accepted(fleet)
            self._run_callers_and_faults(context)
            self._collect_backend_events(fleet)
            for link_proxy in link_proxies.values():
                link_proxy.close()
        return self._recorder.history()

    def _start_fleet(self, fleet: Fleet) -> dict[str, LinkProxy]:
        for number, data_centre in enumerate(DATA_CENTRES * 2, 1):
            fleet.add_engine(
                f'engine-{number}',
                data_centre,
                token_seconds=0.02,
                memory_tokens=400,
                cold_limit_count=2,
                warm_up_tokens=40,
            )
        for number, data_centre in enumerate((*DATA_CENTRES, 'dc-a'), 1):
            fleet.add_service(f'booking-{number}', data_centre, 'booking')
        link_proxies = {}
        for name, vm in fleet.vms.items():
            link_proxies[name] = LinkProxy(vm['link_port'])
            vm['link_port'] = link_proxies[name].port
        for number, data_centre in enumerate((*DATA_CENTRES, 'dc-a'), 1):
            fleet.add_entry(
                f'entry-{number}', data_centre, drain_notice_seconds=1
            )
        fleet.publish_document(initial_document())
        fleet.publish_vms()
        return link_proxies

    def _run_callers_and_faults(self, context: FaultContext) -> None:
        deadline = time.monotonic() + RUN_SECONDS
        threading.Thread(
            target=self._poll_entries, args=(context.fleet,)
        ).start()
        with ThreadPoolExecutor(CALLER_COUNT + len(self._fault_names)) as pool:
            callers = [
                pool.submit(self._run_caller, context.fleet, number, deadline)
                for number in range(CALLER_COUNT)
            ]
            faults = [
                pool.submit(self._inject_after_delay, context, name)
                for name in self._fault_names
            ]
        self._callers_ended.set()
        for future in (*callers, *faults):
            future.result()
        time.sleep(COLLECT_DELAY_SECONDS)

    def _try_bookings_until_accepted(self, fleet: Fleet) -> None:
        caller = HistoryCaller(fleet, self._recorder, str(self._seed))
        for attempt in range(MAX_FIRST_BOOKING_COUNT):
            if caller.send_booking(f's{self._seed}-start-{attempt}'):
                return

    def _inject_after_delay(self, context: FaultContext, name: str) -> None:
        random_source = random.Random(f'{self._seed} {name}')
        time.sleep(random_source.uniform(0, MAX_FAULT_DELAY_SECONDS))
        FAULTS[name](context)

    def _run_caller(self, fleet: Fleet, number: int, deadline: float) -> None:
        caller = HistoryCaller(fleet, self._recorder, f'{self._seed} {number}')
        actions = (caller.stream, caller.draft, caller.send_booking)
        sequence = 0
        while time.monotonic() < deadline:
            sequence += 1
            tag = f's{self._seed}-c{number}-{sequence}'
            actions[(number + sequence) % len(actions)](tag)
            time.sleep(CALLER_PAUSE_SECONDS)

    def _poll_entries(self, fleet: Fleet) -> None:
        while not self._callers_ended.wait(POLL_INTERVAL_SECONDS):
            for entry in fleet.entries():
                self._record_document_in_force(fleet, entry.name, entry.url)

    def _record_document_in_force(
        self, fleet: Fleet, name: str, url: str
    ) -> None:
        asked_at_seconds = now()
        try:
            report = fleet.http.request(
                'GET', f'{url}/readyz', timeout=POLL_INTERVAL_SECONDS
            ).json()
        except (urllib3.exceptions.HTTPError, ValueError):
            return
        # An entry that is not ready yet has no document in force.
        if report['ready']:
            self._recorder.add(
                InForce(
                    asked_at_seconds, name, report['revision'], report['digest']
                )
            )

    def _collect_backend_events(self, fleet: Fleet) -> None:
        for name, vm in fleet.vms.items():
            if vm['role'] != 'agent':
                continue
            suffix = 'service' if vm.get('service') else 'engine'
            url = fleet.processes[f'{name}-{suffix}'].url
            recorded = fleet.http.request(
                'GET', f'{url}/stand-in/history'
            ).json()
            for at_seconds, tag, *key in recorded['runs']:
                self._recorder.add(
                    Ran(at_seconds, tag, name, vm['data_centre'], *key)
                )
            for at_seconds in recorded['overloads']:
                self._recorder.add(Overloaded(at_seconds, name))


def initial_document() -> dict[str, Any]:
    """Return the configuration document that a run publishes first."""
    times = {
        'retry_horizon_seconds': RETRY_HORIZON_SECONDS,
        'timeout_seconds': 3,
        'settling_seconds': 3,
        'list_hold_seconds': 5,
    }
    return sample_document(CREDENTIAL, DATA_CENTRES, times)


def choose_faults(seed: int) -> tuple[str, ...]:
    """Return the names of one or two faults, the same for the same seed."""
    random_source = random.Random(seed)
    return tuple(random_source.sample(sorted(FAULTS), 1 + seed % 2))


def run_seed(
    seed: int, fault_names: tuple[str, ...]
) -> tuple[History, list[Violation]]:
    """Run a seed with the named faults; return its history and violations."""
    history = HistoryRun(seed, fault_names).run()
    return history, check_history(history)


def summarise(history: History) -> str:
    """Return the number of requests sent, and of each way they ended."""
    sent = len(history.events_of(Sent))
    ends = {
        end: sum(item.end == end for item in history.events_of(Ended))
        for end in End
    }
    counts = ', '.join(f'{count} {end}' for end, count in ends.items())
    return f'{sent} sent, {counts}'


def run(
    seeds: int = 20, first: int = 1, faults: str = '', output: str = ''
) -> None:
    """Run seeds from `first` on and exit with 1 if a guarantee was broken.

    `faults` holds names joined by `+`; without it, each seed chooses its own.
    The events of each run go to the file `output`-SEED.json if it is given.
    """
    failed_count = 0
    for seed in range(first, first + seeds):
        names = tuple(faults.split('+')) if faults else choose_faults(seed)
        history, violations = run_seed(seed, names)
        verdict = 'failed' if violations else 'ok'
        _print_line(
            f'seed {seed}: {"+".join(names)}: {summarise(history)}: {verdict}'
        )
        for violation in violations[:5]:
            _print_line(f'  {violation.guarantee}: {violation.detail}')
        if output:
            _write_events(history, f'{output}-{seed}.json')
        failed_count += bool(violations)
    _print_line(f'{seeds - failed_count} passed, {failed_count} failed')
    sys.exit(1 if failed_count else 0)


def _write_events(history: History, path: str) -> None:
    rows = [
        {'event': type(item).__name__, **dataclasses.asdict(item)}
        for item in history.events
    ]
    with open(path, 'w', encoding='utf-8') as target:
        json.dump(rows, target, indent=1)


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    fire.Fire(run)
