"""Tests of splitting byte streams into events."""

import time
import unittest

from hypothesis import given
from hypothesis import strategies as st

from tests.forwarding_fakes import events
from wasabistream.exceptions import BackendError
from wasabistream.forwarding.event_splitters import (
    MAX_EVENT_BYTES,
    EventSplitter,
    StreamEvent,
)


class EventSplitterTest(unittest.TestCase):
    """Guard against incomplete, lost or merged events."""

    @given(st.lists(st.integers(1, 40), max_size=20))
    def test_any_chunk_boundaries(self, lengths: list[int]) -> None:
        """Guard against a result that depends on the chunks received."""
        raw = events(1, 5)
        splitter = EventSplitter()
        found: list[StreamEvent] = []
        position = 0
        for length in [*lengths, len(raw)]:
            found.extend(splitter.feed(raw[position : position + length]))
            position += length
        self.assertEqual(b''.join(event.raw for event in found), raw)
        self.assertEqual(
            [event.event_id for event in found], ['1', '2', '3', '4', '5']
        )
        self.assertFalse(splitter.has_partial_event)

    def test_incomplete_event(self) -> None:
        """Guard against forwarding an incomplete event."""
        splitter = EventSplitter()
        found = list(splitter.feed(events(1, 2)[:-1]))
        self.assertEqual([event.event_id for event in found], ['1'])
        self.assertTrue(splitter.has_partial_event)

    def test_event_without_an_end(self) -> None:
        """Guard against unbounded buffering of an event without an end."""
        splitter = EventSplitter()
        with self.assertRaises(BackendError):
            list(splitter.feed(b'x' * (MAX_EVENT_BYTES + 1)))

    def test_event_in_small_pieces(self) -> None:
        """Guard against searching the whole buffer again at each piece."""
        splitter = EventSplitter()
        started_seconds = time.process_time()
        for _ in range(MAX_EVENT_BYTES):
            self.assertEqual(list(splitter.feed(b'x')), [])
        self.assertLess(time.process_time() - started_seconds, 4)

    def test_comments(self) -> None:
        """Guard against taking a comment for progress of a stream."""
        raw = b': ping\n\n' + events(1, 1)
        found = list(EventSplitter().feed(raw))
        self.assertEqual([event.is_comment for event in found], [True, False])

    def test_version_line_before_the_id(self) -> None:
        """Guard against missing an id that follows another field."""
        raw = b'wasabistream-weight-versions: 2\r\nid: 7\r\ndata: x\r\n\r\n'
        found = list(EventSplitter().feed(raw))
        self.assertEqual(found[0].event_id, '7')
