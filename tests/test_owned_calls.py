"""Tests of at-most-once calls with separate processes."""

import signal
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from tests.booking_fleet import AGENTS, SETTLING_SECONDS, BookingFleet

LEASE_SECONDS = 2.0
PARALLEL_COUNT = 4


class OwnedCallsTest(unittest.TestCase):
    """Guard against a second effect of a booking under faults."""

    fleet: BookingFleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start the fleet and wait until it is ready."""
        cls.fleet = BookingFleet()
        cls.addClassCleanup(cls.fleet.stop)

    def setUp(self) -> None:
        """Wait until all agents run calls with new keys."""
        for name in AGENTS:
            self.fleet.wait_until_running(name)

    def tearDown(self) -> None:
        """Check that no key has run twice so far."""
        self.assertEqual(max(self.fleet.effects().values()), 1)

    def test_two_entries_at_once(self) -> None:
        """Guard against two runs of attempts that arrive at the same time."""
        key = self.fleet.new_key_owned_by('booking-2')
        with ThreadPoolExecutor(2 * PARALLEL_COUNT) as pool:
            replies = list(
                pool.map(
                    lambda entry: self.fleet.send_booking(key, entry),
                    ('entry-1', 'entry-2') * PARALLEL_COUNT,
                )
            )
        self.assertEqual({item.status for item in replies}, {201})
        self.assertEqual(len({str(item.body) for item in replies}), 1)
        self.assertEqual(sum(not item.replayed for item in replies), 1)

    def test_answer_lost_by_service(self) -> None:
        """Guard against a second run after the service lost the answer."""
        key = self.fleet.new_key_owned_by('booking-1')
        self.fleet.inject('booking-1', 'lose_answers')
        first = self.fleet.send_booking(key)
        self.fleet.inject('booking-1', 'keep_answers')
        repeat_reply = self.fleet.send_booking(key, 'entry-2')
        self.assertEqual(
            (first.outcome, repeat_reply.outcome), ('unknown',) * 2
        )
        self.assertEqual(self.fleet.effects()[key], 1)

    def test_key_with_other_body(self) -> None:
        """Guard against an answer that belongs to another request."""
        key = self.fleet.new_key_owned_by('booking-1')
        self.fleet.send_booking(key)
        other_body_reply = self.fleet.send_booking(key, 'entry-2', b'other')
        self.assertEqual(
            (other_body_reply.status, other_body_reply.reason),
            (409, 'key_reused'),
        )
        self.assertEqual(self.fleet.effects()['other'], 0)

    def test_owner_killed_and_restarted(self) -> None:
        """Guard against a restarted owner that runs an earlier key again."""
        key = self.fleet.new_key_owned_by('booking-3')
        self.assertEqual(self.fleet.send_booking(key).outcome, 'run')
        self.fleet.send_signal('booking-3', signal.SIGKILL)
        self.fleet.restart('booking-3')
        self.fleet.wait_until_running('booking-3')
        self.assertEqual(
            self.fleet.send_booking(key, 'entry-2').outcome, 'unknown'
        )
        self.assertEqual(self.fleet.effects()[key], 1)

    def test_owner_stopped_past_lease(self) -> None:
        """Guard against a resumed owner that runs calls without a lease."""
        key = self.fleet.new_key_owned_by('booking-2')
        self.fleet.send_signal('booking-2', signal.SIGSTOP)
        with ThreadPoolExecutor(1) as pool:
            waiting = pool.submit(self.fleet.send_booking, key)
            time.sleep(LEASE_SECONDS + SETTLING_SECONDS)
            vm = self.fleet.vms.pop('booking-2')
            self.fleet.publish_vms()
            new_owner_reply = self.fleet.send_booking(key, 'entry-2')
            self.fleet.send_signal('booking-2', signal.SIGCONT)
            first = waiting.result()
        self.fleet.vms['booking-2'] = vm
        self.fleet.publish_vms()
        self.assertEqual(
            (first.outcome, new_owner_reply.outcome), ('unknown',) * 2
        )
        self.assertEqual(self.fleet.effects()[key], 0)

    def test_owner_removed_from_list(self) -> None:
        """Guard against a new owner that runs calls of an unlisted one."""
        keys = [
            self.fleet.new_key_owned_by('booking-1')
            for _ in range(PARALLEL_COUNT)
        ]
        self.assertEqual(self.fleet.send_booking(keys[0]).outcome, 'run')
        vm = self.fleet.vms.pop('booking-1')
        self.fleet.publish_vms()
        for name in AGENTS[1:]:
            self.fleet.wait_until_running(name)
        outcomes = {self.fleet.send_booking(key).outcome for key in keys}
        self.fleet.vms['booking-1'] = vm
        self.fleet.publish_vms()
        self.assertEqual(outcomes, {'unknown'})
        self.assertEqual(self.fleet.effects()[keys[0]], 1)
