"""Soak the platform daemons as real processes under series of faults.

Each seed is one run. Prints a report and ends with `N passed, N failed`.
"""

import logging
import shutil
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from types import FrameType
from typing import Any

import fire

from wasabistream_tools.soak.checks import (
    PROMISES,
    Verdict,
    check_all,
    find_longest_lag,
)
from wasabistream_tools.soak.faults import FAULTS
from wasabistream_tools.soak.records import Ending, Facts, HeldUp, Played
from wasabistream_tools.soak.runs import RunOptions, SoakRun
from wasabistream_tools.soak.sites import SiteSize
from wasabistream_tools.soak.stores import PLATFORM_PAGE, SMALL_PAGE

MAX_SHOWN_COUNT = 5
STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)
FACTS_FILE = 'facts.txt'
# Pages of the store's list.
PAGE_LIMITS = {'small': SMALL_PAGE, 'platform': PLATFORM_PAGE}
# Options that make a run's deployment larger or slower, and the fields they set.
SIZE_OPTIONS = {
    'data_centres': 'data_centre_count',
    'routes': 'filler_route_count',
    'servers': 'spare_server_count',
    'pages': 'page_limit',
    'processors': 'processor_count',
    'store_rate': 'store_bytes_per_second',
    'probes': 'probe_count',
}


class SoakReport:
    """Collect the results of all seeds and print them."""

    def __init__(self) -> None:
        self._begun_at_seconds = time.monotonic()
        self._played: Counter[str] = Counter()
        self._checked: Counter[str] = Counter()
        self._excused: Counter[str] = Counter()
        self._broken: list[str] = []
        self._longest_pause_seconds = 0.0
        self.seed_count = 0
        self.failed_count = 0

    def add(self, seed: int, facts: Facts, folder: Path) -> bool:
        """Check the facts of a seed; return whether all promises held."""
        verdicts = check_all(facts)
        self.seed_count += 1
        self._played.update(fact.fault for fact in facts.of(Played))
        self._longest_pause_seconds = max(
            self._longest_pause_seconds, _longest_pause_seconds(facts)
        )
        held_up = max(
            (fact.late_seconds for fact in facts.of(HeldUp)), default=0
        )
        print_line(f'seed {seed}: the soak itself was late by {held_up:.2f} s')
        for name, verdict in verdicts.items():
            self._checked[name] += verdict.checked_count
            self._excused.update(verdict.excused)
        broken = [key for key, value in verdicts.items() if value.violations]
        self.failed_count += bool(broken)
        print_line(f'seed {seed}: {_summarise(facts)}')
        lag_seconds, described = find_longest_lag(facts)
        print_line(
            f'seed {seed}: older version at most {lag_seconds:.2f} s after a '
            f'confirmation: {described}'
        )
        for promise in broken:
            self._broken.append(f'seed {seed}: {promise}, logs in {folder}')
            _print_violations(promise, verdicts[promise])
        print_line(f'seed {seed}: {"failed" if broken else "ok"}')
        return not broken

    def fail(self, seed: int, reason: str, folder: Path) -> None:
        """Count a seed that could not run."""
        self.seed_count += 1
        self.failed_count += 1
        self._broken.append(f'seed {seed}: not run: {reason}, logs in {folder}')
        print_line(f'seed {seed}: failed: {reason}')

    def print_all(self) -> None:
        """Print the report of all seeds."""
        print_line('faults started:')
        for name, count in sorted(self._played.items()):
            print_line(f'  {name}: {count}')
        print_line('promises checked:')
        for checked_name in PROMISES:
            print_line(f'  {checked_name}: {self._checked[checked_name]}')
        print_line('requests cut as the rules allow:')
        for reason, reason_count in sorted(self._excused.items()):
            print_line(f'  {reason}: {reason_count}')
        print_line(
            f'longest pause between served requests: '
            f'{self._longest_pause_seconds:.2f} s'
        )
        for line in self._broken:
            print_line(f'broken: {line}')
        print_line(
            f'took {time.monotonic() - self._begun_at_seconds:.0f} seconds'
        )
        passed_count = self.seed_count - self.failed_count
        print_line(f'{passed_count} passed, {self.failed_count} failed')


