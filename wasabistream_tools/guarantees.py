"""Checks of a history against the nine guarantees.

The text of a token is `tag/generation/index`: the tag of the request that it
answers, the engine's id of one attempt to generate the answer, and the index of
the token in the answer.
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

# The requirements set these limits.
# From taking a data centre or backend server out until it gets no new work.
TAKE_OUT_LIMIT_SECONDS = 5.0
# From publishing a document until the processes have it in force.
IN_FORCE_LIMIT_SECONDS = 8.0


@dataclass(frozen=True)
class Violation:
    """Hold one way in which a history breaks a guarantee."""

    guarantee: str
    detail: str


Check = Callable[[History], list[str]]

_checks: dict[str, Check] = {}


def register_check(name: str) -> Callable[[Check], Check]:
    """Return a decorator that registers the check of a guarantee."""

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


@register_check('once_in_order')
def check_token_order(history: History) -> list[str]:
    """Check that tokens arrive once, in order and from one attempt."""
    details = []
    for tag, texts in _group_texts_by_tag(history).items():
        parts = [text.split('/') for text in texts]
        generations = {part[1] for part in parts}
        indexes = [int(part[2]) for part in parts]
        if len(generations) > 1:
            details.append(
                f'{tag} received tokens of generations {sorted(generations)}'
            )
        if indexes != list(range(len(indexes))):
            details.append(f'{tag} received token indexes {indexes}')
    return details


@register_check('cold_start')
def check_cold_start(history: History) -> list[str]:
    """Check that no cold engine was overloaded."""
    return [
        f'{event.backend} crashed from overload while cold'
        for event in history.events_of(Overloaded)
    ]


@register_check('data_centre_out')
def check_data_centre_out(history: History) -> list[str]:
    """Check that a data centre taken out gets no new work."""
    return [
        f'{ran.tag} ran in {ran.data_centre} after it was taken out'
        for ran in history.events_of(Ran)
        if _is_late_new_work(history, ran, data_centre=ran.data_centre)
    ]


@register_check('own_whole_answer')
def check_complete_answers(history: History) -> list[str]:
    """Check that answers have only their own tokens; complete ones, all."""
    details = []
    expected_counts = {
        sent.tag: sent.length_tokens for sent in history.events_of(Sent)
    }
    texts_by_tag = _group_texts_by_tag(history)
    for tag, texts in texts_by_tag.items():
        foreign_texts = [text for text in texts if text.split('/')[0] != tag]
        if foreign_texts:
            details.append(f'{tag} received foreign token {foreign_texts[0]}')
    for ended in history.events_of(Ended):
        expected_count = expected_counts.get(ended.tag, 0)
        received = len(texts_by_tag.get(ended.tag, ()))
        if ended.end == End.complete and received != expected_count:
            details.append(
                f'{ended.tag} received {received} of {expected_count} tokens'
            )
    return details


@register_check('not_run_is_true')
def check_not_run_refusals(history: History) -> list[str]:
    """Check that no request refused as not run has run or runs later.

    It may run after its caller has sent it again with the same tag.
    """
    details = []
    sent = history.events_of(Sent)
    for ended in history.events_of(Ended):
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
            for ran in history.events_of(Ran)
        ):
            details.append(f'{ended.tag} was refused as not run and ran')
    return details


@register_check('at_most_once')
def check_one_effect_per_key(history: History) -> list[str]:
    """Check that calls with the same key ran at most once."""
    effects = Counter(ran.key for ran in history.events_of(Ran) if ran.key)
    return [
        f'key {key} ran {count} times'
        for key, count in effects.items()
        if count > 1
    ]


@register_check('backend_out')
def check_backend_out(history: History) -> list[str]:
    """Check that a backend server taken out gets no new work."""
    return [
        f'{ran.tag} ran at {ran.backend} after it was taken out'
        for ran in history.events_of(Ran)
        if _is_late_new_work(history, ran, backend=ran.backend)
    ]


@register_check('graceful_shutdown')
def check_graceful_shutdown(history: History) -> list[str]:
    """Check that stopped processes exited with 0 and cut no request."""
    details = [
        f'{stopped.process} exited with code {stopped.exit_code}'
        for stopped in history.events_of(Stopped)
        if stopped.exit_code
    ]
    for stopped in history.events_of(Stopped):
        details.extend(
            f'request {cut.tag} was cut while {stopped.process} shut down'
            for cut in history.events_of(Cut)
            if cut.process == stopped.process
            and stopped.told_at_seconds <= cut.at_seconds <= stopped.at_seconds
        )
    return details


@register_check('document_in_force')
def check_documents_in_force(history: History) -> list[str]:
    """Check that documents come into force in time and never revert."""
    details = []
    highest_by_process: dict[str, tuple[int, str]] = {}
    for event in history.events_of(InForce):
        in_force = (event.revision, event.digest)
        before = highest_by_process.get(event.process, in_force)
        if in_force < before:
            details.append(
                f'{event.process} reverted from {before} to {in_force}'
            )
        highest_by_process[event.process] = max(before, in_force)
        overdue = _overdue_revision(history, event)
        if overdue is not None:
            details.append(
                f'{event.process} has revision {event.revision}, not {overdue}'
            )
    return details


def _group_texts_by_tag(history: History) -> dict[str, list[str]]:
    texts = defaultdict(list)
    for received in history.events_of(Received):
        texts[received.tag].append(received.text)
    return texts


def _is_late_new_work(
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
    return ran.at_seconds > out_since_seconds + TAKE_OUT_LIMIT_SECONDS


def _overdue_revision(history: History, event: InForce) -> int | None:
    cutoff_seconds = event.at_seconds - IN_FORCE_LIMIT_SECONDS
    # A process that was paused gets the full time again once it resumes.
    for paused in history.events_of(Paused):
        if (
            paused.process == event.process
            and paused.until_seconds > cutoff_seconds
        ):
            return None
    due_revisions = [
        published.revision
        for published in history.events_of(Published)
        if published.at_seconds <= cutoff_seconds
    ]
    latest = max(due_revisions, default=0)
    return latest if latest > event.revision else None
