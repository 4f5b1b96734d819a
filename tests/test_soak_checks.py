"""Tests of the soak's checks: a check that cannot fail finds no fault."""

import unittest
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from tests.soak_builders import (
    SENT_AT,
    STARTED,
    STOP_AT,
    STOPPED,
    build_attempt,
    build_configuration,
    build_cut,
    build_refused,
    build_run,
)
from wasabistream_tools.soak import sites
from wasabistream_tools.soak.checks import PROMISES, find_longest_lag
from wasabistream_tools.soak.records import (
    Disturbance,
    Ending,
    Exited,
    Facts,
    Leaving,
    RunEnding,
    StoreOutage,
    Stray,
)

FIRST = build_configuration(1, 0)
MOVED = build_configuration(2, 50, {sites.CHAT.prefix: 'desk'})
ADDED = build_configuration(2, 50, {'/x/': 'desk'})
CHANGED = build_configuration(2, SENT_AT)
LATER = build_attempt(attempt_id='a2', begun_at_seconds=200)
CUT_RUN = build_run(ending=RunEnding.caller_left)
TIMED_OUT_RUN = build_run(ending=RunEnding.timed_out)
LATE_CUT = build_cut(
    begun_at_seconds=STOP_AT + 2.5, ended_at_seconds=STOP_AT + 7.5
)
LATE_RUN = replace(
    CUT_RUN,
    begun_at_seconds=STOP_AT + 2.5,
    ended_at_seconds=STOP_AT + 7.5,
)
KILLED = Exited('entry-1', STOP_AT + 8, -9, is_killed=True)
ENDED = Exited('entry-1', STOP_AT + 8, 0)
CUTS = [
    (build_cut(attempt_id=str(number)), build_run(attempt_id=str(number)))
    for number in range(4)
]
DENIED = [build_refused(404, attempt_id=str(number)) for number in range(6)]
NEW_ATTEMPT = build_attempt(
    begun_at_seconds=SENT_AT - 1, ended_at_seconds=SENT_AT
)
NEW_RUN = build_run(service='desk', begun_at_seconds=SENT_AT - 1)
OLD_ATTEMPT = build_attempt(attempt_id='a2')
OLD_RUN = build_run(attempt_id='a2')
# Ends 3 s before the request begins, and later.
PAUSED = Disturbance('entry-1', 95, SENT_AT - 3.1, 'paused')
PAUSED_LATER = replace(PAUSED, ended_at_seconds=SENT_AT - 2.9)
LATE_AT_LEAVING = (Leaving('engine-1', SENT_AT - 2.1), build_attempt())

