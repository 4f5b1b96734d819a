"""Decision which parts of prompts crash the servers that answer them.

A part that crashes servers is never answered, so an answer clears all parts of
its request of the crashes before it. Of the parts that remain, the
fewest that explain the crashes are banned.
"""

import logging
import threading
import time
from collections import Counter, OrderedDict
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from wasabistream.crash_records import CrashedRequest, CrashLog, CrashRecord
from wasabistream.metrics import BANNED_PARTS
from wasabistream.part_bans import PartBan

logger = logging.getLogger(__name__)

# A part is banned after this many crashes, of which no other banned part
# explains at least UNEXPLAINED_COUNT.
BAN_CRASH_COUNT = 3
UNEXPLAINED_COUNT = 2
MAX_BAN_COUNT = 256
# Parts whose last answers are kept, to tell common parts from new ones.
MAX_ANSWERED_PART_COUNT = 4096


@dataclass(frozen=True, slots=True)
class PartTrial:
    """Describe the trial of a banned part."""

    part: str
    trial_count: int


class PoisonPartDetector:
    """Ban parts from the crashes and answers of requests; thread-safe."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._log = CrashLog()
        self._bans: OrderedDict[str, PartBan] = OrderedDict()
        # Latest time at which a request with the part was answered for certain.
        self._answered_at_seconds: OrderedDict[str, float] = OrderedDict()

    def record_crash(
        self, endpoint: str, request: CrashedRequest, age_seconds: float = 0
    ) -> bool:
        """Record a request of a crashed server; return whether it is new."""
        if not request.parts:
            return False
        with self._lock:
            now = self._clock()
            is_new = self._log.add(endpoint, request, now - age_seconds)
            if is_new:
                # The crash may be older than answers that are known.
                for part in request.parts:
                    answered_at_seconds = self._answered_at_seconds.get(part, 0)
                    self._log.clear_part(part, answered_at_seconds)
                self._decide(now)
            return is_new

    def record_answer(
        self, parts: Iterable[str], age_seconds: float
    ) -> list[str]:
        """Record an answer that was given at most `age_seconds` ago.

        Returns the parts that it clears of crashes.
        """
        with self._lock:
            now = self._clock()
            answered_at_seconds = now - age_seconds
            cleared = [
                part
                for part in parts
                if self._record_answered_part(part, answered_at_seconds)
            ]
            if cleared:
                self._decide(now)
            return cleared

    def is_banned(self, parts: Iterable[str]) -> bool:
        """Return whether any of the parts is banned."""
        with self._lock:
            return any(part in self._bans for part in parts)

    def is_banned_since(self, parts: Iterable[str], at_seconds: float) -> bool:
        """Return whether a ban of a part became known after a monotonic time."""
        with self._lock:
            return any(self._find_bans_since(parts, at_seconds))

    def is_certainly_banned_since(
        self, parts: Iterable[str], at_seconds: float
    ) -> bool:
        """Return whether a certain ban became known after a monotonic time.

        A ban is certain if the part was never answered while others of the
        crashed requests were. Before the first answers, servers that end
        together cannot be told from a part that crashes them.
        """
        with self._lock:
            return any(
                self._is_certain(part)
                for part in self._find_bans_since(parts, at_seconds)
            )

    def start_trial(
        self, parts: Collection[str], request_id: str = ''
    ) -> PartTrial | None:
        """Return the trial as which a request with a banned part may run.

        A request with two banned parts would not tell them apart.
        """
        with self._lock:
            banned = {part for part in parts if part in self._bans}
            if len(banned) != 1:
                return None
            part = banned.pop()
            ban = self._bans[part]
            now = self._clock()
            # The servers may have ended together for another reason.
            is_doubtful = not self._is_certain(part)
            if not is_doubtful:
                is_doubtful = self._distinguishes(part, parts)
            if not ban.is_trial_due(now, is_doubtful=is_doubtful):
                return None
            ban.record_trial(ban.trial_count + 1, now)
            ban.trial_request_id = request_id
            return PartTrial(part, ban.trial_count)

    def withdraw_trial(self, parts: Iterable[str], request_id: str) -> bool:
        """Take back a trial that no server could run, so that others follow.

        Returns whether the request was a trial.
        """
        with self._lock:
            return any(
                self._bans[part].withdraw_trial(request_id)
                for part in parts
                if part in self._bans
            )

    def adopt_ban(
        self, part: str, age_seconds: float, trial_count: int
    ) -> bool:
        """Take over a ban, or its trials; return whether anything is new."""
        with self._lock:
            now = self._clock()
            banned_at_seconds = now - age_seconds
            answered_at_seconds = self._answered_at_seconds.get(part)
            if (
                answered_at_seconds is not None
                and answered_at_seconds > banned_at_seconds
            ):
                return False
            is_new = part not in self._bans
            if is_new:
                self._add_ban(part, banned_at_seconds)
            if trial_count > self._bans[part].trial_count:
                self._bans[part].record_trial(trial_count, now)
                is_new = True
            return is_new

    def crashes(self) -> list[tuple[str, float, CrashedRequest]]:
        """Return endpoint, age in seconds and requests of the crashes."""
        with self._lock:
            now = self._clock()
            return [
                (record.endpoint, now - record.at_seconds, request)
                for record in self._log
                for request in record.requests
            ]

    def bans(self) -> list[tuple[str, float, int]]:
        """Return part, age in seconds and number of trials of each ban."""
        with self._lock:
            now = self._clock()
            return [
                (part, now - ban.banned_at_seconds, ban.trial_count)
                for part, ban in self._bans.items()
            ]

    def answer_ages_seconds(self, parts: Iterable[str]) -> dict[str, float]:
        """Return how long ago requests with the parts were answered."""
        with self._lock:
            now = self._clock()
            return {
                part: now - self._answered_at_seconds[part]
                for part in parts
                if part in self._answered_at_seconds
            }

    def _record_answered_part(
        self, part: str, answered_at_seconds: float
    ) -> bool:
        earlier_seconds = self._answered_at_seconds.pop(
            part, answered_at_seconds
        )
        self._answered_at_seconds[part] = max(
            earlier_seconds, answered_at_seconds
        )
        while len(self._answered_at_seconds) > MAX_ANSWERED_PART_COUNT:
            self._answered_at_seconds.popitem(last=False)
        was_suspect = self._log.clear_part(part, answered_at_seconds)
        ban = self._bans.get(part)
        if ban is not None and ban.banned_at_seconds < answered_at_seconds:
            self._lift_ban(part, 'answered')
            return True
        return was_suspect

    def _decide(self, now: float) -> None:
        self._log.expire(now)
        records = list(self._log)
        causes: set[str] = set()
        cause = self._find_cause(records, causes)
        while cause is not None:
            causes.add(cause)
            cause = self._find_cause(records, causes)
        for new in causes - self._bans.keys():
            self._add_ban(new, now)
        seen = {part for record in records for part in record.positions()}
        for redundant in (self._bans.keys() & seen) - causes:
            self._lift_ban(redundant, 'explained by other parts')

    def _find_cause(
        self, records: Iterable[CrashRecord], causes: Collection[str]
    ) -> str | None:
        """Return the part that explains most crashes that `causes` do not."""
        crash_counts: Counter[str] = Counter()
        unexplained_counts: Counter[str] = Counter()
        positions: dict[str, int] = {}
        for record in records:
            suspects = record.suspects()
            crash_counts.update(suspects)
            positions.update(record.positions())
            if suspects.isdisjoint(causes):
                unexplained_counts.update(suspects)
        found = [
            part
            for part, unexplained_count in unexplained_counts.items()
            if part in self._bans
            or (
                crash_counts[part] >= BAN_CRASH_COUNT
                and unexplained_count >= UNEXPLAINED_COUNT
            )
        ]
        # Of parts that explain as much, one that was never answered, or longest
        # ago, is the likelier cause, then the one that fewer requests share.
        return max(
            found,
            key=lambda part: (
                unexplained_counts[part],
                -self._answered_at_seconds.get(part, 0),
                positions[part],
                part,
            ),
            default=None,
        )

    def _find_bans_since(
        self, parts: Iterable[str], at_seconds: float
    ) -> list[str]:
        return [
            part
            for part in parts
            if part in self._bans
            and self._bans[part].known_at_seconds >= at_seconds
        ]

    def _is_certain(self, banned: str) -> bool:
        if banned in self._answered_at_seconds:
            return False
        return any(
            part in self._answered_at_seconds
            for record in self._log
            for part in record.find_companions(banned)
        )

    def _distinguishes(self, part: str, parts: Collection[str]) -> bool:
        """Return whether a request lacks a part that may be the cause instead."""
        alternatives = [
            record.suspects()
            for record in self._log
            if part in record.suspects()
        ]
        if not alternatives:
            return False
        always_present = frozenset.intersection(*alternatives)
        return not always_present.issubset(parts)

    def _add_ban(self, part: str, banned_at_seconds: float) -> None:
        self._bans[part] = PartBan(banned_at_seconds, self._clock())
        while len(self._bans) > MAX_BAN_COUNT:
            self._bans.popitem(last=False)
        BANNED_PARTS.set(len(self._bans))
        logger.warning(
            'poison part: banned',
            extra={
                'part': part,
                'crashed_servers': [
                    record.endpoint
                    for record in self._log
                    if part in record.suspects()
                ],
            },
        )

    def _lift_ban(self, part: str, reason: str) -> None:
        ban = self._bans.pop(part)
        BANNED_PARTS.set(len(self._bans))
        logger.warning(
            'poison part: ban lifted: %s',
            reason,
            extra={
                'part': part,
                'banned_seconds': round(
                    self._clock() - ban.banned_at_seconds, 3
                ),
                'trial_count': ban.trial_count,
            },
        )
