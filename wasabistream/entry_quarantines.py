"""Quarantine of an entry."""

import dataclasses
import logging
from collections.abc import Callable, Iterable

from wasabistream.crash_notices import (
    ClearNotice,
    CrashMessage,
    CrashNotice,
)
from wasabistream.exceptions import AttemptError
from wasabistream.link_senders import send_or_log
from wasabistream.links import Link
from wasabistream.messages import Message
from wasabistream.outcomes import Outcome
from wasabistream.poison_part_guards import PoisonPartGuard
from wasabistream.poison_parts import PoisonPartDetector
from wasabistream.quarantines import Quarantine, QuarantineDecision
from wasabistream.requests import Generate


class EntryQuarantine:
    """Refuse requests that crash engines, and share crash notices."""

    def __init__(self, links: Callable[[], Iterable[Link]]) -> None:
        self._quarantine = Quarantine()
        self._links = links
        self._part_guard = PoisonPartGuard(
            self._broadcast, PoisonPartDetector()
        )

    def on_crash_notice(self, link: Link, notice: Message) -> None:
        """Apply an agent's notice and forward it to the other agents.

        Agents do not forward notices, and a crash counts once by its id, so
        a notice does not circulate.
        """
        match notice:
            case CrashNotice():
                is_new = self._quarantine.record_crash(
                    notice.crash_id,
                    notice.fingerprints,
                    notice.request_count,
                    notice.age_seconds,
                )
            case ClearNotice():
                is_new = self._quarantine.record_completion(notice.fingerprint)
            case CrashMessage():
                is_new = self._part_guard.on_notice(notice)
            case _:
                return
        if is_new:
            self._forward_notice(link, notice)

    def admit(self, request: Generate) -> Generate:
        """Return the request with its crash count; raises AttemptError."""
        if self._part_guard.refuses(request):
            raise AttemptError('quarantined', Outcome.not_run)
        decision = self._quarantine.check(request.fingerprint)
        if decision == QuarantineDecision.clear:
            return request
        if decision == QuarantineDecision.banned:
            raise AttemptError('quarantined', Outcome.not_run)
        return dataclasses.replace(
            request,
            crash_count=self._quarantine.crash_count(request.fingerprint),
        )

    def _broadcast(self, notice: Message) -> None:
        for link in self._links():
            send_or_log(link, notice, 'entry: crash notice', logging.DEBUG)

    def _forward_notice(self, source: Link, notice: Message) -> None:
        for link in self._links():
            if link is source:
                continue
            # If it is lost, the agent gets the count with the next attempt.
            send_or_log(link, notice, 'entry: crash notice', logging.DEBUG)
