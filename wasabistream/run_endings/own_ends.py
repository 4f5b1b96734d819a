"""What an entry and its agents do that may have ended an attempt.

The end of a connection is that of the answer only if none of it has.
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import StrEnum

from wasabistream.forwarding.supervisors import CutReason

# A server may stop this long before its deadline: the clocks of two VMs drift
# apart by up to 20 ms in 39 s, and some servers begin no step that would end after
# the deadline. An answer that ends by itself so late counts as broken off.
DEADLINE_TOLERANCE_SECONDS = 0.05


class OwnEnd(StrEnum):
    """State what may have ended an attempt."""

    # This entry has cut its exchange.
    cut = 'cut'
    # The server stops at the remaining time that it was told.
    deadline = 'deadline'
    # An agent has announced that it stops the run.
    announcement = 'announcement'


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """Describe an attempt whose connection has ended."""

    cut_reason: CutReason | None
    # When the server stops by the remaining time that it was told. As this and the
    # time of the end are on the boot clock, a suspended VM does not shift them.
    server_deadline_seconds: float
    # Agents that have announced to stop the run.
    announcers: Collection[str] = ()


def find_own_end(
    attempt: EndedAttempt, ended_at_seconds: float
) -> OwnEnd | None:
    """Return what may have ended an attempt; None if nothing of ours can have.

    An end that is read late, as this process was paused, is taken for a later
    one: in doubt the answer counts as broken off.
    """
    if attempt.cut_reason is not None:
        return OwnEnd.cut
    left_seconds = attempt.server_deadline_seconds - ended_at_seconds
    if left_seconds <= DEADLINE_TOLERANCE_SECONDS:
        return OwnEnd.deadline
    return OwnEnd.announcement if attempt.announcers else None
