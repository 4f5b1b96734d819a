"""Tests of the at-most-once protocol on the model of agents."""

import dataclasses
import unittest
from collections.abc import Callable
from typing import Any
from unittest.mock import patch

from tests import call_world
from tests.call_scenarios import SCENARIOS, settled_world
from wasabistream import deciders
from wasabistream.grants import LeaseGranter
from wasabistream.idempotency_keys import issued_unix_seconds, key_age_seconds
from wasabistream.lease_histories import LeaseHistory
from wasabistream.leases import OwnerLease
from wasabistream.ledgers import CallLedger
from wasabistream.refusals import RefusalBook

_refusal_reason = LeaseGranter._refusal_reason
_owned_since = LeaseHistory.owned_since
_adopt = LeaseGranter.adopt_view


def _grant_despite(ignored: str) -> Callable[..., str]:
    def refuse(granter: LeaseGranter, *arguments: Any) -> str:
        reason = _refusal_reason(granter, *arguments)
        return '' if reason == ignored else reason

    return refuse


def _owned_always(history: LeaseHistory, key: str, now: float) -> float | None:
    held = _owned_since(history, key, now) is not None
    return float('-inf') if held else None


def _no_end(history: LeaseHistory, key: str, now: float) -> float | None:
    return _owned_since(history, key, min(now, history.lease_end_seconds - 1))


def _forget_and_miss(ledger: CallLedger, key: str) -> None:
    ledger._entries.pop(key, None)


def _forget_silently(ledger: CallLedger, now: float) -> float:
    ledger._forget(now)
    return float('inf')


def _age_of_any(key: str, *arguments: float) -> float:
    age_seconds = key_age_seconds(key, *arguments)
    return age_seconds if issued_unix_seconds(key) else 0


# Each replacement removes one protection.
ABLATIONS: dict[str, tuple[Any, str, Any]] = {
    'settling': (LeaseHistory, 'owned_since', _owned_always),
    'lease': (LeaseHistory, 'owned_since', _no_end),
    'first grants': (
        LeaseGranter,
        '_refusal_reason',
        _grant_despite('starting'),
    ),
    'one view': (LeaseGranter, '_refusal_reason', _grant_despite('other_view')),
    'earlier views': (LeaseGranter, '_earlier_views', lambda *_: ()),
    'first list': (OwnerLease, '_may_start_first_lease', lambda *_: True),
    'stale list': (
        OwnerLease,
        '_list_valid_until_seconds',
        lambda _: float('inf'),
    ),
    'record': (CallLedger, 'find', _forget_and_miss),
    'forgotten keys': (CallLedger, 'complete_seconds', _forget_silently),
    'gap': (LeaseHistory, '_clear_after_gap', lambda *_: None),
    'clock offset': (
        call_world,
        'SERVICE',
        dataclasses.replace(call_world.SERVICE, clock_offset_seconds=0),
    ),
    'late attempts': (RefusalBook, 'rules_out', lambda *_: False),
    'keys without time': (deciders, 'key_age_seconds', _age_of_any),
}


class CallSafetyTest(unittest.TestCase):
    """Guard against a key that runs twice."""

    def test_scenarios(self) -> None:
        """Guard against a second effect in each fault."""
        for scenario in SCENARIOS:
            with self.subTest(scenario.__name__):
                world = settled_world()
                scenario(world)
                self.assertTrue(world.effects)
                self.assertEqual(max(world.effects.values()), 1)
                self.assertEqual(world.false_refusals, [])
                self.assertEqual(world.overlaps, [])

    def test_protections(self) -> None:
        """Guard against a check that passes with a protection removed."""
        for protection, (target, name, replacement) in ABLATIONS.items():
            with (
                self.subTest(protection),
                patch.object(target, name, replacement),
            ):
                self.assertTrue(found_faults(), protection)


def found_faults() -> list[str]:
    """Return the scenarios in which a key ran twice or leases overlapped."""
    found = []
    for scenario in SCENARIOS:
        world = settled_world()
        scenario(world)
        faults = world.overlaps or world.false_refusals
        if faults or max(world.effects.values(), default=0) > 1:
            found.append(scenario.__name__)
    return found
