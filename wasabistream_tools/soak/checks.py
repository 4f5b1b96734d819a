"""Checks of the promises, as RULES.md states them, on recorded facts."""

import math
import signal
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from wasabistream_tools.soak import sites
from wasabistream_tools.soak.records import (
    Attempt,
    Configuration,
    Ending,
    Exited,
    Facts,
    Leaving,
    RunEnding,
    Stray,
)

GRACE_SECONDS: float = sites.BOUNDS['grace_s']
APPLY_SECONDS: float = sites.BOUNDS['config_apply_ms'] / 1000
ROLLBACK_SECONDS: float = sites.BOUNDS['rollback_slack_ms'] / 1000
DRAIN_SECONDS: float = sites.BOUNDS['drain_ms'] / 1000
LOSS_SLACK_SECONDS: float = sites.BOUNDS['loss_slack_ms'] / 1000
# A SIGTERM counts as planned work until this long after the grace time.
AFTER_GRACE_SECONDS = 1.0
# Requests sent up to this time after SIGTERM may be cut while their server is
# at work in the last part of the grace time.
EXCUSED_SENT_SECONDS = 3.0
LAST_PART_BEGIN_SECONDS = GRACE_SECONDS * 5 / 6
# Cuts of requests of kept connections, without planned work.
MAX_UNPLANNED_CUT_COUNT = 3
# Cuts beside a configuration count if they are this much more frequent.
CONFIGURATION_CUT_RATIO = 3
USED_TIME_SHARE = 0.7
MAX_DENIED_COUNT = 5
MAX_DENIED_RATIO = 1 / 500
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
CONFIGURATION_STATUSES = frozenset((401, 403, 404))
# Refusals of an entry that promise nothing and are not asked for.
OWN_REFUSALS = frozenset(range(300, 500)) - NOT_RUN_STATUSES
# Done, ended with requests cut, and stopped before the handlers were set.
EXIT_CODES = frozenset((0, 3, -signal.SIGTERM))
SHOWN_BODY_BYTES = 40
# A server's clock for a deadline is in whole milliseconds and starts later.
DEADLINE_SLACK_SECONDS = 0.05


@dataclass(frozen=True)
class Verdict:
    """State how a promise was kept."""

    checked_count: int
    violations: tuple[str, ...] = ()
    # Cuts that the rules allow, by reason.
    excused: Mapping[str, int] = field(default_factory=dict)


Check = Callable[[Facts], Verdict]
PROMISES: dict[str, Check] = {}


def promise(name: str) -> Callable[[Check], Check]:
    """Register the check of a promise."""

    def register(function: Check) -> Check:
        PROMISES[name] = function
        return function

    return register


def check_all(facts: Facts) -> dict[str, Verdict]:
    """Return a verdict for each promise."""
    return {name: check(facts) for name, check in PROMISES.items()}


@promise('LOST')
def check_lost(facts: Facts) -> Verdict:
    """Find requests without a whole answer around planned work."""
    violations: list[str] = []
    excused: Counter[str] = Counter()
    checked_count = 0
    for attempt in facts.attempts:
        work = _planned_work(facts, attempt)
        if not work or _is_disturbed(facts, attempt):
            continue
        checked_count += 1
        if not _is_cut(facts, attempt):
            continue
        reason = _excuse(facts, attempt)
        if reason:
            excused[reason] += 1
        else:
            violations.append(f'{work}: {_describe(facts, attempt)}')
    return Verdict(checked_count, tuple(violations), excused)


@promise('LOST at any time')
def check_unplanned_cuts(facts: Facts) -> Verdict:
    """Find entries in touch that pass on requests and drop the answers."""
    attempts = facts.attempts
    cuts = [
        _describe(facts, attempt)
        for attempt in attempts
        if not attempt.status
        and facts.runs_of(attempt)
        and _is_unexcused_cut(facts, attempt)
        and _is_in_touch(facts, attempt)
    ]
    allowed = len(cuts) <= MAX_UNPLANNED_CUT_COUNT
    return Verdict(len(attempts), () if allowed else tuple(cuts))


