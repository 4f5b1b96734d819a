"""Tests of the handler of replies to an attempt of a generation."""

import unittest

from wasabistream.exceptions import AttemptError
from wasabistream.outcomes import Outcome
from wasabistream.reply_handlers import GenerationReplyHandler
from wasabistream.requests import Accepted, Failed, Finished, Refused, Token


class RecordingWriter:
    """Record what the reply handler writes."""

    def __init__(self) -> None:
        self.stream_id = ''
        self.texts: list[str] = []
        self.finish_reason = ''

    @property
    def has_started(self) -> bool:
        """Tell whether a token was written."""
        return bool(self.texts)

    def write_token(self, index: int, text: str) -> None:
        """Record a token."""
        self.texts.append(text)

    def finish(self, finish_reason: str) -> None:
        """Record the end."""
        self.finish_reason = finish_reason

    def fail(
        self, status: int, body: bytes, retry_after_seconds: float
    ) -> None:
        """Do nothing: the dispatcher writes failures, not the handler."""


class GenerationReplyHandlerTest(unittest.TestCase):
    """Guard against tokens lost, repeated or out of order, and two ends."""

    def setUp(self) -> None:
        """Build the reply handler of one attempt."""
        self.writer = RecordingWriter()
        self.ended_with: list[AttemptError | None] = []
        self.handler = GenerationReplyHandler(
            self.writer, lambda _, failure: self.ended_with.append(failure)
        )

    def test_repeated_token_is_dropped(self) -> None:
        """Guard against a token delivered twice after a resume."""
        for index, text in ((0, 'a'), (1, 'b'), (1, 'b'), (0, 'a'), (2, 'c')):
            self.handler.on_message(Token('r', index, text))
        self.assertEqual(self.writer.texts, ['a', 'b', 'c'])

    def test_gap_ends_stream(self) -> None:
        """Guard against an answer with a token missing in the middle."""
        self.handler.on_message(Token('r', 0, 'a'))
        self.handler.on_message(Token('r', 2, 'c'))
        self.handler.on_message(Finished('r', 3, 'stop'))
        self.assertEqual(self.writer.texts, ['a'])
        self.assertEqual(self.writer.finish_reason, '')
        self.assertEqual(
            [end.reason for end in self.ended_with if end], ['token_gap']
        )

    def test_short_answer_is_not_complete(self) -> None:
        """Guard against a truncated answer that looks complete."""
        self.handler.on_message(Token('r', 0, 'a'))
        self.handler.on_message(Finished('r', 2, 'stop'))
        self.assertEqual(self.writer.finish_reason, '')

    def test_acceptance_after_withdrawal_is_ignored(self) -> None:
        """Guard against tokens written after the attempt was withdrawn."""
        self.assertTrue(self.handler.withdraw())
        self.handler.on_message(Accepted('r', 'stream'))
        self.handler.on_message(Token('r', 0, 'a'))
        self.handler.on_message(Refused('r', Outcome.not_run, 'withdrawn'))
        self.assertEqual(self.writer.texts, [])
        self.assertEqual(
            [end.outcome for end in self.ended_with if end], [Outcome.not_run]
        )

    def test_second_end_is_ignored(self) -> None:
        """Guard against an attempt that ends twice."""
        self.assertTrue(self.handler.end(AttemptError('a', Outcome.unknown)))
        self.assertFalse(self.handler.end(AttemptError('b', Outcome.not_run)))
        self.assertEqual(len(self.ended_with), 1)

    def test_lost_link_is_unknown(self) -> None:
        """Guard against `not_run` for an attempt whose link was lost."""
        self.handler.on_link_lost('closed')
        self.handler.on_message(Failed('r', Outcome.run, 'late'))
        self.assertEqual(
            [end.outcome for end in self.ended_with if end], [Outcome.unknown]
        )
