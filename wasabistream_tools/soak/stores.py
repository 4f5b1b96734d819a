"""Stand-in for the platform's store."""

import json
import threading
import time
import urllib.parse
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, BinaryIO

POLL_SECONDS = 0.02
EPOCH_HEADER = 'Store-Era'
# Slow answers are sent in pieces at this interval.
PIECE_SECONDS = 0.05


@dataclass(frozen=True)
class PageLimit:
    """Limit the items of one answer to a read."""

    item_count: int
    value_bytes: int


# Small pages, so that a few items need several.
SMALL_PAGE = PageLimit(2, 1_000_000)
# The limits of the platform's store.
PLATFORM_PAGE = PageLimit(500, 1_000_000)


@dataclass(frozen=True)
class StoreCopy:
    """Hold the contents of a store at one of its revisions."""

    items: dict[str, dict[str, Any]]
    changes: list[dict[str, Any]]
    revision: int


class _Handler(BaseHTTPRequestHandler):
    """Answer calls to the store."""

    protocol_version = 'HTTP/1.1'

    def setup(self) -> None:
        """Remember when the connection was opened."""
        super().setup()
        self.opened_at_seconds = time.monotonic()

    def do_GET(self) -> None:
        """Answer a read or a watch."""
        parts = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(parts.query))
        store = self.server.store  # type: ignore[attr-defined]
        # Before the contents are read, so that older ones never carry it.
        epoch = store.epoch
        caller = self.server.caller  # type: ignore[attr-defined]
        status, body = store.answer(parts.path, query, caller)
        store.wait_if_silenced(self.opened_at_seconds)
        raw = json.dumps(body).encode()
        self.send_response(status)
        self.send_header(EPOCH_HEADER, str(epoch))
        self.send_header('Content-Length', str(len(raw)))
        self.end_headers()
        store.send_body(self.wfile, raw, caller)

    def log_message(self, *arguments: Any) -> None:
        """Suppress the log of the HTTP server."""


class _StoreServer(ThreadingHTTPServer):
    daemon_threads = True

    def __init__(self, store: 'StandInStore', caller: str) -> None:
        super().__init__(('127.0.0.1', 0), _Handler)
        self.store = store
        self.caller = caller
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def port(self) -> int:
        """Return the port that was bound."""
        return int(self.server_address[1])

    def handle_error(self, *arguments: Any) -> None:
        """Ignore callers that have left."""


