"""Tests of at-most-once calls with separate processes."""

import signal
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from tests.booking_fleet import AGENTS, SETTLING_SECONDS, BookingFleet

LEASE_SECONDS = 2.0
PARALLEL_COUNT = 4


class OwnedCallsTest(unittest.TestCase):
    """Guard the single effect of a booking under faults."""

    fleet: BookingFleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start the fleet and wait until all agents run keys."""
        cls.fleet = BookingFleet()
        cls.addClassCleanup(cls.fleet.stop)

    def setUp(self) -> None:
        """Wait until all agents run keys."""
        for name in AGENTS:
            self.fleet.wait_owner(name)

    def tearDown(self) -> None:
        """Compare all effects so far with the promise."""
        self.assertEqual(max(self.fleet.effects().values()), 1)

    def test_two_entries_at_once(self) -> None:
        """Guard against two runs of attempts that arrive together."""
        key = self.fleet.key_of('booking-2')
        with ThreadPoolExecutor(2 * PARALLEL_COUNT) as pool:
            booked = list(
                pool.map(
                    lambda entry: self.fleet.book(key, entry),
                    ('entry-1', 'entry-2') * PARALLEL_COUNT,
                )
            )
        self.assertEqual({item.status for item in booked}, {201})
        self.assertEqual(len({str(item.body) for item in booked}), 1)
        self.assertEqual(sum(not item.replayed for item in booked), 1)

    def test_answer_lost_by_service(self) -> None:
        """Guard against a second run after an answer that never came."""
        key = self.fleet.key_of('booking-1')
        self.fleet.inject('booking-1', 'lose_answers')
        first = self.fleet.book(key)
        self.fleet.inject('booking-1', 'keep_answers')
        again = self.fleet.book(key, 'entry-2')
        self.assertEqual((first.outcome, again.outcome), ('unknown',) * 2)
        self.assertEqual(self.fleet.effects()[key], 1)

    def test_key_with_other_body(self) -> None:
        """Guard against an answer given to another request."""
        key = self.fleet.key_of('booking-1')
        self.fleet.book(key)
        other = self.fleet.book(key, 'entry-2', b'other')
        self.assertEqual((other.status, other.reason), (409, 'key_reused'))
        self.assertEqual(self.fleet.effects()['other'], 0)

    def test_owner_killed_and_restarted(self) -> None:
        """Guard against a restarted owner that runs an earlier key."""
        key = self.fleet.key_of('booking-3')
        self.assertEqual(self.fleet.book(key).outcome, 'run')
        self.fleet.signal('booking-3', signal.SIGKILL)
        self.fleet.restart('booking-3')
        self.fleet.wait_owner('booking-3')
        self.assertEqual(self.fleet.book(key, 'entry-2').outcome, 'unknown')
        self.assertEqual(self.fleet.effects()[key], 1)

    def test_owner_stopped_past_lease(self) -> None:
        """Guard against a woken owner that runs calls without a lease."""
        key = self.fleet.key_of('booking-2')
        self.fleet.signal('booking-2', signal.SIGSTOP)
        with ThreadPoolExecutor(1) as pool:
            waiting = pool.submit(self.fleet.book, key)
            time.sleep(LEASE_SECONDS + SETTLING_SECONDS)
            vm = self.fleet.vms.pop('booking-2')
            self.fleet.publish_vms()
            moved = self.fleet.book(key, 'entry-2')
            self.fleet.signal('booking-2', signal.SIGCONT)
            first = waiting.result()
        self.fleet.vms['booking-2'] = vm
        self.fleet.publish_vms()
        self.assertEqual((first.outcome, moved.outcome), ('unknown',) * 2)
        self.assertEqual(self.fleet.effects()[key], 0)

    def test_owner_dropped_while_it_runs(self) -> None:
        """Guard against two owners while the lists of entries differ."""
        keys = [self.fleet.key_of('booking-1') for _ in range(PARALLEL_COUNT)]
        self.assertEqual(self.fleet.book(keys[0]).outcome, 'run')
        vm = self.fleet.vms.pop('booking-1')
        self.fleet.publish_vms()
        for name in AGENTS[1:]:
            self.fleet.wait_owner(name)
        outcomes = {self.fleet.book(key).outcome for key in keys}
        self.fleet.vms['booking-1'] = vm
        self.fleet.publish_vms()
        self.assertEqual(outcomes, {'unknown'})
        self.assertEqual(self.fleet.effects()[keys[0]], 1)
