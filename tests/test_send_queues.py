"""Tests of the send queue of a link.

Failure pattern: a peer that has stalled fills the memory of a process with the
large messages that are queued for it.
"""

import queue
import unittest

from wasabistream.frames import MAX_FRAME_BYTES
from wasabistream.send_queues import (
    MAX_BATCH_BYTES,
    MAX_QUEUED_BYTES,
    SendQueue,
)

PUT_COUNT = 64


class SendQueueTest(unittest.TestCase):
    """Guard against queues that are limited in frames but not in bytes."""

    def test_long_frames(self) -> None:
        """Guard against gigabytes of long frames, and against lost room."""
        frame = bytes(MAX_FRAME_BYTES)
        send_queue = SendQueue()
        with self.assertRaises(queue.Full):
            for _ in range(PUT_COUNT):
                send_queue.put(frame)
        taken_bytes = 0
        for _ in range(MAX_QUEUED_BYTES // MAX_FRAME_BYTES):
            batch = send_queue.take()
            assert batch is not None
            self.assertLess(len(batch.joined), MAX_FRAME_BYTES * 2)
            taken_bytes += len(batch.joined)
        self.assertIsNone(send_queue.take())
        self.assertLessEqual(taken_bytes, MAX_QUEUED_BYTES)
        send_queue.put(frame)

    def test_short_frames(self) -> None:
        """Guard against a join that copies all that is queued."""
        frame = bytes(MAX_BATCH_BYTES // 2)
        send_queue = SendQueue()
        for _ in range(4):
            send_queue.put(frame)
        for _ in range(2):
            batch = send_queue.take()
            assert batch is not None
            self.assertEqual(len(batch.joined), MAX_BATCH_BYTES)
        self.assertIsNone(send_queue.take())


if __name__ == '__main__':
    unittest.main()
