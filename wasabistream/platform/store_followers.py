"""Follower that keeps the local mirror of the store up to date."""

import logging
import math
import threading
import time
from collections.abc import Callable, Mapping

from wasabistream.exceptions import HistoryLostError, StoreError
from wasabistream.forwarding.endpoints import Endpoint
from wasabistream.forwarding.expiry_guards import ExpiryGuard
from wasabistream.forwarding.mirrors import MirrorDifference, StoreMirror
from wasabistream.long_polls import (
    FIRST_WAIT_SECONDS,
    LongPollLimits,
    LongPollPacer,
    build_long_poll_limits,
)
from wasabistream.metrics import STORE_ANSWER_AGE, STORE_EPOCH, STORE_LOST
from wasabistream.platform.store_clients import StoreClient
from wasabistream.restores.restore_guards import RestoreGuard
from wasabistream.restores.store_versions import StoreVersion

logger = logging.getLogger(__name__)

# Shorter watches while removals are held back, to apply them when due.
GUARDED_WATCH_SECONDS = 0.5
# Interval at which an entry checks that relays still keep it current.
RELAYED_POLL_SECONDS = 0.25
# Pause before a list that could not be read beside the watch is read again.
LISTING_RETRY_SECONDS = 5.0
RETRY_MIN_SECONDS = 0.1
RETRY_MAX_SECONDS = 0.4