class StandInStore:
    """Hold items and their changes; answer reads and watches of them.

    Callers with a port of their own can be disturbed by themselves.
    """

    def __init__(self, page_limit: PageLimit = SMALL_PAGE) -> None:
        self._page_limit = page_limit
        self.items: dict[str, dict[str, Any]] = {}
        self.changes: list[dict[str, Any]] = []
        self.revision = 1
        # Rises with each return from an older copy.
        self.epoch = 1
        # Watches after an older revision get 410, as the history is gone.
        self.forgotten_revision = 0
        # Status of all answers; with 0 the store answers normally.
        self.failing_status = 0
        # While true, calls are dropped: they get no answer, also later.
        self.silent = False
        # Rate at which bodies of answers are sent; 0 for no limit.
        self.body_bytes_per_second = 0.0
        # Bytes of a body after which nothing more is sent; 0 for all.
        self.body_limit_bytes = 0
        # The same for callers with a port of their own, by name.
        self.silent_callers: set[str] = set()
        # The rate for callers with a port of their own, by name.
        self.bytes_per_second: dict[str, float] = {}
        # Connections that were opened before get no further answer.
        self.silenced_at_seconds = 0.0
        self._stopped = threading.Event()
        # Calls see a change with its revision, or neither.
        self._lock = threading.RLock()
        self.calls: list[str] = []
        self._servers: list[_StoreServer] = []
        self.port = self.open_port('')

    def open_port(self, caller: str) -> int:
        """Return a port that only one caller uses."""
        server = _StoreServer(self, caller)
        self._servers.append(server)
        return server.port

    def stop(self) -> None:
        """Stop answering."""
        self._stopped.set()
        for server in self._servers:
            server.shutdown()
            server.server_close()

    def put(self, row: dict[str, Any]) -> None:
        """Write an item."""
        with self._lock:
            self.revision = max(self.revision, row['revision'])
            self.items[row['key']] = row
            self.changes.append(row)

    def remove(self, key: str) -> None:
        """Remove an item."""
        with self._lock:
            self.revision += 1
            self.items.pop(key)
            self.changes.append(
                {'key': key, 'revision': self.revision, 'removed': True}
            )

    def copy(self) -> StoreCopy:
        """Return a copy from which the store can be restored."""
        with self._lock:
            return StoreCopy(
                dict(self.items), list(self.changes), self.revision
            )

    def restore(self, copied: StoreCopy) -> None:
        """Return to an older copy; later revisions are given out again."""
        with self._lock:
            self.items = dict(copied.items)
            self.changes = list(copied.changes)
            self.revision = copied.revision
            self.epoch += 1

    def silence_connections(self) -> None:
        """Answer nothing more on the connections that are open now."""
        self.silenced_at_seconds = time.monotonic()

    def wait_if_silenced(self, opened_at_seconds: float) -> None:
        """Hold back an answer on a connection that is silent for good."""
        if opened_at_seconds < self.silenced_at_seconds:
            self._stopped.wait()

    def send_body(self, stream: BinaryIO, body: bytes, caller: str) -> None:
        """Send the body of an answer at the rate and up to the limit."""
        limit_bytes = self.body_limit_bytes or len(body)
        sent_bytes = 0
        while sent_bytes < min(limit_bytes, len(body)):
            # A rate may end meanwhile.
            rate = self.bytes_per_second.get(caller, self.body_bytes_per_second)
            size_bytes = (
                max(int(rate * PIECE_SECONDS), 1) if rate else len(body)
            )
            stream.write(body[sent_bytes : sent_bytes + size_bytes])
            sent_bytes += size_bytes
            if rate:
                time.sleep(PIECE_SECONDS)
        if limit_bytes < len(body):
            self._stopped.wait()

    def answer(
        self, path: str, query: dict[str, str], caller: str = ''
    ) -> tuple[int, dict[str, Any]]:
        """Return status and body of one call."""
        self.calls.append(path)
        if self._is_silent(caller):
            return self._drop_call()
        if self.failing_status:
            return self.failing_status, {}
        if path == '/-/kv-range':
            return 200, self._page(query)
        return self._watch(query, caller)

    def _is_silent(self, caller: str) -> bool:
        return self.silent or caller in self.silent_callers

    def _page(self, query: dict[str, str]) -> dict[str, Any]:
        after = query.get('after', '')
        with self._lock:
            keys = sorted(key for key in self.items if key > after)
            rows: list[dict[str, Any]] = []
            size_bytes = 0
            for key in keys[: self._page_limit.item_count]:
                size_bytes += len(self.items[key].get('value', ''))
                if rows and size_bytes > self._page_limit.value_bytes:
                    break
                rows.append(self.items[key])
            return {
                'items': rows,
                'has_more': len(keys) > len(rows),
                'current_rev': self.revision,
            }

    def _drop_call(self) -> tuple[int, dict[str, Any]]:
        self._stopped.wait()
        return 503, {}

    def _watch(
        self, query: dict[str, str], caller: str
    ) -> tuple[int, dict[str, Any]]:
        after = int(query['after'])
        epoch = self.epoch
        if after < self.forgotten_revision or after > self.revision:
            return 410, {}
        deadline = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            if self._is_silent(caller):
                return self._drop_call()
            with self._lock:
                if after < self.forgotten_revision or epoch != self.epoch:
                    return 410, {}
                events = self._changes_after(after)
                page = {'events': events, 'current_rev': self.revision}
            if events or self.failing_status or time.monotonic() >= deadline:
                return 200, page
            time.sleep(POLL_SECONDS)

    def _changes_after(self, revision: int) -> list[dict[str, Any]]:
        if revision >= self.revision:
            # Most polls of a watch; the whole history is long in a large run.
            return []
        return [row for row in self.changes if row['revision'] > revision]
