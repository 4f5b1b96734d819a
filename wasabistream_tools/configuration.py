"""Stand-in for the platform's configuration service.

It speaks the part of Consul's key-value protocol that the daemons use.
Tests publish values over HTTP, as the platform's operators would.
"""

import threading
import time
import urllib.parse
from dataclasses import dataclass

import fire

from wasabistream.http_servers import (
    ApiServer,
    HttpAnswer,
    HttpRequest,
    TakeSocket,
    json_answer,
)

KEY_PREFIX = '/v1/kv/'
# Each pending watch holds a thread.
THREAD_COUNT = 256
MAX_WAIT_SECONDS = 60.0


@dataclass
class ConfigurationFaults:
    """Hold the faults in force."""

    down: bool = False
    # Reads get the values published up to this index.
    stale_index: int = 0


@dataclass(frozen=True)
class StoredValue:
    """Hold one published value."""

    index: int
    body: bytes


class ConfigurationStandIn:
    """Keep all published values and answer reads and watches."""

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._history: dict[str, list[StoredValue]] = {}
        self._index = 0
        self.faults = ConfigurationFaults()
        self.read_count = 0
        self.sent_bytes = 0

    def publish(self, key: str, body: bytes) -> int:
        """Publish a value and return its index."""
        with self._condition:
            self._index += 1
            stored = StoredValue(self._index, body)
            self._history.setdefault(key, []).append(stored)
            self._condition.notify_all()
            return self._index

    def inject(self, faults: ConfigurationFaults) -> None:
        """Replace the faults in force."""
        with self._condition:
            self.faults = faults
            self._condition.notify_all()

    def handle(
        self, request: HttpRequest, take_socket: TakeSocket
    ) -> HttpAnswer:
        """Answer one request."""
        if request.path == '/stand-in/faults':
            fields = dict(urllib.parse.parse_qsl(request.query))
            self.inject(
                ConfigurationFaults(
                    down=fields.get('down') == 'true',
                    stale_index=int(fields.get('stale_index', 0)),
                )
            )
            return json_answer(200, {})
        if request.path == '/stand-in/counts':
            return json_answer(
                200,
                {'read_count': self.read_count, 'sent_bytes': self.sent_bytes},
            )
        if not request.path.startswith(KEY_PREFIX):
            return json_answer(404, {})
        key = request.path[len(KEY_PREFIX) :]
        if request.method == 'PUT':
            return json_answer(200, self.publish(key, request.body))
        return self._read(key, request.query)

    def _read(self, key: str, query: str) -> HttpAnswer:
        fields = dict(urllib.parse.parse_qsl(query))
        known_index = int(fields.get('index', 0))
        wait_seconds = float(fields.get('wait', '0s').rstrip('s'))
        deadline = time.monotonic() + min(wait_seconds, MAX_WAIT_SECONDS)
        with self._condition:
            self.read_count += 1
            found = self._current(key)
            while (
                not self.faults.down
                and (found is None or found.index == known_index)
                and time.monotonic() < deadline
            ):
                self._condition.wait(deadline - time.monotonic())
                found = self._current(key)
            if self.faults.down:
                return json_answer(500, {'error': 'no leader'})
        if found is None:
            return json_answer(404, {})
        with self._condition:
            self.sent_bytes += len(found.body)
        return HttpAnswer(
            200,
            found.body,
            'application/octet-stream',
            {'X-Consul-Index': str(found.index)},
        )

    def _current(self, key: str) -> StoredValue | None:
        visible = [
            stored
            for stored in self._history.get(key, [])
            if not self.faults.stale_index
            or stored.index <= self.faults.stale_index
        ]
        return visible[-1] if visible else None


def serve(address: str, port: int) -> None:
    """Run the stand-in."""
    stand_in = ConfigurationStandIn()
    ApiServer(address, port, stand_in.handle, THREAD_COUNT).serve()


if __name__ == '__main__':
    fire.Fire(serve)
