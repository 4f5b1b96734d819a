"""Check whether an agent may run the call of an idempotency key."""

import time
from collections.abc import Callable

from wasabistream.documents import Service
from wasabistream.idempotency_keys import key_age_upper_bound_seconds
from wasabistream.leases import OwnerLease
from wasabistream.ledgers import CallLedger

KEY_SEPARATOR = '/'


class OwnedKeyChecker:
    """Check that a key has run nowhere else and cannot run elsewhere."""

    def __init__(
        self,
        lease: OwnerLease,
        ledger: CallLedger,
        get_service: Callable[[], Service | None],
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._lease = lease
        self._ledger = ledger
        self._get_service = get_service
        self._clock = clock
        self._wall_clock = wall_clock

    def refusal_reason(self, scoped_key: str) -> str:
        """Return why a key without a record must not run here, or ''."""
        service = self._get_service()
        if service is None:
            return 'no_document'
        now = self._clock()
        owned_since_seconds = self._lease.owned_since(scoped_key, now)
        if owned_since_seconds is None:
            return 'not_owner' if self._lease.is_held(now) else 'no_lease'
        # The organisation precedes the caller's key, which carries the time.
        key = scoped_key.rpartition(KEY_SEPARATOR)[2]
        age_seconds = key_age_upper_bound_seconds(
            key,
            self._wall_clock(),
            service.clock_offset_seconds,
            service.retry_horizon_seconds,
        )
        # A key issued before this agent had settled as its owner may have run
        # at an earlier owner.
        if (
            age_seconds
            > now - owned_since_seconds - self._lease.times.settling_seconds
        ):
            return 'settling'
        # The ledger still has all records younger than this age, and a record
        # is never older than its key. So a younger key without a record has
        # not run here; an older one may have run and its record been dropped.
        if age_seconds >= self._ledger.complete_age_seconds(now):
            return 'key_expired'
        return ''

    def clock_offset_seconds(self) -> float:
        """Return the largest difference between the wall clocks of two VMs."""
        service = self._get_service()
        return service.clock_offset_seconds if service else float('inf')

    def retention_seconds(self) -> float:
        """Return for how long a key must stay recorded."""
        service = self._get_service()
        if service is None:
            return float('inf')
        return service.retry_horizon_seconds + 4 * service.clock_offset_seconds
