"""Tests of answers to callers."""

import json
import unittest

from tests.builders import build_socket_pair
from wasabistream.answer_formats import AnswerContext, build_answer_format
from wasabistream.streams import CallerStream
from wasabistream.writers import WholeAnswerWriter

LIMIT_BYTES = 65536


class WholeAnswerWriterTest(unittest.TestCase):
    """Guard against whole answers that mix attempts."""

    def test_restarted_generation(self) -> None:
        """Guard against an answer with the tokens of two attempts joined."""
        server_side, caller_side = build_socket_pair()
        self.addCleanup(caller_side.close)
        shape = build_answer_format(
            AnswerContext('completion', 'r', 'assistant')
        )
        writer = WholeAnswerWriter(
            CallerStream(server_side, LIMIT_BYTES), shape, {}
        )
        writer.write_token(0, 'first')
        writer.write_token(0, 'second')
        writer.finish('stop')
        body = caller_side.makefile('rb').read().partition(b'\r\n\r\n')[2]
        self.assertEqual(json.loads(body)['choices'][0]['text'], 'second')
