"""Send queue of a link, emptied by the loop of all links."""

import queue
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

# The link is closed when more frames than this are queued because its peer has
# stalled.
MAX_QUEUED_FRAME_COUNT = 20000
# The same for bytes, as a document takes a mebibyte.
MAX_QUEUED_BYTES = 16 * 1024 * 1024
# Most frames that are joined into one send, which copies them.
MAX_BATCH_FRAME_COUNT = 512
MAX_BATCH_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class Expiry:
    """Give the time after which a queued frame is dropped, not sent.

    `on_expired` is called on the loop's thread when the frame was dropped,
    so that it is certain that the peer never gets it.
    """

    at_monotonic_seconds: float
    on_expired: Callable[[], None]


@dataclass(frozen=True, slots=True)
class _QueuedFrame:
    """Hold one encoded frame until the loop takes it."""

    frame: bytes
    expiry: Expiry | None = None


@dataclass
class FrameBatch:
    """Hold frames joined for one send, and the expiries of dropped ones."""

    joined: bytes
    expired: list[Expiry]
    # True if the sending side of the link ends after this batch.
    ended: bool


class SendQueue:
    """Queue encoded frames without blocking and return them in batches."""

    def __init__(self) -> None:
        self._queue: queue.Queue[_QueuedFrame | None] = queue.Queue(
            MAX_QUEUED_FRAME_COUNT
        )
        self._lock = threading.Lock()
        self._queued_bytes = 0

    def put(self, frame: bytes, expiry: Expiry | None = None) -> None:
        """Queue a frame; raises queue.Full."""
        with self._lock:
            if self._queued_bytes + len(frame) > MAX_QUEUED_BYTES:
                raise queue.Full
            self._queue.put_nowait(_QueuedFrame(frame, expiry))
            self._queued_bytes += len(frame)

    def end(self, timeout_seconds: float = 0) -> None:
        """End the sending side once the queued frames have been sent.

        Waits up to the timeout for a place in the queue; raises queue.Full.
        """
        self._queue.put(None, timeout_seconds > 0, timeout_seconds or None)

    def take(self) -> FrameBatch | None:
        """Return the next batch, or None if nothing is queued.

        The batch has no bytes if it is only the end or if all frames expired.
        """
        try:
            queued = self._queue.get_nowait()
        except queue.Empty:
            return None
        queued_frames: list[_QueuedFrame] = []
        batch_bytes = 0
        while queued is not None:
            queued_frames.append(queued)
            batch_bytes += len(queued.frame)
            if (
                len(queued_frames) >= MAX_BATCH_FRAME_COUNT
                or batch_bytes >= MAX_BATCH_BYTES
            ):
                break
            try:
                queued = self._queue.get_nowait()
            except queue.Empty:
                break
        with self._lock:
            self._queued_bytes -= batch_bytes
        return _build_batch(queued_frames, ended=queued is None)


def _build_batch(
    queued_frames: list[_QueuedFrame], *, ended: bool
) -> FrameBatch:
    # Expiries are checked when frames leave the queue, so that a process that
    # was paused past a deadline does not send the frame.
    now = time.monotonic()
    expired = []
    frames = []
    for queued in queued_frames:
        expiry = queued.expiry
        if expiry is None or now < expiry.at_monotonic_seconds:
            frames.append(queued.frame)
        else:
            expired.append(expiry)
    return FrameBatch(b''.join(frames), expired, ended)
