"""Tests of frames and messages."""

import unittest

import msgpack

from wasabistream.exceptions import FrameError
from wasabistream.frames import FrameReader, encode_frame
from wasabistream.messages import UnknownMessage
from wasabistream.requests import Finished, Token

TOKEN = Token('r1', 3, 'word')


class FrameReaderTest(unittest.TestCase):
    """Guard the decoder against malformed frames and other versions."""

    def test_frame_split_over_reads(self) -> None:
        """Guard against losing a frame that arrives in parts."""
        frame = encode_frame(TOKEN)
        reader = FrameReader('peer')
        self.assertEqual(reader.feed(frame[:4]), [])
        self.assertEqual(reader.feed(frame[4:]), [TOKEN])

    def test_newer_sender_appends_field(self) -> None:
        """Guard rolling updates: unknown trailing fields are ignored."""
        frame = msgpack.packb([14, 'r1', 5, 'stop', 'new field'])
        expected = Finished('r1', 5, 'stop')
        self.assertEqual(FrameReader('peer').feed(frame), [expected])

    def test_unknown_type_is_ignored(self) -> None:
        """Guard rolling updates: a new message type is not an error."""
        frame = msgpack.packb([999, 'x'])
        self.assertEqual(FrameReader('peer').feed(frame), [UnknownMessage()])

    def test_wrong_field_type(self) -> None:
        """Guard against passing a field of a wrong type to a handler."""
        with self.assertRaises(FrameError):
            FrameReader('peer').feed(msgpack.packb([13, 'r1', 'three', 'x']))

    def test_missing_field(self) -> None:
        """Guard against a frame that lacks required fields."""
        with self.assertRaises(FrameError):
            FrameReader('peer').feed(msgpack.packb([13, 'r1']))

    def test_deep_frame(self) -> None:
        """Guard against unbounded nesting."""
        nested: list = []
        for _ in range(20):
            nested = [nested]
        with self.assertRaises(FrameError):
            FrameReader('peer').feed(msgpack.packb([6, nested]))
