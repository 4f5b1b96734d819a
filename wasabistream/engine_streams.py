"""Streams of an engine, followed across broken connections."""

import logging
import threading
from collections.abc import Iterator
from functools import partial

from wasabistream.engines import EngineClient, EngineToken
from wasabistream.exceptions import BackendError
from wasabistream.requests import Generate

logger = logging.getLogger(__name__)

MAX_RESUME_COUNT = 3
# Pause before a resume; an engine that restarts refuses it at once.
RESUME_PAUSE_SECONDS = 0.05


class EngineStream:
    """Follow one generation of an engine to its finish reason.

    A broken connection is resumed at the next index a bounded number of
    times. Indexes are checked, so that events of two generations are never
    joined.
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
        self._open = partial(engine.generate, stream_id, request)
        self._events: Iterator[EngineToken] | None = None
        self._opened = False
        self._next_index = 0
        self._resume_count = 0

    def tokens(self) -> Iterator[EngineToken]:
        """Yield all tokens; raises BackendError when the stream is lost."""
        while True:
            try:
                token = self._next()
            except BackendError as error:
                self._prepare_resume(error)
                continue
            if token is None:
                return
            self._check_index(token)
            yield token
            if token.finish_reason:
                return

    def _next(self) -> EngineToken | None:
        if self._events is None:
            self._events = self._open()
            self._opened = True
        return next(self._events, None)

    def _prepare_resume(self, cause: BackendError) -> None:
        if not self._opened or self._cancelled.is_set():
            raise cause
        if self._resume_count >= MAX_RESUME_COUNT:
            self._abandon()
            raise cause
        logger.warning('agent: engine stream broke, resuming: %s', cause)
        self._resume_count += 1
        self._cancelled.wait(RESUME_PAUSE_SECONDS)
        self._events = None
        self._open = partial(
            self._engine.resume, self._stream_id, self._next_index
        )

    def _check_index(self, token: EngineToken) -> None:
        if token.index != self._next_index:
            self._abandon()
            raise BackendError(
                f'index {token.index} instead of {self._next_index}',
                'read stream',
            )
        self._next_index += 1

    def _abandon(self) -> None:
        # The generation may still hold memory in the engine.
        try:
            self._engine.cancel(self._stream_id)
        except BackendError as error:
            logger.info('agent: abandoned stream not cancelled: %s', error)
