"""Run of a case: starts a fleet, plays the case and ends everything."""

import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path

from review.stand_ins.fleets import Fleet
from review.stand_ins.records import Record

HELD = 0
BROKEN = 1
NOT_RUN = 2
# With TROUBLE=0 a case does the same without its disruptions.
IS_TROUBLED = os.environ.get('TROUBLE', '1') != '0'


def run_case(
    case_file: str, play: Callable[[Fleet, Record], bool], entry_count: int
) -> int:
    """Return the exit code of a case; `play` returns whether the rule held."""
    # Ends what was started also when the time is over.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(Path(case_file).resolve().parent / 'record.txt')
    fleet = Fleet(record, entry_count)
    try:
        return HELD if play(fleet, record) else BROKEN
    except Exception as error:
        record.write('not run', error=repr(error))
        return NOT_RUN
    finally:
        fleet.stop()
        record.close()
