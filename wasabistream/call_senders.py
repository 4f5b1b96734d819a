"""Sender of calls to plain services, with retries."""

import dataclasses
from collections.abc import Callable

from wasabistream.attempts import AttemptTable
from wasabistream.backends import BackendView
from wasabistream.choosers import BackendChooser
from wasabistream.exceptions import AttemptError, LinkError
from wasabistream.metrics import ATTEMPTS
from wasabistream.outcomes import Outcome
from wasabistream.reply_handlers import CallReplyHandler
from wasabistream.requests import Call, ServiceAnswer
from wasabistream.retries import (
    LEAVING_REASONS,
    MAX_ATTEMPT_COUNT,
    Deadline,
    RetryBudget,
    worst_outcome,
)
from wasabistream.routers import RouteQuery
from wasabistream.send_queues import Expiry

# Time beyond the deadline for which an entry waits for an answer.
ANSWER_MARGIN_SECONDS = 2.0


class CallSender:
    """Send a call to agents in turn until one answers or a retry is unsafe."""

    def __init__(
        self,
        chooser: BackendChooser,
        attempts: AttemptTable,
        budget: RetryBudget,
        make_request_id: Callable[[], str],
    ) -> None:
        self._chooser = chooser
        self._attempts = attempts
        self._budget = budget
        self._make_request_id = make_request_id

    def call(self, call: Call, query: RouteQuery) -> ServiceAnswer:
        """Send a call and wait for its answer; raises AttemptError."""
        deadline = Deadline(call.deadline_seconds)
        outcome = Outcome.not_run
        refusal = AttemptError('no_backend', Outcome.not_run, '', 1)
        for attempt_number in range(MAX_ATTEMPT_COUNT):
            view = self._chooser.choose(query)
            if view is None:
                break
            if attempt_number and not self._may_retry(refusal):
                break
            try:
                return self._send_attempt(call, view, deadline)
            except AttemptError as error:
                refusal = error
            ATTEMPTS.labels(refusal.outcome).inc()
            outcome = worst_outcome(outcome, refusal.outcome)
            if not _is_safe_to_resend(call, refusal):
                break
            view.refuses_work |= refusal.reason in LEAVING_REASONS
            query = dataclasses.replace(
                query, excluded=query.excluded | {view.vm.id}
            )
        # An earlier attempt may have run even if the last one has not.
        refusal.outcome = outcome
        raise refusal

    def _may_retry(self, refusal: AttemptError) -> bool:
        return refusal.reason in LEAVING_REASONS or self._budget.try_take()

    def _send_attempt(
        self, call: Call, view: BackendView, deadline: Deadline
    ) -> ServiceAnswer:
        attempt = dataclasses.replace(
            call,
            request_id=self._make_request_id(),
            deadline_seconds=deadline.remaining_seconds,
        )
        if attempt.deadline_seconds <= 0:
            raise AttemptError('deadline', Outcome.not_run)
        handler = CallReplyHandler()
        link = view.add_sent_request()
        if link is None:
            raise AttemptError('no_link', Outcome.not_run, view.vm.id)
        view.on_attempt_started()
        self._attempts.add(
            attempt.request_id, link, handler, view.on_attempt_ended
        )
        try:
            link.send(attempt, Expiry(deadline.at_seconds, handler.on_expired))
        except LinkError as error:
            # The frame was not queued, so the agent has not received it.
            raise AttemptError(
                'no_link', Outcome.not_run, view.vm.id
            ) from error
        else:
            return handler.wait_answer(
                attempt.deadline_seconds + ANSWER_MARGIN_SECONDS
            )
        finally:
            self._attempts.remove(attempt.request_id)


def _is_safe_to_resend(call: Call, refusal: AttemptError) -> bool:
    return call.repeatable or refusal.outcome == Outcome.not_run