@promise('LOST beside configurations')
def check_configuration_cuts(facts: Facts) -> Verdict:
    """Find entries that cut requests more often beside configurations."""
    attempts: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in facts.attempts:
        attempts[attempt.entry].append(attempt)
    violations: list[str] = []
    for sent in attempts.values():
        beside = [
            item for item in sent if _is_beside_configuration(facts, item)
        ]
        other_count = len(sent) - len(beside)
        cut = [
            item
            for item in beside
            if _is_unexcused_cut(facts, item)
            and _used_share(item) < USED_TIME_SHARE
        ]
        other_cut_count = sum(_is_cut(facts, item) for item in sent) - len(cut)
        if len(cut) * other_count > (
            CONFIGURATION_CUT_RATIO * other_cut_count * len(beside)
        ):
            violations.extend(_describe(facts, item) for item in cut)
    return Verdict(sum(map(len, attempts.values())), tuple(violations))


@promise('MIXED')
def check_mixed(facts: Facts) -> Verdict:
    """Find answers that are not those of the request's server."""
    violations = [
        f'stray answer from {stray.entry}: {stray.head[:SHOWN_BODY_BYTES]!r}'
        for stray in facts.of(Stray)
        if stray.head.startswith(b'HTTP/1.1 2')
    ]
    attempts = [attempt for attempt in facts.attempts if attempt.status]
    violations.extend(
        _describe(facts, attempt)
        for attempt in attempts
        if not _is_own_answer(facts, attempt)
    )
    return Verdict(len(attempts), tuple(violations))


@promise('TWICE')
def check_twice(facts: Facts) -> Verdict:
    """Find requests that ran twice and may run once only."""
    once = [item for item in facts.attempts if not item.may_run_again]
    violations = [
        _describe(facts, attempt)
        for attempt in once
        if sum(not run.is_continued for run in facts.runs_of(attempt)) > 1
    ]
    return Verdict(len(once), tuple(violations))


@promise('REFUSED')
def check_refused(facts: Facts) -> Verdict:
    """Find requests that ran although their refusal promised otherwise."""
    refused = [
        attempt
        for attempt in facts.attempts
        if attempt.status in NOT_RUN_STATUSES and not attempt.may_run_again
    ]
    violations = [
        _describe(facts, attempt)
        for attempt in refused
        if facts.runs_of(attempt)
    ]
    return Verdict(len(refused), tuple(violations))


@promise('UNASKED')
def check_unasked(facts: Facts) -> Verdict:
    """Find runs of requests that no client sent so."""
    violations: list[str] = []
    for run in facts.runs:
        attempt = facts.attempts_by_id.get(run.attempt_id)
        tenant = sites.BASE_TENANT
        if attempt is not None and attempt.api_key != sites.BASE_KEY:
            tenant = sites.CHANGING_TENANT
        if attempt is None or (run.prefix, run.body, run.tenant) != (
            attempt.prefix,
            attempt.body,
            tenant,
        ):
            violations.append(f'run of {run.attempt_id} at {run.server_id}')
    return Verdict(len(facts.runs), tuple(violations))


@promise('ROUTE')
def check_route(facts: Facts) -> Verdict:
    """Find runs at services to which no configuration sent the request."""
    violations: list[str] = []
    for run in facts.runs:
        attempt = facts.attempts_by_id.get(run.attempt_id)
        if attempt is None:
            continue
        if not _versions_that_run(facts.configurations, attempt, run.service):
            violations.append(_describe(facts, attempt))
    return Verdict(len(facts.runs), tuple(violations))


@promise('DENIED')
def check_denied(facts: Facts) -> Verdict:
    """Find refusals of requests that all configurations allow."""
    attempts = facts.attempts
    denied = []
    for attempt in attempts:
        if attempt.seal or attempt.status not in OWN_REFUSALS:
            continue
        allowed = all(
            _find_service(item, attempt)
            for item in _possible_configurations(facts, attempt)
        )
        if allowed and _is_judged(facts, attempt):
            denied.append(_describe(facts, attempt))
    is_kept = len(denied) <= MAX_DENIED_COUNT + len(attempts) * MAX_DENIED_RATIO
    return Verdict(len(attempts), () if is_kept else tuple(denied))


