"""Tests of the at-most-once protocol with simulated agents."""

import dataclasses
import unittest
from collections.abc import Callable
from typing import Any
from unittest.mock import patch

from tests import call_world
from tests.call_scenarios import SCENARIOS, settled_simulation
from wasabistream import key_checkers
from wasabistream.grants import LeaseGranter
from wasabistream.idempotency_keys import (
    issued_unix_seconds,
    key_age_upper_bound_seconds,
)
from wasabistream.lease_histories import LeaseHistory
from wasabistream.leases import OwnerLease
from wasabistream.ledgers import CallLedger
from wasabistream.refusals import RefusedKeys

_refusal_reason = LeaseGranter._refusal_reason
_owned_since = LeaseHistory.owned_since
_adopt = LeaseGranter.adopt_view


def _grant_despite(ignored: str) -> Callable[..., str]:
    def refuse(granter: LeaseGranter, *arguments: Any) -> str:
        reason = _refusal_reason(granter, *arguments)
        return '' if reason == ignored else reason

    return refuse


def _owned_forever(history: LeaseHistory, key: str, now: float) -> float | None:
    is_owned = _owned_since(history, key, now) is not None
    return float('-inf') if is_owned else None


def _owned_after_lease(
    history: LeaseHistory, key: str, now: float
) -> float | None:
    return _owned_since(history, key, min(now, history.lease_end_seconds - 1))


def _drop_and_find_nothing(ledger: CallLedger, key: str) -> None:
    ledger._entries.pop(key, None)


def _drop_unreported(ledger: CallLedger, now: float) -> float:
    ledger._drop_expired(now)
    return float('inf')


def _zero_age_without_time(key: str, *arguments: float) -> float:
    age_seconds = key_age_upper_bound_seconds(key, *arguments)
    return age_seconds if issued_unix_seconds(key) else 0


# Each replacement disables one protection of the protocol.
ABLATIONS: dict[str, tuple[Any, str, Any]] = {
    'settling': (LeaseHistory, 'owned_since', _owned_forever),
    'lease': (LeaseHistory, 'owned_since', _owned_after_lease),
    'first grants': (
        LeaseGranter,
        '_refusal_reason',
        _grant_despite('starting'),
    ),
    'one view': (LeaseGranter, '_refusal_reason', _grant_despite('other_view')),
    'earlier views': (LeaseGranter, '_earlier_views', lambda *_: ()),
    'first lease': (OwnerLease, '_may_start_first_lease', lambda *_: True),
    'stale list': (
        OwnerLease,
        '_list_valid_until_seconds',
        lambda _: float('inf'),
    ),
    'ledger': (CallLedger, 'find', _drop_and_find_nothing),
    'dropped keys': (CallLedger, 'complete_age_seconds', _drop_unreported),
    'gap': (LeaseHistory, '_clear_after_gap', lambda *_: None),
    'clock offset': (
        call_world,
        'SERVICE',
        dataclasses.replace(call_world.SERVICE, clock_offset_seconds=0),
    ),
    'late attempts': (RefusedKeys, 'may_predate_refusal', lambda *_: False),
    'keys without time': (
        key_checkers,
        'key_age_upper_bound_seconds',
        _zero_age_without_time,
    ),
}


class CallSafetyTest(unittest.TestCase):
    """Guard against a key that runs twice."""

    def test_scenarios(self) -> None:
        """Guard against a second effect in each fault scenario."""
        for scenario in SCENARIOS:
            with self.subTest(scenario.__name__):
                simulation = settled_simulation()
                scenario(simulation)
                self.assertTrue(simulation.effects)
                self.assertEqual(max(simulation.effects.values()), 1)
                self.assertEqual(simulation.false_refusals, [])
                self.assertEqual(simulation.lease_overlaps, [])

    def test_protections(self) -> None:
        """Guard against scenarios that pass without one of the protections."""
        for protection, (target, name, replacement) in ABLATIONS.items():
            with (
                self.subTest(protection),
                patch.object(target, name, replacement),
            ):
                self.assertTrue(find_failed_scenarios(), protection)


def find_failed_scenarios() -> list[str]:
    """Return the scenarios that violate the protocol."""
    failed = []
    for scenario in SCENARIOS:
        simulation = settled_simulation()
        scenario(simulation)
        faults = simulation.lease_overlaps or simulation.false_refusals
        if faults or max(simulation.effects.values(), default=0) > 1:
            failed.append(scenario.__name__)
    return failed
