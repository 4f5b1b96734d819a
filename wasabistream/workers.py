"""Pool of worker threads that does not delay the exit of the process."""

import logging
import queue
import threading
from collections.abc import Callable
from typing import Any

logger = logging.getLogger(__name__)


class WorkerPool:
    """Run tasks in daemon threads, which are kept for later tasks.

    The executors of the standard library join their threads at exit, so a
    stream of a hanging engine would delay the exit.
    """

    def __init__(self, max_thread_count: int, name: str) -> None:
        self._max_thread_count = max_thread_count
        self._name = name
        self._lock = threading.Lock()
        self._tasks: queue.SimpleQueue[tuple[Callable[..., None], Any]] = (
            queue.SimpleQueue()
        )
        self._thread_count = 0
        self._unfinished_task_count = 0

    def submit(self, task: Callable[..., None], argument: Any) -> None:
        """Queue a task with one argument for the next free thread."""
        with self._lock:
            self._unfinished_task_count += 1
            starts_thread = self._thread_count < min(
                self._unfinished_task_count, self._max_thread_count
            )
            if starts_thread:
                self._thread_count += 1
            name = f'{self._name}-{self._thread_count}'
        self._tasks.put((task, argument))
        if starts_thread:
            threading.Thread(target=self._run, name=name, daemon=True).start()

    def _run(self) -> None:
        while True:
            task, argument = self._tasks.get()
            try:
                task(argument)
            except Exception:
                logger.exception('%s: task failed', self._name)
            with self._lock:
                self._unfinished_task_count -= 1
