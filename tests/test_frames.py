"""Tests of frames and messages."""

import os
import unittest
from pathlib import Path

import msgpack

from wasabistream.exceptions import FrameError
from wasabistream.frames import FrameReader, encode_frame
from wasabistream.messages import UnknownMessage
from wasabistream.requests import Finished, Token

TOKEN = Token('r1', 3, 'word')
LINK_COUNT = 64
# Some times the buffer that the library has by default.
FED_FRAME_COUNT = 120_000
MAX_LINK_BYTES = 128 * 1024
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


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

    def test_memory_of_many_links(self) -> None:
        """Guard against a buffer of a mebibyte for each link in use."""
        frames = encode_frame(TOKEN) * 1000
        readers = [FrameReader(str(number)) for number in range(LINK_COUNT)]
        before_bytes = resident_bytes()
        for reader in readers:
            for _ in range(FED_FRAME_COUNT // 1000):
                reader._unpacker.feed(frames)
                list(reader._unpacker)
        added_bytes = resident_bytes() - before_bytes
        self.assertLess(added_bytes, LINK_COUNT * MAX_LINK_BYTES)


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    fields = Path('/proc/self/statm').read_text(encoding='ascii').split()
    return int(fields[1]) * PAGE_BYTES
