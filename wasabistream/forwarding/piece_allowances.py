"""Limit on the number of reads that one answer may take."""

from wasabistream.exceptions import BackendError

# Reads without progress; an answer in pieces of one byte would otherwise keep
# the processor busy until its deadline.
MAX_PIECE_COUNT = 8192
# Reads that each event adds to the allowance again, up to the maximum.
PIECES_PER_EVENT = 64


class PieceAllowance:
    """Count the reads of one answer; progress adds to the allowance."""

    def __init__(self) -> None:
        self._remaining_count = MAX_PIECE_COUNT

    def take(self) -> None:
        """Count one read; raises BackendError if there are too many."""
        self._remaining_count -= 1
        if self._remaining_count < 0:
            raise BackendError('answer comes in too many pieces', 'body')

    def add_event(self) -> None:
        """Allow further reads after an event that was passed on."""
        self._remaining_count = min(
            self._remaining_count + PIECES_PER_EVENT, MAX_PIECE_COUNT
        )
