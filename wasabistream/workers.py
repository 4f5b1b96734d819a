"""Pool of worker threads that do not hold up the end of the process."""

import logging
import queue
import threading
from collections.abc import Callable
from typing import Any

logger = logging.getLogger(__name__)


class WorkerPool:
    """Run tasks in daemon threads, which are kept for later tasks.

    The executors of the standard library join their threads at exit, which a
    stream of an engine that hangs would delay.
    """

    def __init__(self, limit_count: int, name: str) -> None:
        self._limit_count = limit_count
        self._name = name
        self._lock = threading.Lock()
        self._tasks: queue.SimpleQueue[tuple[Callable[..., None], Any]] = (
            queue.SimpleQueue()
        )
        self._thread_count = 0
        self._open_count = 0

    def submit(self, task: Callable[..., None], argument: Any) -> None:
        """Run a task with one argument as soon as a thread is free."""
        with self._lock:
            self._open_count += 1
            grow = self._thread_count < min(self._open_count, self._limit_count)
            if grow:
                self._thread_count += 1
            name = f'{self._name}-{self._thread_count}'
        self._tasks.put((task, argument))
        if grow:
            threading.Thread(target=self._run, name=name, daemon=True).start()

    def _run(self) -> None:
        while True:
            task, argument = self._tasks.get()
            try:
                task(argument)
            except Exception:
                logger.exception('%s: task failed', self._name)
            with self._lock:
                self._open_count -= 1