def run(
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 30,
    entries: int = 3,
    clients: int = 6,
    faults: str = '',
    keep: str = '',
    **size: Any,
) -> None:
    """Run seeds from `seed` on; exit with 1 if a promise was broken.

    `clients` is the number of clients beside each entry. `faults` holds names
    joined by commas; without it all are played. Logs and facts of seeds that
    failed, or of all seeds with `keep`, stay in a folder. `size` holds the
    options of SIZE_OPTIONS.
    """
    logging.basicConfig(
        stream=sys.stdout, level=logging.INFO, format='%(asctime)s %(message)s'
    )
    for stop_number in STOP_SIGNALS:
        signal.signal(stop_number, _interrupt)
    names = _split_names(faults)
    site_size = _build_size(size)
    base = Path(keep or tempfile.mkdtemp(prefix='wasabistream-soak-'))
    report = SoakReport()
    for number in range(seed, seed + seeds):
        folder = base / f'seed-{number}'
        folder.mkdir(parents=True, exist_ok=True)
        options = RunOptions(
            number, float(seconds), entries, clients, names, folder, site_size
        )
        if _run_seed(options, report) and not keep:
            shutil.rmtree(folder)
    report.print_all()
    sys.exit(1 if report.failed_count else 0)


def print_line(line: str) -> None:
    """Print a line at once."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def _run_seed(options: RunOptions, report: SoakReport) -> bool:
    seed = options.seed
    try:
        facts = SoakRun(options).run(
            lambda text: print_line(f'seed {seed}: {text}')
        )
    except (OSError, TimeoutError) as error:
        report.fail(seed, repr(error), options.folder)
        return False
    except KeyboardInterrupt:
        report.fail(seed, 'interrupted', options.folder)
        report.print_all()
        sys.exit(1)
    rows = [f'{type(row).__name__} {row}' for row in facts.rows]
    (options.folder / FACTS_FILE).write_text('\n'.join(rows), encoding='utf-8')
    return report.add(seed, facts, options.folder)


def _split_names(faults: str | tuple[str, ...]) -> tuple[str, ...]:
    # fire turns a list with commas into a tuple.
    parts = faults.split(',') if isinstance(faults, str) else faults
    names = tuple(part.strip() for part in parts if part)
    unknown = sorted(set(names) - FAULTS.keys())
    if unknown:
        raise ValueError(f'unknown faults {unknown}; known: {sorted(FAULTS)}')
    return names or tuple(sorted(FAULTS))


def _build_size(size: dict[str, Any]) -> SiteSize:
    unknown = sorted(size.keys() - SIZE_OPTIONS.keys())
    if unknown:
        raise ValueError(
            f'unknown options {unknown}; known: {sorted(SIZE_OPTIONS)}'
        )
    fields = {SIZE_OPTIONS[name]: content for name, content in size.items()}
    pages = fields.pop('page_limit', 'small')
    return SiteSize(page_limit=PAGE_LIMITS[pages], **fields)


def _interrupt(number: int, frame: FrameType | None) -> None:
    # A second signal must not interrupt the end of the processes.
    for stop_number in STOP_SIGNALS:
        signal.signal(stop_number, signal.SIG_IGN)
    raise KeyboardInterrupt


def _summarise(facts: Facts) -> str:
    attempts = facts.attempts
    statuses = Counter(
        str(item.status) if item.ending is Ending.whole else str(item.ending)
        for item in attempts
    )
    counts = ', '.join(f'{name} {statuses[name]}' for name in sorted(statuses))
    return f'{len(attempts)} requests: {counts}'


def _longest_pause_seconds(facts: Facts) -> float:
    served = sorted(
        item.ended_at_seconds for item in facts.attempts if item.is_served
    )
    pairs = zip(served, served[1:], strict=False)
    return max((later - earlier for earlier, later in pairs), default=0)


def _print_violations(name: str, verdict: Verdict) -> None:
    for text in verdict.violations[:MAX_SHOWN_COUNT]:
        print_line(f'  {name}: {text}')
    more_count = len(verdict.violations) - MAX_SHOWN_COUNT
    if more_count > 0:
        print_line(f'  {name}: {more_count} more')


if __name__ == '__main__':
    fire.Fire(run)
