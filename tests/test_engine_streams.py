"""Tests of engine streams whose connections break."""

import threading
import unittest
from collections.abc import Iterator
from typing import Any

from tests.builders import build_generate
from wasabistream.engine_streams import EngineStream
from wasabistream.engines import EngineToken
from wasabistream.exceptions import BackendError


class BreakingEngine:
    """Serve scripted connections, each broken after its last token."""

    def __init__(self, *connections: list[tuple[int, str]]) -> None:
        self._connections = list(connections)
        self.resumed: list[int] = []
        self.cancelled: list[str] = []

    def generate(
        self, stream_id: str, request: object
    ) -> Iterator[EngineToken]:
        """Serve the first connection."""
        return self._serve()

    def resume(self, stream_id: str, index: int) -> Iterator[EngineToken]:
        """Serve the next connection."""
        self.resumed.append(index)
        return self._serve()

    def cancel(self, stream_id: str) -> None:
        """Record a cancel."""
        self.cancelled.append(stream_id)

    def _serve(self) -> Iterator[EngineToken]:
        events = self._connections.pop(0) if self._connections else []
        for index, text in events:
            yield EngineToken(index, text, 'stop' if text == 'end' else '')
        raise BackendError('broken', 'read stream')


class EngineStreamTest(unittest.TestCase):
    """Guard against answers that mix two generations."""

    def follow(self, engine: Any) -> list[str]:
        """Return the texts of a stream."""
        stream = EngineStream(engine, 's', build_generate(), threading.Event())
        return [token.text for token in stream.tokens()]

    def test_resumes_at_next_index(self) -> None:
        """Guard against lost or repeated tokens after a broken connection."""
        engine = BreakingEngine([(0, 'a'), (1, 'b')], [(2, 'c'), (3, 'end')])
        self.assertEqual(self.follow(engine), ['a', 'b', 'c', 'end'])
        self.assertEqual(engine.resumed, [2])

    def test_other_generation_is_not_appended(self) -> None:
        """Guard against an answer made of tokens of two generations."""
        engine = BreakingEngine([(0, 'a'), (1, 'b')], [(0, 'x'), (1, 'end')])
        with self.assertRaises(BackendError):
            self.follow(engine)
        self.assertEqual(engine.cancelled, ['s'])

    def test_resumes_are_bounded(self) -> None:
        """Guard against an agent that resumes a failed engine forever."""
        engine = BreakingEngine([(0, 'a')])
        with self.assertRaises(BackendError):
            self.follow(engine)
        self.assertEqual(engine.resumed, [1, 1, 1])
