"""Checks of a history against the nine guarantees.

A token's text is `tag/generation/index`: the tag of the request it answers,
the engine's number of the generation and the place in it.
"""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from wasabistream_tools.history_events import (
    BroughtBack,
    Cut,
    End,
    Ended,
    History,
    InForce,
    Overloaded,
    Paused,
    Published,
    Ran,
    Received,
    Sent,
    Stopped,
    TakenOut,
)

# Limits of the requirements, not of what was measured.
OUT_LIMIT_SECONDS = 5.0
IN_FORCE_LIMIT_SECONDS = 8.0


@dataclass(frozen=True)
class Violation:
    """Hold one broken guarantee."""

    guarantee: str
    detail: str


Check = Callable[[History], list[str]]

_checks: dict[str, Check] = {}


def guarantee(name: str) -> Callable[[Check], Check]:
    """Register the check of one guarantee."""

    def register(check: Check) -> Check:
        _checks[name] = check
        return check

    return register


def check_history(history: History) -> list[Violation]:
    """Return all violations in a history."""
    return [
        Violation(name, detail)
        for name, check in _checks.items()
        for detail in check(history)
    ]


@guarantee('once_in_order')
def check_tokens(history: History) -> list[str]:
    """Check that tokens come once, in order, from one generation."""
    details = []
    for tag, texts in _texts_by_tag(history).items():
        parts = [text.split('/') for text in texts]
        generations = {part[1] for part in parts}
        indexes = [int(part[2]) for part in parts]
        if len(generations) > 1:
            details.append(f'{tag} mixes generations {sorted(generations)}')
        if indexes != list(range(len(indexes))):
            details.append(f'{tag} got indexes {indexes}')
    return details


@guarantee('cold_start')
def check_cold_start(history: History) -> list[str]:
    """Check that no cold engine got more than it bears."""
    return [
        f'{event.backend} was overloaded while cold'
        for event in history.of(Overloaded)
    ]


@guarantee('data_centre_out')
def check_data_centre_out(history: History) -> list[str]:
    """Check that a data centre taken out gets no new work."""
    return [
        f'{ran.tag} ran in {ran.data_centre} after it was taken out'
        for ran in history.of(Ran)
        if _is_out(history, ran, data_centre=ran.data_centre)
    ]


@guarantee('own_whole_answer')
def check_answers(history: History) -> list[str]:
    """Check that complete answers are whole and belong to their request."""
    details = []
    lengths = {sent.tag: sent.length_tokens for sent in history.of(Sent)}
    texts_by_tag = _texts_by_tag(history)
    for tag, texts in texts_by_tag.items():
        foreign = [text for text in texts if text.split('/')[0] != tag]
        if foreign:
            details.append(f'{tag} got {foreign[0]}')
    for ended in history.of(Ended):
        expected = lengths.get(ended.tag, 0)
        received = len(texts_by_tag.get(ended.tag, ()))
        if ended.end == End.complete and received != expected:
            details.append(f'{ended.tag} got {received} of {expected} tokens')
    return details


@guarantee('not_run_is_true')
def check_refusals(history: History) -> list[str]:
    """Check that no request refused as not run has run or runs later.

    A request sent again under its tag after the refusal may run.
    """
    details = []
    sent = history.of(Sent)
    for ended in history.of(Ended):
        if ended.outcome != 'not_run':
            continue
        sent_again_seconds = min(
            (
                event.at_seconds
                for event in sent
                if event.tag == ended.tag
                and event.at_seconds > ended.at_seconds
            ),
            default=float('inf'),
        )
        if any(
            ran.tag == ended.tag and ran.at_seconds < sent_again_seconds
            for ran in history.of(Ran)
        ):
            details.append(f'{ended.tag} was refused as not run and ran')
    return details


@guarantee('at_most_once')
def check_effects(history: History) -> list[str]:
    """Check that each key had at most one effect."""
    effects = Counter(ran.key for ran in history.of(Ran) if ran.key)
    return [
        f'key {key} ran {count} times'
        for key, count in effects.items()
        if count > 1
    ]


@guarantee('backend_out')
def check_backend_out(history: History) -> list[str]:
    """Check that a backend server taken out gets no new work."""
    return [
        f'{ran.tag} ran at {ran.backend} after it was taken out'
        for ran in history.of(Ran)
        if _is_out(history, ran, backend=ran.backend)
    ]


@guarantee('graceful_shutdown')
def check_shutdown(history: History) -> list[str]:
    """Check that a process told to stop ended without a cut."""
    details = [
        f'{stopped.process} ended with exit code {stopped.exit_code}'
        for stopped in history.of(Stopped)
        if stopped.exit_code
    ]
    for stopped in history.of(Stopped):
        details.extend(
            f'{cut.tag} broke while {stopped.process} shut down'
            for cut in history.of(Cut)
            if cut.process == stopped.process
            and stopped.told_at_seconds <= cut.at_seconds <= stopped.at_seconds
        )
    return details


@guarantee('document_in_force')
def check_documents(history: History) -> list[str]:
    """Check that documents never revert and are in force in time."""
    details = []
    highest: dict[str, tuple[int, str]] = {}
    for event in history.of(InForce):
        shown = (event.revision, event.digest)
        before = highest.get(event.process, shown)
        if shown < before:
            details.append(f'{event.process} went from {before} to {shown}')
        highest[event.process] = max(before, shown)
        late = _late_revision(history, event)
        if late is not None:
            details.append(
                f'{event.process} still shows {event.revision}, not {late}'
            )
    return details


def _texts_by_tag(history: History) -> dict[str, list[str]]:
    texts = defaultdict(list)
    for received in history.of(Received):
        texts[received.tag].append(received.text)
    return texts


def _is_out(
    history: History, ran: Ran, data_centre: str = '', backend: str = ''
) -> bool:
    out_since_seconds = None
    for event in history.events:
        if event.at_seconds > ran.at_seconds:
            break
        if not isinstance(event, TakenOut | BroughtBack):
            continue
        if (event.data_centre, event.backend) != (data_centre, backend):
            continue
        out = isinstance(event, TakenOut)
        out_since_seconds = event.at_seconds if out else None
    if out_since_seconds is None:
        return False
    return ran.at_seconds > out_since_seconds + OUT_LIMIT_SECONDS


def _late_revision(history: History, event: InForce) -> int | None:
    limit = event.at_seconds - IN_FORCE_LIMIT_SECONDS
    # A process that was paused has the full time from its wake-up.
    for paused in history.of(Paused):
        if paused.process == event.process and paused.until_seconds > limit:
            return None
    due = [
        published.revision
        for published in history.of(Published)
        if published.at_seconds <= limit
    ]
    latest = max(due, default=0)
    return latest if latest > event.revision else None
