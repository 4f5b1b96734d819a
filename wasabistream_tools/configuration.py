"""Stand-in for the platform's configuration service.

It implements the part of Consul's key-value API that the daemons use. Tests
publish values over HTTP, as the platform's operators would.
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
# Each pending watch occupies a thread.
THREAD_COUNT = 256
MAX_WAIT_SECONDS = 60.0


@dataclass
class ConfigurationFaults:
    """Hold the faults that the stand-in simulates."""

    # Reads fail with status 500.
    down: bool = False
    # Reads are dropped, pending ones too: they get no answer, also later.
    silent: bool = False
    # Reads ignore values published after this index; 0 means no fault.
    stale_index: int = 0


@dataclass(frozen=True)
class StoredValue:
    """Hold a published value and its index."""

    index: int
    body: bytes


class ConfigurationStandIn:
    """Store all published values and answer reads and watches."""

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._published_values: dict[str, list[StoredValue]] = {}
        self._index = 0
        self.faults = ConfigurationFaults()
        self.read_count = 0
        self.sent_bytes = 0

    def publish(self, key: str, body: bytes) -> int:
        """Publish a value and return its index."""
        with self._condition:
            self._index += 1
            stored = StoredValue(self._index, body)
            self._published_values.setdefault(key, []).append(stored)
            self._condition.notify_all()
            return self._index

    def restore(self, index: int) -> None:
        """Return to an older copy; later indexes are given out again."""
        with self._condition:
            self._index = index
            for key, published in self._published_values.items():
                self._published_values[key] = [
                    stored for stored in published if stored.index <= index
                ]
            self._condition.notify_all()

    def inject(self, faults: ConfigurationFaults) -> None:
        """Replace the simulated faults and wake pending watches."""
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
                    silent=fields.get('silent') == 'true',
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
        return self._read_or_watch(key, request.query)

    def _read_or_watch(self, key: str, query: str) -> HttpAnswer:
        fields = dict(urllib.parse.parse_qsl(query))
        client_index = int(fields.get('index', 0))
        wait_seconds = float(fields.get('wait', '0s').rstrip('s'))
        deadline = time.monotonic() + min(wait_seconds, MAX_WAIT_SECONDS)
        with self._condition:
            self.read_count += 1
            current = self._find_visible_value(key)
            while (
                not self.faults.down
                and not self.faults.silent
                and (current is None or current.index == client_index)
                and time.monotonic() < deadline
            ):
                self._condition.wait(deadline - time.monotonic())
                current = self._find_visible_value(key)
            if self.faults.silent:
                self._condition.wait_for(
                    lambda: self.faults.down, MAX_WAIT_SECONDS
                )
                return json_answer(500, {'error': 'dropped'})
            if self.faults.down:
                return json_answer(500, {'error': 'no leader'})
        if current is None:
            return json_answer(404, {})
        with self._condition:
            self.sent_bytes += len(current.body)
        return HttpAnswer(
            200,
            current.body,
            'application/octet-stream',
            {'X-Consul-Index': str(current.index)},
        )

    def _find_visible_value(self, key: str) -> StoredValue | None:
        visible = [
            stored
            for stored in self._published_values.get(key, [])
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
