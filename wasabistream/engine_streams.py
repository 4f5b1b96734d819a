"""Engine streams that are resumed after broken connections."""

import logging
import threading
from collections.abc import Iterator
from functools import partial

from wasabistream.engines import EngineClient, EngineToken
from wasabistream.exceptions import BackendError
from wasabistream.requests import Generate

logger = logging.getLogger(__name__)

MAX_RESUME_COUNT = 3
# Pause before a resume, because an engine that restarts refuses it at once.
RESUME_PAUSE_SECONDS = 0.05


class EngineStream:
    """Read one generation of an engine up to its finish reason.

    After a broken connection the stream is resumed at the next index, a bounded
    number of times. Indexes are checked, so that tokens of two generations are
    never mixed.
    """

    def __init__(
        self,
        engine: EngineClient,
        stream_id: str,
        request: Generate,
        cancelled: threading.Event,
    ) -> None:
        self._engine = engine
        self._stream_id = stream_id
        self._cancelled = cancelled
        self._connect = partial(engine.generate, stream_id, request)
        self._events: Iterator[EngineToken] | None = None
        self._has_connected = False
        self._next_index = 0
        self._resume_count = 0
        # First error since the last token. It is the one that is raised,
        # because the error of a failed resume does not state whether the
        # generation has run.
        self._first_error: BackendError | None = None

    def tokens(self) -> Iterator[EngineToken]:
        """Yield all tokens; raises BackendError if the stream is lost."""
        while True:
            try:
                token = self._next_token()
            except BackendError as error:
                self._prepare_resume(error)
                continue
            if token is None:
                return
            self._check_index(token)
            yield token
            if token.finish_reason:
                return

    def _next_token(self) -> EngineToken | None:
        if self._events is None:
            self._events = self._connect()
            self._has_connected = True
        return next(self._events, None)

    def _prepare_resume(self, cause: BackendError) -> None:
        self._first_error = self._first_error or cause
        if not self._has_connected or self._cancelled.is_set():
            raise self._first_error
        if self._resume_count >= MAX_RESUME_COUNT:
            self._cancel_generation()
            raise self._first_error
        logger.warning('agent: engine stream broke, resuming: %s', cause)
        self._resume_count += 1
        self._cancelled.wait(RESUME_PAUSE_SECONDS)
        self._events = None
        self._connect = partial(
            self._engine.resume, self._stream_id, self._next_index
        )

    def _check_index(self, token: EngineToken) -> None:
        if token.index != self._next_index:
            self._cancel_generation()
            raise BackendError(
                f'token index {token.index} instead of {self._next_index}',
                'read stream',
            )
        self._next_index += 1
        self._first_error = None

    def _cancel_generation(self) -> None:
        # Otherwise the generation could hold engine memory until its end.
        try:
            self._engine.cancel(self._stream_id)
        except BackendError as error:
            logger.info('agent: cancel of a broken stream failed: %s', error)