@promise('CONFIG')
def check_configurations(facts: Facts) -> Verdict:
    """Find requests that are handled as only an older version allows."""
    violations: list[str] = []
    checked_count = 0
    for attempt in facts.attempts:
        versions = _handling_versions(facts, attempt)
        if versions is None or not _is_in_touch(facts, attempt):
            continue
        checked_count += 1
        lowest = _lowest_possible(facts, attempt)
        if versions and max(versions) < lowest:
            violations.append(f'below {lowest}: {_describe(facts, attempt)}')
    return Verdict(checked_count, tuple(violations))


@promise('CONFIG regress')
def check_regress(facts: Facts) -> Verdict:
    """Find entries that return to an older version within one life."""
    violations: list[str] = []
    lives: dict[tuple[str, float], list[Attempt]] = defaultdict(list)
    for attempt in facts.attempts:
        begin = facts.life_begin(attempt.entry, attempt.begun_at_seconds)
        lives[attempt.entry, begin].append(attempt)
    for attempts in lives.values():
        seen = _versions_in_force(facts, attempts)
        for sent in attempts:
            limit = sent.begun_at_seconds - ROLLBACK_SECONDS
            reached = max(
                (version for at, version in seen if at < limit), default=0
            )
            if max(_handling_versions(facts, sent) or (reached,)) < reached:
                violations.append(f'after {reached}: {_describe(facts, sent)}')
    return Verdict(len(facts.attempts), tuple(violations))


@promise('DRAIN')
def check_drain(facts: Facts) -> Verdict:
    """Find requests that reach a server long after it announced to leave."""
    violations: list[str] = []
    leaving = {
        fact.server_id: fact.acked_at_seconds for fact in facts.of(Leaving)
    }
    for run in facts.runs:
        acked = leaving.get(run.server_id)
        attempt = facts.attempts_by_id.get(run.attempt_id)
        if acked is None or attempt is None:
            continue
        begun = run.begun_at_seconds
        is_late = begun > acked + DRAIN_SECONDS
        if is_late and facts.is_in_touch(attempt.entry, acked, begun):
            violations.append(f'{run.server_id}: {_describe(facts, attempt)}')
    return Verdict(len(leaving), tuple(violations))


@promise('EXIT')
def check_exits(facts: Facts) -> Verdict:
    """Find processes that end late after SIGTERM, or by themselves."""
    violations: list[str] = []
    exits = facts.of(Exited)
    for fact in exits:
        if fact.is_killed:
            violations.append(f'{fact.process} outlived its grace time')
        elif fact.code not in EXIT_CODES:
            violations.append(f'{fact.process} ended with {fact.code}')
        begin = facts.life_begin(fact.process, fact.at_seconds)
        stops = facts.stops_of(fact.process)
        if not any(begin <= stop <= fact.at_seconds for stop in stops):
            violations.append(f'{fact.process} ended itself with {fact.code}')
    return Verdict(len(exits), tuple(violations))


@promise('SERVED')
def check_served(facts: Facts) -> Verdict:
    """Find a run in which a kind of request is never served."""
    sent = Counter(item.prefix for item in facts.attempts)
    served = {item.prefix for item in facts.attempts if item.is_served}
    violations = [
        f'none of {sent[kind.prefix]} requests on {kind.prefix}'
        for kind in sites.BASE_KINDS
        if sent[kind.prefix] > MAX_DENIED_COUNT and kind.prefix not in served
    ]
    if not served:
        violations.append('no request is served')
    return Verdict(len(facts.attempts), tuple(violations))


