"""Pool of threads that can stop while it adds some."""

import threading
from typing import Any

from cheroot.workers.threadpool import ThreadPool, WorkerThread


class GrowingPool(ThreadPool):
    """Add threads without waiting until each has had processor time.

    A stop waits for the threads of the pool, not for more to be added: on a busy
    machine that takes seconds.
    """

    # cheroot's type stubs leave the attribute out.
    _threads: list[WorkerThread]

    def __init__(self, server: Any, **options: Any) -> None:
        super().__init__(server, **options)
        # Held only while a thread is added to the list, or the pool is stopped.
        self._growth_lock = threading.Lock()
        self._is_stopped = False

    def grow(self, amount: int) -> None:
        """Add threads up to the maximum; raises RuntimeError."""
        for _ in range(min(amount, self.max - len(self._threads))):
            worker = WorkerThread(self.server)
            # A stop that sees the thread before its start also ends it.
            if not self._add(worker):
                return
            try:
                worker.start()
            except RuntimeError:
                self._remove(worker)
                raise

    def stop(self, timeout: int = 5) -> None:
        """Add no more threads and wait for those there are."""
        with self._growth_lock:
            self._is_stopped = True
        super().stop(timeout)

    def _add(self, worker: WorkerThread) -> bool:
        with self._growth_lock:
            if not self._is_stopped:
                self._threads.append(worker)
            return not self._is_stopped

    def _remove(self, worker: WorkerThread) -> None:
        with self._growth_lock:
            if not self._is_stopped:
                self._threads.remove(worker)
