"""Sender of calls that may not be repeated to the owner of their key."""

import dataclasses
import time
from collections.abc import Callable

from wasabistream.attempts import AttemptTable
from wasabistream.backends import BackendDirectory
from wasabistream.exceptions import AttemptError, LinkError
from wasabistream.metrics import ATTEMPTS, REFUSALS
from wasabistream.outcomes import Outcome
from wasabistream.owners import owner_of
from wasabistream.reply_handlers import CallReplyHandler
from wasabistream.requests import Call, ServiceAnswer
from wasabistream.service_views import ServiceView

RETRY_INTERVAL_SECONDS = 0.1
# Time beyond the deadline for which an entry waits for the owner's reply.
REPLY_MARGIN_SECONDS = 0.5
# Refusals that may be temporary. Sending the call again is safe, because the
# owner records each key and runs it at most once.
RETRYABLE_REASONS = frozenset(
    (
        'no_backend',
        'no_link',
        'link_lost',
        'not_owner',
        'no_lease',
        'no_document',
    )
)


class OwnerCallSender:
    """Send a call to the owner of its key, with retries until its deadline."""

    def __init__(
        self,
        directory: BackendDirectory,
        attempts: AttemptTable,
        make_request_id: Callable[[], str],
        get_view: Callable[[str], ServiceView | None],
    ) -> None:
        self._directory = directory
        self._attempts = attempts
        self._make_request_id = make_request_id
        self._get_view = get_view

    def call(self, call: Call) -> ServiceAnswer:
        """Send a call and wait for its answer; raises AttemptError.

        The outcome of the error is `not_run` only if the owner of the key
        reports it. The entry does not know whether earlier attempts have run.
        """
        deadline = time.monotonic() + call.deadline_seconds
        call = dataclasses.replace(call, started_unix_seconds=time.time())
        while True:
            try:
                return self._send_attempt(call, deadline)
            except AttemptError as error:
                refusal = error
            ATTEMPTS.labels(refusal.outcome).inc()
            remaining_seconds = deadline - time.monotonic()
            retryable = (
                refusal.reason in RETRYABLE_REASONS
                and not self._attempts.is_closed
            )
            if not retryable or remaining_seconds <= RETRY_INTERVAL_SECONDS:
                REFUSALS.labels(refusal.reason).inc()
                raise refusal
            time.sleep(RETRY_INTERVAL_SECONDS)

    def _send_attempt(self, call: Call, deadline: float) -> ServiceAnswer:
        remaining_seconds = deadline - time.monotonic()
        view = self._get_view(call.service)
        if view is None or not view.eligible_owners:
            raise AttemptError('no_backend', Outcome.unknown, '', 1)
        backend = self._directory.find(owner_of(call.key, view.eligible_owners))
        link = backend.link if backend else None
        if link is None:
            raise AttemptError('no_link', Outcome.unknown, '', 1)
        attempt = dataclasses.replace(
            call,
            request_id=self._make_request_id(),
            deadline_seconds=remaining_seconds,
        )
        handler = CallReplyHandler()
        try:
            self._attempts.add(attempt.request_id, link, handler)
            link.send(attempt)
        except AttemptError as error:
            # Earlier attempts may have run.
            error.outcome = Outcome.unknown
            raise
        except LinkError as error:
            raise AttemptError('no_link', Outcome.unknown, '', 1) from error
        else:
            return handler.wait_answer(remaining_seconds + REPLY_MARGIN_SECONDS)
        finally:
            self._attempts.remove(attempt.request_id)
