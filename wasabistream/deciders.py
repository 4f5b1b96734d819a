"""Decision whether an agent may run the call of a key."""

import time
from collections.abc import Callable

from wasabistream.documents import Service
from wasabistream.idempotency_keys import key_age_seconds
from wasabistream.leases import OwnerLease
from wasabistream.ledgers import CallLedger

KEY_SEPARATOR = '/'


class CallDecider:
    """Prove that no other agent has run or will run a key."""

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

    def refusal(self, scoped_key: str) -> str:
        """Return why a key that is not recorded is undecided, or nothing."""
        service = self._get_service()
        if service is None:
            return 'no_document'
        now = self._clock()
        since = self._lease.owned_since(scoped_key, now)
        if since is None:
            return 'not_owner' if self._lease.is_held(now) else 'no_lease'
        # Keys are scoped by organisation; the time is in the caller's part.
        key = scoped_key.rpartition(KEY_SEPARATOR)[2]
        age_seconds = key_age_seconds(
            key,
            self._wall_clock(),
            service.clock_offset_seconds,
            service.retry_horizon_seconds,
        )
        if age_seconds > now - since - self._lease.times.settling_seconds:
            return 'settling'
        # A key that was recorded when it was issued is as old as its record.
        if age_seconds >= self._ledger.complete_seconds(now):
            return 'key_expired'
        return ''

    def clock_offset_seconds(self) -> float:
        """Return by how much the clocks of two machines may differ."""
        service = self._get_service()
        return service.clock_offset_seconds if service else float('inf')

    def retention_seconds(self) -> float:
        """Return for how long a key must be remembered."""
        service = self._get_service()
        if service is None:
            return float('inf')
        return service.retry_horizon_seconds + 4 * service.clock_offset_seconds
