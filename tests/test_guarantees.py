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
# `tag/generation/index`, where `generation` is the engine's id of one attempt
# to generate the answer.
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
    """Test that each guarantee that a history breaks is reported."""

    def test_correct_history(self) -> None:
        """Report nothing for a history that breaks no guarantee."""
        self.assertEqual(find_broken_guarantees(*CORRECT_EVENTS), set())

    def test_repeated_token(self) -> None:
        """Report a token that is delivered twice."""
        events = (
            *CORRECT_EVENTS[:3],
            Received(2.5, 'a', 'a/1/0'),
            *CORRECT_EVENTS[3:],
        )
        self.assertIn('once_in_order', find_broken_guarantees(*events))

    def test_mixed_generations(self) -> None:
        """Report an answer with tokens of two attempts to generate it."""
        events = (
            *CORRECT_EVENTS[:3],
            Received(3, 'a', 'a/2/1'),
            CORRECT_EVENTS[4],
        )
        self.assertEqual(find_broken_guarantees(*events), {'once_in_order'})

    def test_truncated_answer(self) -> None:
        """Report an answer that ends as complete without its last token."""
        events = (*CORRECT_EVENTS[:3], CORRECT_EVENTS[4])
        self.assertEqual(find_broken_guarantees(*events), {'own_whole_answer'})

    def test_token_of_another_request(self) -> None:
        """Report an answer with a token of another request."""
        events = (Sent(0, 'b', length_tokens=1), Received(1, 'b', 'a/1/0'))
        self.assertEqual(find_broken_guarantees(*events), {'own_whole_answer'})

    def test_overloaded_cold_engine(self) -> None:
        """Report a cold engine that crashed from overload."""
        self.assertEqual(
            find_broken_guarantees(Overloaded(1, 'engine-1')), {'cold_start'}
        )

    def test_new_work_in_data_centre_taken_out(self) -> None:
        """Report work that runs over 5 s after its data centre was taken out.

        Work that runs earlier, or after the data centre was brought back, is
        correct.
        """
        out = TakenOut(0, data_centre='dc-a')
        in_time = Ran(4.9, 'a', 'engine-1', 'dc-a')
        late = Ran(5.1, 'a', 'engine-1', 'dc-a')
        self.assertEqual(find_broken_guarantees(out, in_time), set())
        self.assertEqual(find_broken_guarantees(out, late), {'data_centre_out'})
        back = BroughtBack(5, data_centre='dc-a')
        self.assertEqual(find_broken_guarantees(out, back, late), set())

    def test_new_work_at_backend_taken_out(self) -> None:
        """Report work that runs over 5 s after its backend server was taken out."""
        out = TakenOut(0, backend='engine-1')
        late = Ran(6, 'a', 'engine-1', 'dc-a')
        self.assertEqual(find_broken_guarantees(out, late), {'backend_out'})

    def test_not_run_but_ran(self) -> None:
        """Report a request that ran but was refused with outcome `not_run`."""
        refusal = Ended(4, 'a', End.refused, 'not_run')
        self.assertEqual(
            find_broken_guarantees(
                CORRECT_EVENTS[0], CORRECT_EVENTS[1], refusal
            ),
            {'not_run_is_true'},
        )

    def test_sent_again_after_not_run(self) -> None:
        """Report nothing if a refused request runs when sent again."""
        refusal = Ended(1, 'a', End.refused, 'not_run')
        ran = Ran(3, 'a', 'engine-1', 'dc-a')
        self.assertEqual(
            find_broken_guarantees(
                CORRECT_EVENTS[0], refusal, Sent(2, 'a'), ran
            ),
            set(),
        )

    def test_key_runs_twice(self) -> None:
        """Report two runs of calls with the same idempotency key."""
        events = [Ran(at, 'a', f's-{at}', 'dc-a', 'key-1') for at in (1, 2)]
        self.assertEqual(find_broken_guarantees(*events), {'at_most_once'})

    def test_graceful_shutdown_cuts_request(self) -> None:
        """Report a shutdown that cuts a request, and one with exit code 3.

        A process that cut requests exits with code 3.
        """
        cut_request = Cut(2, 'a', 'entry-1')
        # The process was told to stop at 1 s and exited at 3 s; the last value
        # is the exit code.
        clean_exit = Stopped(3, 'entry-1', 1, 0)
        self.assertEqual(
            find_broken_guarantees(cut_request, clean_exit),
            {'graceful_shutdown'},
        )
        exit_after_cut = Stopped(3, 'entry-1', 1, 3)
        self.assertEqual(
            find_broken_guarantees(exit_after_cut), {'graceful_shutdown'}
        )

    def test_document_reverts(self) -> None:
        """Report a process that reverts to an older document."""
        events = (InForce(1, 'entry-1', 2, 'b'), InForce(2, 'entry-1', 1, 'a'))
        self.assertEqual(find_broken_guarantees(*events), {'document_in_force'})

    def test_document_late(self) -> None:
        """Report a process that uses a document replaced over 8 s ago.

        A process that was paused has 8 s from the end of its pause.
        """
        published = Published(0, 2)
        old = InForce(9, 'entry-1', 1, 'a')
        self.assertEqual(
            find_broken_guarantees(published, old), {'document_in_force'}
        )
        paused = Paused(0, 'entry-1', until_seconds=8.5)
        self.assertEqual(find_broken_guarantees(published, paused, old), set())