def find_longest_lag(facts: Facts) -> tuple[float, str]:
    """Return how late an entry in touch handled a request by an older version.

    The time counts from the confirmation of the version that the entry lacked.
    """
    longest = (0.0, 'none')
    for attempt in facts.attempts:
        versions = _handling_versions(facts, attempt)
        if not versions or not _is_in_touch(facts, attempt):
            continue
        newer_acks = [
            item.acked_at_seconds
            for item in facts.configurations
            if item.version > max(versions)
        ]
        lag_seconds = attempt.begun_at_seconds - min(
            newer_acks, default=math.inf
        )
        if lag_seconds > longest[0]:
            longest = (lag_seconds, _describe(facts, attempt))
    return longest


def _planned_work(facts: Facts, attempt: Attempt) -> str:
    begin, end = attempt.begun_at_seconds, attempt.ended_at_seconds
    limit_seconds = GRACE_SECONDS + AFTER_GRACE_SECONDS
    for stop in reversed(facts.stops_of(attempt.entry)):
        if begin <= stop + limit_seconds and end >= stop:
            return f'SIGTERM {end - stop:.2f} s before the end'
    for reload in facts.signals_of(attempt.entry, signal.SIGHUP):
        if begin <= reload + APPLY_SECONDS and end >= reload:
            return f'SIGHUP {end - reload:.2f} s before the end'
    return ''


def _is_beside_configuration(facts: Facts, attempt: Attempt) -> bool:
    return any(
        attempt.ended_at_seconds >= item.sent_at_seconds
        and attempt.begun_at_seconds
        <= item.acked_at_seconds + APPLY_SECONDS + AFTER_GRACE_SECONDS
        for item in facts.configurations[1:]
    )


def _is_cut(facts: Facts, attempt: Attempt) -> bool:
    """Return whether an entry took a request and gave no whole answer."""
    if attempt.ending not in {Ending.closed, Ending.reset}:
        return False
    if facts.runs_of(attempt):
        return True
    sent = attempt.sent_at_seconds
    return (
        attempt.ending is Ending.closed
        and sent is not None
        and attempt.ended_at_seconds > sent + LOSS_SLACK_SECONDS
    )


def _is_unexcused_cut(facts: Facts, attempt: Attempt) -> bool:
    return _is_cut(facts, attempt) and not _excuse(facts, attempt)


def _is_in_touch(facts: Facts, attempt: Attempt) -> bool:
    return facts.is_in_touch(
        attempt.entry, attempt.begun_at_seconds, attempt.ended_at_seconds
    )


def _is_disturbed(facts: Facts, attempt: Attempt) -> bool:
    """Return whether unplanned disruptions of the entry excuse a cut."""
    return facts.is_disturbed(
        attempt.entry, attempt.begun_at_seconds, attempt.ended_at_seconds
    )


def _excuse(facts: Facts, attempt: Attempt) -> str:
    """Return why the rules allow a cut, or an empty text."""
    runs = facts.runs_of(attempt)
    if any(run.ending is RunEnding.broken_off for run in runs):
        return 'server broke off'
    if _used_share(attempt) >= 1:
        return 'deadline reached'
    is_near = _left_seconds(attempt) <= DEADLINE_SLACK_SECONDS
    if is_near and any(run.ending is RunEnding.timed_out for run in runs):
        return 'server stopped at the deadline'
    sent = attempt.sent_at_seconds
    for stop in facts.stops_of(attempt.entry):
        last_part = stop + LAST_PART_BEGIN_SECONDS
        at_work = any(
            run.begun_at_seconds <= stop + GRACE_SECONDS
            and run.ended_at_seconds >= last_part
            for run in runs
        )
        if at_work and sent is not None and sent <= stop + EXCUSED_SENT_SECONDS:
            return 'at work at the end of the grace time'
    return ''


def _left_seconds(attempt: Attempt) -> float:
    used_seconds = attempt.ended_at_seconds - attempt.begun_at_seconds
    return attempt.deadline_seconds - used_seconds


def _used_share(attempt: Attempt) -> float:
    used_seconds = attempt.ended_at_seconds - attempt.begun_at_seconds
    return used_seconds / attempt.deadline_seconds


