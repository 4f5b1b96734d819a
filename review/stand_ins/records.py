"""Record of a case: what was sent, answered and run."""

import json
import threading
import time
from pathlib import Path


class Record:
    """Write one line for each fact, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._lock = threading.Lock()
        self._file = path.open('w', encoding='utf-8')
        self._started_seconds = time.monotonic()

    def write(self, fact: str, **fields: object) -> None:
        """Write one fact."""
        seconds = time.monotonic() - self._started_seconds
        text = json.dumps(fields, sort_keys=True) if fields else ''
        with self._lock:
            if not self._file.closed:
                self._file.write(f'{seconds:8.3f} {fact} {text}\n'.rstrip())
                self._file.write('\n')
                self._file.flush()

    def close(self) -> None:
        """Close the file."""
        with self._lock:
            self._file.close()