# Facts that break each promise.
BROKEN: dict[str, list[Sequence[Any]]] = {
    'LOST': [
        (STARTED, STOPPED, build_cut(), CUT_RUN),
        # Cut after its first event.
        (STARTED, STOPPED, build_cut(status=200, content=b'whole'), CUT_RUN),
        # Read and not passed on.
        (STARTED, STOPPED, build_cut()),
        # Its server was told too short a deadline.
        (STARTED, STOPPED, build_cut(deadline_seconds=2.1), TIMED_OUT_RUN),
        # The entry was paused earlier.
        (STARTED, STOPPED, PAUSED, build_cut(), CUT_RUN),
        # Sent later than 3 s after SIGTERM, at work until the end.
        (
            STARTED,
            STOPPED,
            replace(LATE_CUT, sent_at_seconds=STOP_AT + 3.1),
            LATE_RUN,
        ),
    ],
    'LOST at any time': [[fact for pair in CUTS for fact in pair]],
    'LOST beside configurations': [
        (FIRST, CHANGED, build_cut(), CUT_RUN, LATER)
    ],
    'MIXED': [
        (build_attempt(content=b'whole'), build_run()),
        (build_attempt(echoed_id='a2'), build_run()),
        (build_attempt(seal=''), build_run()),
        (Stray('entry-1', SENT_AT, b'HTTP/1.1 200 OK'),),
    ],
    'TWICE': [(build_attempt(may_run_again=False), build_run(), build_run())],
    'REFUSED': [(build_refused(503, may_run_again=False), build_run())],
    'UNASKED': [
        (build_run(),),
        (build_attempt(), build_run(body=b'other')),
        (build_attempt(), build_run(tenant=sites.CHANGING_TENANT)),
    ],
    'ROUTE': [(FIRST, build_attempt(), build_run(service='desk'))],
    'DENIED': [(FIRST, *DENIED)],
    'CONFIG': [
        (FIRST, MOVED, build_attempt(), build_run()),
        (FIRST, ADDED, build_refused(404, prefix='/x/')),
        # Disturbed earlier, or another entry.
        (FIRST, MOVED, PAUSED, OLD_ATTEMPT, OLD_RUN),
        (
            *(FIRST, MOVED, OLD_ATTEMPT, OLD_RUN),
            replace(PAUSED_LATER, process='entry-2'),
        ),
    ],
    'CONFIG regress': [
        (FIRST, MOVED, NEW_ATTEMPT, NEW_RUN, OLD_ATTEMPT, OLD_RUN)
    ],
    'DRAIN': [(*LATE_AT_LEAVING, build_run())],
    'EXIT': [
        (STARTED, STOPPED, KILLED),
        (STARTED, ENDED),
        (STARTED, STOPPED, replace(ENDED, code=1)),
    ],
    'SERVED': [(build_refused(503),)],
}
# Facts that look much the same and break nothing.
KEPT: dict[str, list[Sequence[Any]]] = {
    'LOST': [
        (STARTED, STOPPED, build_attempt(), build_run()),
        (
            STARTED,
            STOPPED,
            build_cut(),
            build_run(ending=RunEnding.broken_off),
        ),
        (STARTED, STOPPED, build_cut(deadline_seconds=2), CUT_RUN),
        (STARTED, STOPPED, build_cut(deadline_seconds=2.04), TIMED_OUT_RUN),
        (
            STARTED,
            STOPPED,
            replace(LATE_CUT, sent_at_seconds=STOP_AT + 2.9),
            LATE_RUN,
        ),
        # Crossed the close and was not read.
        (STARTED, STOPPED, build_cut(Ending.reset)),
        (STARTED, STOPPED, build_cut(sent_at_seconds=None)),
        (STARTED, STOPPED, PAUSED_LATER, build_cut(), CUT_RUN),
        # No planned work at that time.
        (STARTED, build_cut(), CUT_RUN),
    ],
    'LOST at any time': [[fact for pair in CUTS[:3] for fact in pair]],
    'LOST beside configurations': [
        (FIRST, build_attempt(), build_cut(attempt_id='a2'))
    ],
    'MIXED': [
        (build_attempt(), build_run()),
        (build_cut(status=200, seal='s1', content=b'whole'), build_run()),
        (build_refused(504),),
    ],
    'TWICE': [
        (build_attempt(), build_run(), build_run()),
        (
            build_attempt(may_run_again=False),
            build_run(),
            build_run(is_continued=True),
        ),
    ],
    'REFUSED': [(build_refused(503, may_run_again=False),)],
    'UNASKED': [(build_attempt(), build_run())],
    'ROUTE': [(FIRST, build_attempt(), build_run())],
    'DENIED': [
        (FIRST, *DENIED[:5]),
        (FIRST, *(replace(item, prefix='/x/') for item in DENIED)),
    ],
    'CONFIG': [
        (FIRST, replace(MOVED, acked_at_seconds=99.5), OLD_ATTEMPT, OLD_RUN),
        (FIRST, MOVED, StoreOutage(98.5, 98.6), OLD_ATTEMPT, OLD_RUN),
        (FIRST, MOVED, PAUSED_LATER, OLD_ATTEMPT, OLD_RUN),
    ],
    'CONFIG regress': [
        (FIRST, MOVED, STARTED, NEW_ATTEMPT, NEW_RUN)
        # Another life of the process.
        + (replace(STARTED, at_seconds=SENT_AT - 0.1), OLD_ATTEMPT, OLD_RUN)
    ],
    'DRAIN': [
        (*LATE_AT_LEAVING, build_run(begun_at_seconds=SENT_AT - 0.2)),
        (*LATE_AT_LEAVING, build_run(), StoreOutage(98, 98.5)),
    ],
    'EXIT': [(STARTED, STOPPED, ENDED)],
    'SERVED': [(build_attempt(),)],
}


class SoakChecksTest(unittest.TestCase):
    """Guard against checks that miss a broken promise or see one in vain."""

    def test_broken_promises(self) -> None:
        """Guard against a check that cannot fail."""
        self.assertEqual(BROKEN.keys(), PROMISES.keys())
        for name, examples in BROKEN.items():
            for rows in examples:
                with self.subTest(name, rows=rows):
                    self.assertTrue(_find_violations(name, rows))

    def test_kept_promises(self) -> None:
        """Guard against a check that fails what the rules allow."""
        self.assertEqual(KEPT.keys(), PROMISES.keys())
        for name, examples in KEPT.items():
            for rows in examples:
                with self.subTest(name, rows=rows):
                    self.assertEqual(_find_violations(name, rows), ())

    def test_longest_lag(self) -> None:
        """Guard against a report that hides how late a version came."""
        rows = (FIRST, MOVED, OLD_ATTEMPT, OLD_RUN)
        lag_seconds, described = find_longest_lag(Facts(rows))
        self.assertEqual(lag_seconds, SENT_AT - MOVED.acked_at_seconds)
        self.assertIn(OLD_ATTEMPT.attempt_id, described)
        self.assertEqual(find_longest_lag(Facts((*rows, PAUSED_LATER)))[0], 0)


def _find_violations(name: str, rows: Sequence[Any]) -> tuple[str, ...]:
    return PROMISES[name](Facts(tuple(rows))).violations
