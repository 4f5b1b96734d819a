"""Read-only client of the platform's key-value store."""

import base64
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import urllib3

from wasabistream.exceptions import HistoryLostError, StoreError
from wasabistream.forwarding.endpoints import Endpoint
from wasabistream.forwarding.mirrors import MirrorChange, MirrorItem, Removal
from wasabistream.limited_pools import LimitedPool
from wasabistream.limited_responses import ResponseLimitError, ResponseLimits
from wasabistream.long_polls import MIN_ANSWER_BYTES_PER_SECOND
from wasabistream.metrics import STORE_CALLS
from wasabistream.platform.decode_errors import (
    CALL_ERRORS,
    DECODE_ERRORS,
    decode_count,
)
from wasabistream.platform.header_names import STORE_EPOCH
from wasabistream.platform.server_clients import (
    UNACKNOWLEDGED_LIMIT_MS,
    build_socket_options,
)
from wasabistream.restores.store_versions import StoreVersion
from wasabistream.units import MILLISECONDS_PER_SECOND

OK_STATUS = 200
GONE_STATUS = 410
MAX_PAGE_COUNT = 200
# Most bytes of an answer that are read at once. In a busy process each read
# waits for its turn among the other threads, so a large answer takes few reads.
# A larger piece would take its memory for each short answer, too.
PIECE_BYTES = 256 * 1024
SOCKET_OPTIONS = build_socket_options(
    UNACKNOWLEDGED_LIMIT_MS, receive_buffer_bytes=1024 * 1024
)
# A page has about 1 MB of values, in base64, or one value of 1 MiB more.
ANSWER_LIMIT_BYTES = 8 * 1024 * 1024
MAX_LOGGED_LENGTH = 40


@dataclass(frozen=True, slots=True)
class Listing:
    """Hold all items under a prefix and the version to watch from."""

    items: tuple[MirrorItem, ...]
    version: StoreVersion


@dataclass(frozen=True, slots=True)
class Changes:
    """Hold changes and the version to watch from after them."""

    changes: tuple[MirrorChange, ...]
    version: StoreVersion


@dataclass(frozen=True, slots=True)
class _Page:
    """Hold the fields of an answer and the epoch that its head states."""

    fields: Mapping[str, Any]
    epoch: int

    def version(self) -> StoreVersion:
        """Return the version of the store; raises StoreError."""
        try:
            revision = decode_count(_require_field(self.fields, 'current_rev'))
        except DECODE_ERRORS as error:
            raise StoreError(repr(error), 'decode') from error
        return StoreVersion(self.epoch, revision)