def _is_own_answer(facts: Facts, attempt: Attempt) -> bool:
    if attempt.echoed_id not in {'', attempt.attempt_id}:
        return False
    runs = facts.runs_of(attempt)
    sources = [run for run in runs if run.seal == attempt.seal]
    if attempt.status not in range(200, 300):
        return not attempt.seal or any(
            run.status == attempt.status for run in sources
        )
    if attempt.ending is Ending.whole:
        return any(run.content == attempt.content for run in sources)
    return any(run.content.startswith(attempt.content) for run in sources)


def _find_service(configuration: Configuration, attempt: Attempt) -> str:
    """Return the service that a configuration allows, or an empty text."""
    if attempt.api_key not in configuration.api_keys:
        return ''
    return configuration.services_by_prefix.get(attempt.prefix, '')


def _versions_that_run(
    configurations: Iterable[Configuration], attempt: Attempt, service: str
) -> list[int]:
    return [
        item.version
        for item in configurations
        if _find_service(item, attempt) == service
    ]


def _sent_configurations(facts: Facts, attempt: Attempt) -> list[Configuration]:
    return [
        item
        for item in facts.configurations
        if item.sent_at_seconds <= attempt.ended_at_seconds
    ]


def _handling_versions(facts: Facts, attempt: Attempt) -> list[int] | None:
    """Return the versions that explain how a request was handled.

    None if that shows no version.
    """
    configurations = _sent_configurations(facts, attempt)
    runs = facts.runs_of(attempt)
    if runs:
        return _versions_that_run(configurations, attempt, runs[0].service)
    if attempt.status not in CONFIGURATION_STATUSES or attempt.seal:
        return None
    return [
        item.version
        for item in configurations
        if not _find_service(item, attempt)
    ]


def _versions_in_force(
    facts: Facts, attempts: Iterable[Attempt]
) -> list[tuple[float, int]]:
    """Return when runs show which version, or a later one, is in force."""
    seen = []
    for attempt in attempts:
        versions = _handling_versions(facts, attempt)
        for run in facts.runs_of(attempt)[:1]:
            if versions:
                seen.append((run.begun_at_seconds, min(versions)))
    return seen


def _lowest_possible(facts: Facts, attempt: Attempt) -> int:
    """Return the version that must be in force when a request is sent."""
    acked = [
        item.version
        for item in facts.configurations
        if item.acked_at_seconds + APPLY_SECONDS < attempt.begun_at_seconds
    ]
    return max(acked, default=0)


def _possible_configurations(
    facts: Facts, attempt: Attempt
) -> list[Configuration]:
    lowest = _lowest_possible(facts, attempt)
    sent = _sent_configurations(facts, attempt)
    return [item for item in sent if item.version >= lowest]


def _is_judged(facts: Facts, attempt: Attempt) -> bool:
    """Return whether a refusal counts.

    One of a request that all configurations allow counts from any entry.
    """
    if all(_find_service(item, attempt) for item in facts.configurations):
        return True
    return _is_in_touch(facts, attempt)


def _describe(facts: Facts, attempt: Attempt) -> str:
    """Return what the report says of a request."""
    runs = '; '.join(
        f'{run.server_id} +{run.begun_at_seconds - attempt.begun_at_seconds:.2f}'
        f'..+{run.ended_at_seconds - attempt.begun_at_seconds:.2f} {run.ending}'
        for run in facts.runs_of(attempt)
    )
    sent = attempt.sent_at_seconds
    last_byte = 'not sent whole'
    if sent is not None:
        last_byte = f'last byte +{sent - attempt.begun_at_seconds:.2f}'
    ended = attempt.ended_at_seconds - attempt.begun_at_seconds
    return (
        f'{attempt.attempt_id} {attempt.prefix} at {attempt.entry} from '
        f'{attempt.begun_at_seconds:.2f}, {last_byte}, {attempt.ending} '
        f'+{ended:.2f}, status {attempt.status}, deadline '
        f'{attempt.deadline_seconds:.2f}, {len(attempt.content)} bytes, '
        f'runs: {runs or "none"}'
    )
