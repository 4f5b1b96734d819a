"""Watch of a value in the configuration service by long polling.

The service speaks the key-value protocol of Consul: a read with the index
of the last answer blocks until the value changes.
"""

import logging
import threading
import time
from collections.abc import Callable

import urllib3

from wasabistream.documents import compute_digest
from wasabistream.exceptions import ConfigurationError
from wasabistream.limited_pools import build_pool_manager
from wasabistream.limited_responses import ResponseLimits
from wasabistream.long_polls import (
    MIN_ANSWER_BYTES_PER_SECOND,
    LongPollPacer,
    build_long_poll_limits,
)
from wasabistream.metrics import CONFIGURATION_READS

logger = logging.getLogger(__name__)

# A document is promised to be in force everywhere within this time, also after
# a lost answer. 24 data centres with two readers of two values make 36 reads/s
# without a change.
IN_FORCE_SECONDS = 8.0
WATCH_LIMITS = build_long_poll_limits(IN_FORCE_SECONDS)
# While the service is down every entry becomes a reader in turn; the longest
# wait keeps 380 entries with two values below 100 reads/s.
RETRY_MIN_SECONDS = 1.0
RETRY_MAX_SECONDS = 8.0
# The service holds values of up to 1 MiB.
ANSWER_LIMIT_BYTES = 2 * 1024 * 1024
INDEX_HEADER = 'X-Consul-Index'


class ValueWatcher:
    """Watch a key and call a function with each new value and its index."""

    def __init__(
        self, url: str, key: str, receive: Callable[[bytes, int], None]
    ) -> None:
        self._url = f'{url}/v1/kv/{key}'
        self._receive = receive
        limits = ResponseLimits(
            ANSWER_LIMIT_BYTES,
            has_deadline=True,
            min_bytes_per_second=MIN_ANSWER_BYTES_PER_SECOND,
        )
        self._http = build_pool_manager(limits, reuses=False)
        self._stopped = threading.Event()
        self._stopped.set()
        self._index = 0
        self._digest = ''
        self.read_count = 0
        self._last_read_monotonic_seconds = float('-inf')
        self._last_answer_monotonic_seconds = float('-inf')

    @property
    def index(self) -> int:
        """Return the index of the last value; 0 before the first."""
        return self._index

    @property
    def read_age_seconds(self) -> float:
        """Return the time since the last answered read began.

        Up to two waits pass between the starts of two answered reads.
        """
        return time.monotonic() - self._last_read_monotonic_seconds

    @property
    def answer_age_seconds(self) -> float:
        """Return the time since the service last answered."""
        return time.monotonic() - self._last_answer_monotonic_seconds

    @property
    def running(self) -> bool:
        """Tell whether the watcher is started and not stopped."""
        return not self._stopped.is_set()

    def start(self) -> None:
        """Start to watch; the first read returns without waiting."""
        self._index = 0
        self._digest = ''
        self._stopped = threading.Event()
        threading.Thread(
            target=self._run,
            args=(self._stopped,),
            name=f'watch-{self._url}',
            daemon=True,
        ).start()

    def stop(self) -> None:
        """Stop; a read in progress still ends."""
        self._stopped.set()

    def _run(self, stopped: threading.Event) -> None:
        pacer = LongPollPacer(
            WATCH_LIMITS, RETRY_MIN_SECONDS, RETRY_MAX_SECONDS
        )
        while not stopped.is_set():
            try:
                self._read(pacer.choose_wait_seconds())
            except ConfigurationError as error:
                logger.warning('watcher: %s', error)
                stopped.wait(pacer.record_failure())
            else:
                pacer.record_answer()

    def _read(self, wait_seconds: float) -> None:
        self.read_count += 1
        CONFIGURATION_READS.inc()
        started = time.monotonic()
        try:
            response = self._http.request(
                'GET',
                self._url,
                fields={
                    'raw': 'true',
                    'index': str(self._index),
                    'wait': f'{wait_seconds:.3f}s',
                },
                # The time to connect counts as well.
                timeout=urllib3.Timeout(total=WATCH_LIMITS.timeout_seconds),
            )
        except urllib3.exceptions.HTTPError as error:
            raise ConfigurationError(str(error), 'watch', self._url) from error
        if response.status == 404:
            # The service is reachable and has no value yet.
            self._last_answer_monotonic_seconds = time.monotonic()
        if response.status != 200:
            raise ConfigurationError(
                f'status {response.status}', 'watch', self._url
            )
        try:
            index = int(response.headers[INDEX_HEADER])
        except (KeyError, ValueError):
            raise ConfigurationError('no index', 'watch', self._url) from None
        self._last_answer_monotonic_seconds = time.monotonic()
        self._last_read_monotonic_seconds = started
        digest = compute_digest(response.data)
        # A service that has returned from an older copy gives indexes out again.
        if (index, digest) != (self._index, self._digest):
            self._index = index
            self._digest = digest
            self._receive(response.data, index)