class StoreClient:
    """Read the store and watch it for changes; reads are never stale."""

    def __init__(self, endpoint: Endpoint, timeout_seconds: float) -> None:
        self._endpoint = endpoint
        # The time to connect counts as well.
        self._timeout = urllib3.Timeout(total=timeout_seconds)
        self._peer = str(endpoint)
        self._pool = self._build_pool()

    def read_all(self, prefix: str) -> Listing:
        """Return all items under a prefix.

        The pages are not a snapshot. The version is that of the first page,
        so that a watch from it repeats changes made between the pages. Raises
        HistoryLostError if the store returns from an older copy between them,
        otherwise StoreError.
        """
        items: list[MirrorItem] = []
        version: StoreVersion | None = None
        after = ''
        for _ in range(MAX_PAGE_COUNT):
            query = {'prefix': prefix}
            if after:
                query['after'] = after
            page = self._get('/-/kv-range', query)
            listed = [
                _decode_item(row)
                for row in _require_field(page.fields, 'items')
            ]
            _require_keys_after(after, listed)
            items.extend(listed)
            version = version or page.version()
            if page.epoch != version.epoch:
                raise HistoryLostError(
                    'pages are of different epochs', 'list', self._peer
                )
            if not page.fields.get('has_more') or not listed:
                break
            after = listed[-1].key
        return Listing(tuple(items), version or StoreVersion())

    def watch(
        self, prefix: str, after_revision: int, wait_seconds: float
    ) -> Changes:
        """Wait up to `wait_seconds` for changes after a revision.

        Raises HistoryLostError when the store no longer has them, or when they
        are more than one answer may hold, as each version of an item is one of
        them. Raises StoreError otherwise.
        """
        try:
            page = self._get(
                '/-/kv-watch',
                {
                    'prefix': prefix,
                    'after': str(after_revision),
                    'wait_ms': str(int(wait_seconds * MILLISECONDS_PER_SECOND)),
                },
            )
        except StoreError as error:
            if not _is_too_long(error):
                raise
            self.reset()
            raise HistoryLostError(
                'changes are more than an answer may hold',
                '/-/kv-watch',
                self._peer,
            ) from error
        rows = _require_field(page.fields, 'events')
        changes = tuple(_decode_change(row) for row in rows)
        return Changes(changes, page.version())

    def reset(self) -> None:
        """Replace the connection; the old one may have lost an answer."""
        self._pool.close()
        self._pool = self._build_pool()

    def _build_pool(self) -> LimitedPool:
        return LimitedPool(
            self._endpoint.address,
            self._endpoint.port,
            maxsize=1,
            retries=False,
            socket_options=SOCKET_OPTIONS,
            limits=ResponseLimits(
                ANSWER_LIMIT_BYTES,
                has_deadline=True,
                min_bytes_per_second=MIN_ANSWER_BYTES_PER_SECOND,
            ),
            reuses=True,
        )

    def _get(self, path: str, query: Mapping[str, str]) -> _Page:
        response, body = self._read_answer(path, query)
        if response.status == GONE_STATUS:
            raise HistoryLostError(
                'store no longer has the changes', path, self._peer
            )
        if response.status != OK_STATUS:
            raise StoreError(f'status {response.status}', path, self._peer)
        try:
            page = json.loads(body)
            if not isinstance(page, dict):
                raise ValueError('answer is not an object')
        except CALL_ERRORS as error:
            raise StoreError(str(error), path, self._peer) from error
        return _Page(page, _decode_epoch(response.headers.get(STORE_EPOCH)))

    def _read_answer(
        self, path: str, query: Mapping[str, str]
    ) -> tuple[urllib3.BaseHTTPResponse, bytes]:
        response = None
        body = bytearray()
        try:
            response = self._pool.request(
                'GET',
                path,
                fields=query,
                timeout=self._timeout,
                preload_content=False,
            )
            while piece := response.read1(PIECE_BYTES):
                body.extend(piece)
        except CALL_ERRORS as error:
            reason, outcome = str(error), 'no_answer'
            if response is not None:
                reason += f' (answer began, {len(body)} bytes of it read)'
                outcome = 'cut'
            STORE_CALLS.labels(outcome).inc()
            raise StoreError(reason, path, self._peer) from error
        STORE_CALLS.labels(str(response.status)).inc()
        return response, bytes(body)


def _is_too_long(error: StoreError) -> bool:
    # urllib3 wraps errors of reading a body.
    cause = error.__cause__
    return cause is not None and any(
        isinstance(arg, ResponseLimitError) for arg in cause.args
    )


def _require_field(page: Mapping[str, Any], name: str) -> Any:
    if name not in page:
        raise StoreError(f'answer lacks field {name}', 'decode')
    return page[name]


def _require_keys_after(after: str, listed: list[MirrorItem]) -> None:
    # A late copy of an earlier page would hide the items of this one.
    if after and any(item.key <= after for item in listed):
        raise StoreError('page repeats earlier keys', 'decode')


def _decode_item(row: Any) -> MirrorItem:
    try:
        return MirrorItem(
            key=str(row['key']),
            content=base64.b64decode(row['value'], validate=True),
            revision=decode_count(row['revision']),
        )
    except DECODE_ERRORS as error:
        raise StoreError(repr(error), 'decode') from error


def _decode_epoch(text: str | None) -> int:
    if text is None:
        return 0
    try:
        if not (text.isascii() and text.isdigit()):
            raise ValueError(f'{text[:MAX_LOGGED_LENGTH]!r} is not a number')
        return decode_count(int(text))
    except DECODE_ERRORS as error:
        raise StoreError(f'{STORE_EPOCH}: {error}', 'decode') from error


def _decode_change(row: Any) -> MirrorChange:
    if isinstance(row, dict) and row.get('removed'):
        return _decode_removal(row)
    return _decode_item(row)


def _decode_removal(row: Mapping[str, Any]) -> Removal:
    try:
        return Removal(
            str(row.get('key')), decode_count(row.get('revision') or 0)
        )
    except DECODE_ERRORS as error:
        raise StoreError(repr(error), 'decode') from error