class StoreFollower:
    """Read the whole store once, then watch it for changes.

    The watch rests while relays keep the mirror current.
    `on_reachability_change` is called when the store stops or starts answering.
    After a return of the store from an older copy, the whole list is read again.
    """

    def __init__(
        self,
        client: StoreClient,
        mirror: StoreMirror,
        limits: LongPollLimits,
        on_reachability_change: Callable[[], None],
        is_updated_by_relays: Callable[[], bool],
        restore_guard: RestoreGuard | None = None,
        is_read_by_peers: Callable[[], bool] = bool,
        describe_relays: Callable[[], Mapping[str, object]] = dict,
    ) -> None:
        self._client = client
        self._mirror = mirror
        # Its holds are ended in time by this thread.
        self._restore_guard = restore_guard
        self._is_read_by_peers = is_read_by_peers
        # Returns log fields.
        self._describe_relays = describe_relays
        self._guard = ExpiryGuard(mirror)
        self._pacer = LongPollPacer(
            limits, RETRY_MIN_SECONDS, RETRY_MAX_SECONDS
        )
        self._on_reachability_change = on_reachability_change
        self._is_updated_by_relays = is_updated_by_relays
        # Whether relays have kept the mirror current since the last own read.
        self._was_relayed = False
        self._stopped = threading.Event()
        self._has_listing = False
        # When the list is read beside the watch; None if it is not.
        self._listing_due_at_seconds: float | None = None
        # Whether a call was answered since relays kept the mirror current.
        self._has_read = False
        # The version to watch from.
        self._version = StoreVersion()
        # Monotonic time since which the store has not answered; None while it
        # answers.
        self.lost_at_seconds: float | None = time.monotonic()
        self._answered_at_seconds = time.monotonic()

    @property
    def is_lost(self) -> bool:
        """Return whether the store does not answer, or has not for long."""
        if self.lost_at_seconds is not None:
            return True
        # This process may have been paused, or its call may hang.
        limit_seconds = self._pacer.limits.max_answer_age_seconds
        return self.answer_age_seconds > limit_seconds

    @property
    def answer_age_seconds(self) -> float:
        """Return the time since the store, or a relay for it, last answered."""
        return time.monotonic() - self._answered_at_seconds

    @property
    def away_seconds(self) -> float:
        """Return for how long the store has not answered, 0 if it answers."""
        if self.lost_at_seconds is None:
            return 0
        return time.monotonic() - self.lost_at_seconds

    def start(self) -> None:
        """Start the thread that reads and watches."""
        STORE_ANSWER_AGE.set_function(lambda: self.answer_age_seconds)
        STORE_EPOCH.set_function(lambda: self._mirror.version.epoch)
        self._mirror.subscribe_differences(_log_return)
        threading.Thread(target=self._run, name='store', daemon=True).start()

    def stop(self) -> None:
        """Stop after the current call."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            started = time.monotonic()
            try:
                self._read_or_watch()
            except HistoryLostError as error:
                self._drop_listing(str(error))
            except StoreError as error:
                self._record_loss(error, time.monotonic() - started)
                self._client.reset()
                self._stopped.wait(self._pacer.record_failure())
                # The store may refuse this entry only.
                if self._is_read_by_peers():
                    self._end_due_holds()
            else:
                self._pacer.record_answer()
                self._record_recovery()
                self._end_due_holds()

    def _read_or_watch(self) -> None:
        if self._may_rest() and self._is_updated_by_relays():
            self._was_relayed = True
            self._stopped.wait(RELAYED_POLL_SECONDS)
            # Relays do not send again what this entry has held back itself.
            self._guard.apply_due_removals()
            return
        if self._was_relayed:
            self._resume_watch()
        if not self._has_listing or self._is_listing_due():
            self._read_all()
            return
        wait_seconds = min(
            self._pacer.choose_wait_seconds(), self._max_wait_seconds()
        )
        self._require_same_epoch(self._mirror.version)
        changes = self._client.watch('', self._version.revision, wait_seconds)
        self._require_same_epoch(changes.version)
        self._guard.on_store_regained(self.away_seconds)
        self._guard.apply(changes.changes, changes.version)
        self._version = changes.version
        self._has_read = True
        self._guard.apply_due_removals()

    def _may_rest(self) -> bool:
        # A list that is due is read first: it also shows removals that this
        # entry has missed, which no version tells.
        return self._has_listing and self._listing_due_at_seconds is None

    def _resume_watch(self) -> None:
        """Watch from where relays have kept the mirror current.

        The changes are a small part of the list, which a busy entry reads for
        seconds. The list follows, as a relay that was lost may have held
        removals back.
        """
        self._was_relayed = False
        self._version = self._mirror.version
        self._has_read = False
        self._listing_due_at_seconds = time.monotonic()
        self._log_reading(
            'watching the store',
            'relays no longer keep this entry current',
        )

    def _is_listing_due(self) -> bool:
        return self._has_read and self._listing_wait_seconds() <= 0

    def _listing_wait_seconds(self) -> float:
        if self._listing_due_at_seconds is None:
            return math.inf
        return self._listing_due_at_seconds - time.monotonic()

    def _max_wait_seconds(self) -> float:
        """Return the longest wait of the next watch."""
        if not self._has_read:
            return FIRST_WAIT_SECONDS
        if self._guard.waiting or self._is_holding():
            return GUARDED_WATCH_SECONDS
        return max(self._listing_wait_seconds(), FIRST_WAIT_SECONDS)

    def _read_all(self) -> None:
        # Until then only changes are read, if this fails.
        self._listing_due_at_seconds = time.monotonic() + LISTING_RETRY_SECONDS
        listing = self._client.read_all('')
        known_epoch = self._mirror.version.epoch
        if listing.version.epoch < known_epoch:
            raise StoreError(
                f'listing of epoch {listing.version.epoch} is older than the'
                f' known epoch {known_epoch}',
                'list',
            )
        self._guard.on_store_regained(self.away_seconds)
        self._guard.replace(listing.items, listing.version)
        self._version = listing.version
        self._has_listing = True
        self._has_read = True
        self._listing_due_at_seconds = None

    def _drop_listing(self, reason: str) -> None:
        self._has_listing = False
        self._log_reading('reading the whole list again', reason)

    def _log_reading(self, reading: str, reason: str) -> None:
        version = self._mirror.version
        logger.info(
            'store: %s: %s',
            reading,
            reason,
            extra={
                'epoch': version.epoch,
                'revision': version.revision,
                'answer_age_seconds': round(self.answer_age_seconds, 3),
                **self._describe_relays(),
            },
        )

    def _require_same_epoch(self, version: StoreVersion) -> None:
        if version.epoch != self._version.epoch:
            raise HistoryLostError(
                f'epoch is {version.epoch}, not {self._version.epoch}', 'watch'
            )

    def _end_due_holds(self) -> None:
        # Not called while the store is away: what is held cannot be written.
        if self._restore_guard is not None:
            self._restore_guard.apply_due()

    def _is_holding(self) -> bool:
        return self._restore_guard is not None and self._restore_guard.waiting

    def _record_loss(self, error: StoreError, call_seconds: float) -> None:
        fields = {
            'call_seconds': round(call_seconds, 3),
            'answer_age_seconds': round(self.answer_age_seconds, 3),
            'epoch': self._version.epoch,
            'revision': self._version.revision,
        }
        if self.lost_at_seconds is None:
            self.lost_at_seconds = time.monotonic()
            STORE_LOST.set(1)
            logger.warning('store: lost: %s', error, extra=fields)
            self._on_reachability_change()
        else:
            logger.info('store: still lost: %s', error, extra=fields)

    def _record_recovery(self) -> None:
        self._answered_at_seconds = time.monotonic()
        if self.lost_at_seconds is not None:
            # Also logged at the first answer after the start.
            logger.info(
                'store: regained',
                extra={
                    'away_seconds': self.away_seconds,
                    'epoch': self._version.epoch,
                    'revision': self._version.revision,
                },
            )
            self.lost_at_seconds = None
            STORE_LOST.set(0)
            self._on_reachability_change()


def _log_return(difference: MirrorDifference) -> None:
    before, after = difference.before_version, difference.version
    if before != StoreVersion() and after.epoch > before.epoch:
        logger.warning(
            'store: returned from an older copy',
            extra={
                'before_epoch': before.epoch,
                'before_revision': before.revision,
                'epoch': after.epoch,
                'revision': after.revision,
            },
        )


def build_store_follower(
    store: Endpoint,
    recovery_seconds: float,
    mirror: StoreMirror,
    on_reachability_change: Callable[[], None],
    is_updated_by_relays: Callable[[], bool],
    restore_guard: RestoreGuard,
    is_read_by_peers: Callable[[], bool],
    describe_relays: Callable[[], Mapping[str, object]],
) -> StoreFollower:
    """Return a follower of the store whose polls end in the recovery time."""
    limits = build_long_poll_limits(recovery_seconds)
    return StoreFollower(
        StoreClient(store, limits.timeout_seconds),
        mirror,
        limits,
        on_reachability_change,
        is_updated_by_relays,
        restore_guard,
        is_read_by_peers,
        describe_relays,
    )
