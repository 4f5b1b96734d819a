"""Tests that the checks of a history find broken guarantees."""

import unittest

from wasabistream_tools.guarantees import check_history
from wasabistream_tools.history_events import (
    BroughtBack,
    Cut,
    End,
    Ended,
    Event,
    History,
    InForce,
    Overloaded,
    Paused,
    Published,
    Ran,
    Received,
    Sent,
    Stopped,
    TakenOut,
)

# A request with an answer of two tokens; the text of a token is
# `tag/generation/index`.
CORRECT_EVENTS = (
    Sent(0, 'a', length_tokens=2),
    Ran(1, 'a', 'engine-1', 'dc-a'),
    Received(2, 'a', 'a/1/0'),
    Received(3, 'a', 'a/1/1'),
    Ended(4, 'a', End.complete),
)


def find_broken_guarantees(*events: Event) -> set[str]:
    """Return the names of the guarantees that a history breaks."""
    return {item.guarantee for item in check_history(History(events))}


class GuaranteesTest(unittest.TestCase):
    """Guard the checks with a history for each guarantee that breaks it."""

    def test_correct_history(self) -> None:
        """Guard against rejecting a history that breaks no guarantee."""
        self.assertEqual(find_broken_guarantees(*CORRECT_EVENTS), set())

    def test_repeated_token(self) -> None:
        """Reject a token that is delivered twice."""
        events = (
            *CORRECT_EVENTS[:3],
            Received(2.5, 'a', 'a/1/0'),
            *CORRECT_EVENTS[3:],
        )
        self.assertIn('once_in_order', find_broken_guarantees(*events))

    def test_mixed_generations(self) -> None:
        """Reject an answer with tokens of two generations."""
        events = (
            *CORRECT_EVENTS[:3],
            Received(3, 'a', 'a/2/1'),
            CORRECT_EVENTS[4],
        )
        self.assertEqual(find_broken_guarantees(*events), {'once_in_order'})

    def test_truncated_answer(self) -> None:
        """Reject an answer reported complete that lacks its last token."""
        events = (*CORRECT_EVENTS[:3], CORRECT_EVENTS[4])
        self.assertEqual(find_broken_guarantees(*events), {'own_whole_answer'})

    def test_token_of_another_request(self) -> None:
        """Reject an answer with a token of another request."""
        events = (Sent(0, 'b', length_tokens=1), Received(1, 'b', 'a/1/0'))
        self.assertEqual(find_broken_guarantees(*events), {'own_whole_answer'})

    def test_overloaded_cold_engine(self) -> None:
        """Reject a cold engine that crashed from overload."""
        self.assertEqual(
            find_broken_guarantees(Overloaded(1, 'engine-1')), {'cold_start'}
        )

    def test_new_work_in_data_centre_taken_out(self) -> None:
        """Reject work over 5 s after its data centre was taken out, no other."""
        out = TakenOut(0, data_centre='dc-a')
        in_time = Ran(4.9, 'a', 'engine-1', 'dc-a')
        late = Ran(5.1, 'a', 'engine-1', 'dc-a')
        self.assertEqual(find_broken_guarantees(out, in_time), set())
        self.assertEqual(find_broken_guarantees(out, late), {'data_centre_out'})
        back = BroughtBack(5, data_centre='dc-a')
        self.assertEqual(find_broken_guarantees(out, back, late), set())

    def test_new_work_at_backend_taken_out(self) -> None:
        """Reject new work at a backend server after it was taken out."""
        out = TakenOut(0, backend='engine-1')
        late = Ran(6, 'a', 'engine-1', 'dc-a')
        self.assertEqual(find_broken_guarantees(out, late), {'backend_out'})

    def test_not_run_but_ran(self) -> None:
        """Reject a refusal with outcome `not_run` for a request that ran."""
        refusal = Ended(4, 'a', End.refused, 'not_run')
        self.assertEqual(
            find_broken_guarantees(
                CORRECT_EVENTS[0], CORRECT_EVENTS[1], refusal
            ),
            {'not_run_is_true'},
        )

    def test_sent_again_after_not_run(self) -> None:
        """Allow a request that runs because its caller sent it again."""
        refusal = Ended(1, 'a', End.refused, 'not_run')
        ran = Ran(3, 'a', 'engine-1', 'dc-a')
        self.assertEqual(
            find_broken_guarantees(
                CORRECT_EVENTS[0], refusal, Sent(2, 'a'), ran
            ),
            set(),
        )

    def test_key_runs_twice(self) -> None:
        """Reject two runs of calls with one key."""
        events = [Ran(at, 'a', f's-{at}', 'dc-a', 'key-1') for at in (1, 2)]
        self.assertEqual(find_broken_guarantees(*events), {'at_most_once'})

    def test_graceful_shutdown_cuts_request(self) -> None:
        """Reject a shutdown that cuts a request or exits with 3, for a cut."""
        broken = Cut(2, 'a', 'entry-1')
        stopped_cleanly = Stopped(3, 'entry-1', 1, 0)
        self.assertEqual(
            find_broken_guarantees(broken, stopped_cleanly),
            {'graceful_shutdown'},
        )
        cut = Stopped(3, 'entry-1', 1, 3)
        self.assertEqual(find_broken_guarantees(cut), {'graceful_shutdown'})

    def test_document_reverts(self) -> None:
        """Reject a process that reverts to an older document."""
        events = (InForce(1, 'entry-1', 2, 'b'), InForce(2, 'entry-1', 1, 'a'))
        self.assertEqual(find_broken_guarantees(*events), {'document_in_force'})

    def test_document_late(self) -> None:
        """Reject a document replaced over 8 s ago, except after a pause."""
        published = Published(0, 2)
        old = InForce(9, 'entry-1', 1, 'a')
        self.assertEqual(
            find_broken_guarantees(published, old), {'document_in_force'}
        )
        paused = Paused(0, 'entry-1', until_seconds=8.5)
        self.assertEqual(find_broken_guarantees(published, paused, old), set())
