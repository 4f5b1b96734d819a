"""Queue of encoded frames in front of the writer thread of a link."""

import queue
import time
from collections.abc import Callable
from dataclasses import dataclass

# Frames that may wait for a stalled peer before the link is given up.
MAX_QUEUED_FRAME_COUNT = 20000
# Largest number of frames joined into one send.
MAX_JOINED_FRAME_COUNT = 512


@dataclass(frozen=True, slots=True)
class Expiry:
    """Limit the time at which a queued frame may still be sent.

    `on_expired` runs on the writer thread when the frame was dropped, which
    proves that the peer never gets it.
    """

    at_monotonic_seconds: float
    on_expired: Callable[[], None]


@dataclass(frozen=True, slots=True)
class _QueuedFrame:
    """Hold one encoded frame until the writer thread takes it."""

    frame: bytes
    expiry: Expiry | None = None


@dataclass
class FrameBatch:
    """Hold the frames that the writer thread sends at once."""

    joined: bytes
    expired: list[Expiry]
    # The link ends after this batch.
    ended: bool


class SendQueue:
    """Queue frames without blocking and hand them out in batches."""

    def __init__(self) -> None:
        self._queue: queue.Queue[_QueuedFrame | None] = queue.Queue(
            MAX_QUEUED_FRAME_COUNT
        )

    def put(self, frame: bytes, expiry: Expiry | None = None) -> None:
        """Queue a frame; raises queue.Full."""
        self._queue.put_nowait(_QueuedFrame(frame, expiry))

    def end(self, timeout_seconds: float = 0) -> None:
        """Let the writer thread end after the queued frames.

        Raises queue.Full.
        """
        self._queue.put(None, timeout_seconds > 0, timeout_seconds or None)

    def take(self) -> FrameBatch:
        """Wait for frames."""
        queued = self._queue.get()
        batch: list[_QueuedFrame] = []
        while queued is not None:
            batch.append(queued)
            if len(batch) >= MAX_JOINED_FRAME_COUNT:
                break
            try:
                queued = self._queue.get_nowait()
            except queue.Empty:
                break
        return _join(batch, ended=queued is None)


def _join(batch: list[_QueuedFrame], *, ended: bool) -> FrameBatch:
    # Expiry is checked after the wait in the queue, so that a process that
    # was paused past a deadline sends nothing.
    now = time.monotonic()
    expired = []
    frames = []
    for queued in batch:
        expiry = queued.expiry
        if expiry is None or now < expiry.at_monotonic_seconds:
            frames.append(queued.frame)
        else:
            expired.append(expiry)
    return FrameBatch(b''.join(frames), expired, ended)
