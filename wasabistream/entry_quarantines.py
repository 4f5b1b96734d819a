"""Quarantine as an entry uses it."""

import dataclasses
import logging
from collections.abc import Callable, Iterable

from wasabistream.crash_notices import ClearNotice, CrashNotice
from wasabistream.exceptions import AttemptError
from wasabistream.link_senders import send_or_log
from wasabistream.links import Link
from wasabistream.messages import Message
from wasabistream.outcomes import Outcome
from wasabistream.quarantines import Quarantine, QuarantineDecision
from wasabistream.requests import Generate


class EntryQuarantine:
    """Keep contents that crashed engines away from other engines."""

    def __init__(self, links: Callable[[], Iterable[Link]]) -> None:
        self._quarantine = Quarantine()
        self._links = links

    def on_crash_notice(self, link: Link, notice: Message) -> None:
        """Take over what an agent reports and pass it to the others.

        Agents pass nothing on, and a crash counts once by its id, so a
        notice goes around once.
        """
        match notice:
            case CrashNotice():
                fresh = self._quarantine.record_crash(
                    notice.crash_id, notice.fingerprints
                )
            case ClearNotice():
                fresh = self._quarantine.record_completion(notice.fingerprint)
            case _:
                return
        if fresh:
            self._pass_on(link, notice)

    def admit(self, request: Generate) -> Generate:
        """Add the crash count to an attempt; raises AttemptError."""
        decision = self._quarantine.check(request.fingerprint)
        if decision == QuarantineDecision.clear:
            return request
        if decision == QuarantineDecision.banned:
            raise AttemptError('quarantined', Outcome.not_run)
        return dataclasses.replace(
            request,
            crash_count=self._quarantine.crash_count(request.fingerprint),
        )

    def _pass_on(self, source: Link, notice: Message) -> None:
        for link in self._links():
            if link is source:
                continue
            # The agent hears of it with the next attempt.
            send_or_log(link, notice, 'entry: crash notice', logging.DEBUG)
