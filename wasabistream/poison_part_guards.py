"""Ban on parts of prompts that crash servers, shared by several processes."""

import logging
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from wasabistream.crash_notices import CrashMessage
from wasabistream.crash_records import CrashedRequest
from wasabistream.messages import Message
from wasabistream.metrics import REFUSALS
from wasabistream.part_notices import (
    PartAnswerNotice,
    PartBanNotice,
    PartCrashNotice,
)
from wasabistream.poison_parts import PoisonPartDetector
from wasabistream.prompt_parts import limit_parts

logger = logging.getLogger(__name__)

# An answer clears the crashes that are older than its request or than this, as
# its first event is delivered sooner after it was made.
MAX_EVENT_DELAY_SECONDS = 0.5


class PromptRequest(Protocol):
    """Describe what the guard reads of a request."""

    @property
    def request_id(self) -> str:
        """Return the id for log lines."""

    @property
    def prompt_parts(self) -> Sequence[str]:
        """Return the ids of the shared parts of the prompt, in order."""


class PoisonPartGuard:
    """Refuse requests with banned parts and share crashes and answers.

    All processes decide from the same crashes and answers. One that links
    later, or again, gets them and the bans at once.
    """

    def __init__(
        self,
        broadcast: Callable[[Message], None],
        detector: PoisonPartDetector,
    ) -> None:
        self._broadcast = broadcast
        self._detector = detector

    def refuses(self, request: PromptRequest) -> bool:
        """Return whether to refuse a new request; else it may be a trial."""
        parts = request.prompt_parts
        if not self._detector.is_banned(parts):
            return False
        trial = self._detector.start_trial(parts, request.request_id)
        if trial is None:
            REFUSALS.labels('poison_part').inc()
            return True
        logger.info(
            'poison part: trial',
            extra={
                'request_id': request.request_id,
                'part': trial.part,
                'trial_count': trial.trial_count,
            },
        )
        self._broadcast(PartBanNotice(trial.part, 0, trial.trial_count))
        return False

    def withdraw_trial(self, request: PromptRequest) -> None:
        """Take back the trial of a request that no server could run."""
        if self._detector.withdraw_trial(
            request.prompt_parts, request.request_id
        ):
            logger.info(
                'poison part: trial has not run',
                extra={'request_id': request.request_id},
            )

    def refuses_repeat(self, request: PromptRequest) -> bool:
        """Return whether a request must not be sent to a further server."""
        return self._detector.is_banned(request.prompt_parts)

    def refuses_since(self, request: PromptRequest, at_seconds: float) -> bool:
        """Return whether a request admitted at a monotonic time must stop.

        A trial is admitted after the ban became known and may go on.
        """
        return self._detector.is_banned_since(request.prompt_parts, at_seconds)

    def record_crash(
        self, endpoint: str, request: PromptRequest, *, has_begun: bool
    ) -> None:
        """Record and share that a server crashed while it held a request."""
        parts = tuple(request.prompt_parts)
        # First, so that all processes decide with the same answers.
        self._share_answers(parts)
        if self._detector.record_crash(
            endpoint, CrashedRequest(parts, has_begun)
        ):
            self._broadcast(
                PartCrashNotice(endpoint, 0, list(parts), has_begun)
            )

    def record_answer(self, request: PromptRequest, age_seconds: float) -> None:
        """Clear the parts of a request that is being answered.

        `age_seconds` is the time since the request was sent to its server.
        """
        cleared = self._detector.record_answer(
            request.prompt_parts, min(age_seconds, MAX_EVENT_DELAY_SECONDS)
        )
        if cleared:
            self._share_answers(cleared)

    def on_notice(self, notice: CrashMessage) -> bool:
        """Apply what another process has seen; return whether it is new."""
        try:
            return self._apply(notice)
        except (TypeError, ValueError) as error:
            logger.warning('peer: notice of a part is malformed: %r', error)
            return False

    def describe(self) -> list[Message]:
        """Return the notices that tell another process all that is known."""
        notices: list[Message] = []
        suspects: set[str] = set()
        for endpoint, age_seconds, request in self._detector.crashes():
            suspects.update(request.parts)
            notices.append(
                PartCrashNotice(
                    endpoint,
                    age_seconds,
                    list(request.parts),
                    request.has_begun,
                )
            )
        answers = self._build_answer_notice(suspects)
        return [
            *notices,
            *([answers] if answers.rows else []),
            *(PartBanNotice(*ban) for ban in self._detector.bans()),
        ]

    def _apply(self, notice: CrashMessage) -> bool:
        match notice:
            case PartCrashNotice():
                parts = limit_parts(str(part) for part in notice.parts)
                return self._detector.record_crash(
                    notice.endpoint,
                    CrashedRequest(parts, notice.has_begun),
                    notice.age_seconds,
                )
            case PartAnswerNotice():
                cleared = [
                    self._detector.record_answer(
                        limit_parts([str(part)]), float(age_seconds)
                    )
                    for part, age_seconds in notice.rows
                ]
                return any(cleared)
            case PartBanNotice():
                return self._detector.adopt_ban(
                    notice.part, notice.age_seconds, notice.trial_count
                )
        return False

    def _share_answers(self, parts: Iterable[str]) -> None:
        notice = self._build_answer_notice(parts)
        if notice.rows:
            self._broadcast(notice)

    def _build_answer_notice(self, parts: Iterable[str]) -> PartAnswerNotice:
        ages_seconds = self._detector.answer_ages_seconds(parts)
        return PartAnswerNotice([list(row) for row in ages_seconds.items()])
