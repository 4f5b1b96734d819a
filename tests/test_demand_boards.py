"""Tests of the exchange of demands between entries.

Load patterns: entries that end or pause, malformed, repeated and
late messages, entries of the previous version and a large fleet.
"""

import dataclasses
import unittest
from collections import Counter
from unittest.mock import Mock

from tests.forwarding_builders import (
    ENGINE_SERVICE,
    Clock,
    build_holder,
    build_request,
    build_route,
    build_server,
)
from tests.spillover_builders import SendingDataCentre, build_hello
from wasabistream.forwarding.load_trackers import LoadTracker
from wasabistream.forwarding.requests import GenerationDemand
from wasabistream.forwarding.routes import RouteKind
from wasabistream.frames import FrameReader, encode_frame
from wasabistream.notices import Hello
from wasabistream.paces.engine_paces import UNKNOWN_PACE
from wasabistream.spillover.capacity_views import CapacityView
from wasabistream.spillover.demand_boards import DemandBoard, build_rows
from wasabistream.spillover.demand_meters import ServiceDemand
from wasabistream.spillover.spillover_controllers import SpilloverController
from wasabistream.spillover.spillover_messages import (
    DataCentreDemand,
    DemandNotice,
)
from wasabistream.spillover.spillover_plans import REPORT_AGE_LIMIT_SECONDS

OWN = 'dc-a'
OTHER = 'dc-b'
ROWS = [['writer', 100, 200, 3]]
ENTRY = build_hello('e1', OWN)
SENDER = build_hello('sender-1', OTHER)
SECOND_SENDER = build_hello('sender-2', OTHER)
# Of a daemon, in each second.
BYTE_BUDGET = 8000
DATA_CENTRE_COUNT = 24
ENTRY_COUNT = 380
# Of each service at each entry; a data centre has 250,000.
TOKENS_PER_SECOND = 15_625


class DemandBoardTest(unittest.TestCase):
    """Guard against plans that rest on demand that is not there."""

    def setUp(self) -> None:
        """Create the board of one entry."""
        self.clock = Clock()
        self.board = DemandBoard(ENTRY, self.clock)

    def own_rate(self) -> float:
        """Return the prompt tokens per second of the own data centre."""
        return (
            self.board.own_report().demands['writer'].prompt_tokens_per_second
        )

    def other_rates(self) -> list[float]:
        """Return the prompt tokens per second of the others."""
        return [
            report.demands['writer'].prompt_tokens_per_second
            for report in self.board.other_reports().values()
        ]

    def send(self, sequence: int, rate: float, sender: Hello = SENDER) -> None:
        """Receive a report of an entry of the other data centre."""
        rows = [['writer', rate, 0, 0]]
        report = DataCentreDemand(OTHER, sequence, rows, age_ms=500)
        self.board.on_report(sender, report)

    def test_entries_that_end(self) -> None:
        """Guard against demand of an entry that has ended.

        Pattern: of three entries, one ends and one is of the previous version
        and sends nothing.
        """
        self.board.record_own({'writer': ServiceDemand(50, 60, 1)})
        self.board.on_notice(build_hello('e2', OWN), DemandNotice(ROWS))
        self.clock.advance(1)
        self.assertEqual(self.own_rate(), 150)
        # The own demand is new, and the other one a second old.
        self.assertEqual(self.board.own_report().age_seconds, 0.5)
        self.clock.advance(2.1)
        self.assertEqual(self.own_rate(), 50)

    def test_own_notice(self) -> None:
        """Guard against own demand that counts twice.

        Pattern: a seed is another address of the entry, which links to itself.
        """
        self.board.record_own({'writer': ServiceDemand(50, 60, 1)})
        self.board.on_notice(ENTRY, DemandNotice(ROWS))
        self.assertEqual(self.own_rate(), 50)

    def test_paused_sender(self) -> None:
        """Guard against a data centre that is forgotten with one entry.

        Pattern: one sender pauses, then the other one; a partition between two
        data centres looks the same.
        """
        self.send(1, 100)
        for sequence in (1, 2, 3, 4):
            self.send(sequence, 120, SECOND_SENDER)
            self.clock.advance(1)
        self.assertEqual(self.other_rates(), [120])
        self.assertEqual(self.board.other_reports()[OTHER].age_seconds, 1.5)
        self.clock.advance(1.6)
        self.assertEqual(self.other_rates(), [])

    def test_repeated_and_late_messages(self) -> None:
        """Guard against a demand that an older message replaces.

        Pattern: messages of one entry are repeated or arrive late, also after
        its report has expired; a restarted one begins again at 1.
        """
        for sequence, rate in ((5, 100), (5, 200), (4, 300)):
            self.send(sequence, rate)
        self.assertEqual(self.other_rates(), [100])
        self.clock.advance(5)
        self.send(5, 300)
        self.assertEqual(self.other_rates(), [])
        self.send(1, 400, build_hello('sender-1', OTHER, 'restarted'))
        self.assertEqual(self.other_rates(), [400])

    def test_malformed_messages(self) -> None:
        """Guard against one bad row that hides all others, or stops the link.

        Pattern: rows of unknown or damaged entries, rates whose sum would be
        infinite, and senders that speak for another data centre.
        """
        rows = [7, [], {}, ['x'], [None, 1, 1, 1], ['y', 'z', 1, 1]]
        rows += [['w', -1, 0, 0], ['v', float('nan'), 0, 0]]
        rows += [['u', 1e308, 0, 0], ['t', 0, 0, float('-inf')], *ROWS]
        with self.assertLogs('wasabistream.spillover', 'WARNING') as logs:
            self.board.on_notice(build_hello('e2', OWN), DemandNotice(rows))
            # One line for all rows: another version may send many a second.
            self.assertEqual(len(logs.output), 1)
            self.board.on_notice(SENDER, DemandNotice(ROWS))
            self.send(1, 1, build_hello('e9', 'dc-z'))
            self.send(1, 1, build_hello('agent', OTHER, role='agent'))
        self.assertEqual(set(self.board.own_report().demands), {'writer'})
        self.assertEqual(self.own_rate(), 100)
        self.assertEqual(self.other_rates(), [])

    def test_largest_messages(self) -> None:
        """Guard against messages that others cannot read."""
        demand = ServiceDemand(250_000, 300_000, -90_000)
        rows = build_rows({f'service{number}': demand for number in range(6)})
        report = DataCentreDemand('dc-12', 100_000, rows, 1500)
        frame = encode_frame(report)
        self.assertEqual(FrameReader('peer').feed(frame), [report])


class DemandTrafficTest(unittest.TestCase):
    """Guard against sums that cost too much, are wrong or do not arrive."""

    def setUp(self) -> None:
        """Create the entries of one of 24 data centres, with 380 entries."""
        entries = [
            build_hello(f'entry-{number}', f'dc-{number % DATA_CENTRE_COUNT}')
            for number in range(ENTRY_COUNT)
        ]
        own = [entry for entry in entries if entry.data_centre == 'dc-1']
        others = [entry for entry in entries if entry not in own]
        self.receiver_ids = sorted(entry.peer_id for entry in others)
        self.senders = SendingDataCentre(own, others, service_count=6)
        for _ in range(5):
            self.senders.run_second(TOKENS_PER_SECOND)

    def received_ids(self) -> list[str]:
        """Return the receivers of the sums of the last second."""
        return sorted(receiver for _, receiver, _ in self.senders.sums)

    def test_byte_budget(self) -> None:
        """Guard against demand reports that use up the budget of a daemon.

        Pattern: six services at the demand of 4,700 engines.
        """
        self.assertEqual(self.received_ids(), self.receiver_ids)
        sent: Counter[str] = Counter()
        for sender, _, message in self.senders.notices + self.senders.sums:
            sent[sender] += len(encode_frame(message))
        self.assertLess(max(sent.values()), BYTE_BUDGET)
        received_bytes = (DATA_CENTRE_COUNT - 1) * max(
            len(encode_frame(report)) for _, _, report in self.senders.sums
        )
        for _, receiver, message in self.senders.notices:
            if receiver == 'entry-1':
                received_bytes += len(encode_frame(message))
        self.assertLess(received_bytes, BYTE_BUDGET)

    def test_frozen_entry(self) -> None:
        """Guard against receivers that lose the sum with one entry.

        Pattern: an entry freezes and resumes, and then knows only its own
        demand. The sums that it sends have a mean age of half a second.
        """
        for _ in range(5):
            self.senders.run_second(TOKENS_PER_SECOND, frozen=('entry-25',))
            silent_seconds = max(self.senders.silent_seconds.values())
            self.assertLess(silent_seconds + 0.5, REPORT_AGE_LIMIT_SECONDS)
        self.assertEqual(self.received_ids(), self.receiver_ids)
        for _ in range(5):
            self.senders.run_second(TOKENS_PER_SECOND)
            for _, _, message in self.senders.sums:
                self.assertGreater(
                    message.rows[0][1], 0.8 * 16 * TOKENS_PER_SECOND
                )
        self.assertEqual(self.received_ids(), self.receiver_ids)


class SpilloverControllerTest(unittest.TestCase):
    """Guard against messages that nobody needs, and plans out of date."""

    def setUp(self) -> None:
        """Create the controller of an entry beside one of two engines."""
        self.clock = Clock()
        self.links = Mock()
        self.is_scheduled = Mock(return_value=True)
        servers = [
            build_server(number, service=ENGINE_SERVICE, data_centre=name)
            for number, name in enumerate((OWN, OTHER))
        ]
        self.controller = SpilloverController(
            ENTRY,
            self.links,
            CapacityView(
                build_holder(*servers),
                LoadTracker(self.clock),
                Mock(pace=lambda endpoint: UNKNOWN_PACE),
                lambda server: False,
            ),
            self.is_scheduled,
            self.clock,
        )

    def test_messages_and_plans(self) -> None:
        """Guard against partial sums, and a service that stays planned.

        Pattern: twice the capacity arrives, while the service is scheduled.
        """
        request = build_request(build_route(RouteKind.streaming))
        for second in range(6):
            for _ in range(5):
                self.controller.record_arrival(request)
                self.clock.advance(0.2)
            rows = [[ENGINE_SERVICE, 1000, 0, 0]]
            self.controller.board.on_report(
                SENDER, DataCentreDemand(OTHER, second, rows, 0)
            )
            self.controller.update()
        sends = self.links.send_to_some
        messages = [call.args for call in sends.mock_calls]
        notices = [
            sent for sent in messages if isinstance(sent[0], DemandNotice)
        ]
        self.assertEqual(len(notices), 6)
        self.assertTrue(all(is_own(ENTRY) for _, is_own in notices))
        # The first update may lack the notices of others.
        self.assertEqual(len(messages), 6 + 5)
        report, goes_to = messages[-1]
        self.assertEqual((goes_to(ENTRY), goes_to(SENDER)), (False, True))
        self.assertAlmostEqual(report.rows[0][1], 15_000, delta=1500)
        plan = self.controller.find_plan(ENGINE_SERVICE)
        self.assertGreater(plan.share(OTHER) if plan else 0, 0.3)
        self.is_scheduled.return_value = False
        sends.reset_mock()
        self.controller.update()
        sends.assert_not_called()
        self.assertIsNone(self.controller.find_plan(ENGINE_SERVICE))

    def test_failed_updates(self) -> None:
        """Guard against a plan that stays in use for good.

        Pattern: updates fail for some seconds, or the process pauses.
        """
        self.controller.update()
        self.is_scheduled.side_effect = ValueError
        for _ in range(3):
            self.clock.advance(1)
            with self.assertRaises(ValueError):
                self.controller.update()
        self.assertIsNotNone(self.controller.find_plan(ENGINE_SERVICE))
        self.clock.advance(0.1)
        self.assertIsNone(self.controller.find_plan(ENGINE_SERVICE))
        self.is_scheduled.side_effect = None
        self.controller.update()
        self.assertIsNotNone(self.controller.find_plan(ENGINE_SERVICE))

    def test_token_counts_of_callers(self) -> None:
        """Guard against refused requests, and plans that are never renewed.

        Pattern: a caller states more tokens than a float or a message holds,
        or fewer than none.
        """
        request = build_request(build_route(RouteKind.streaming))
        for tokens in (10**400, 10**30, -(10**30)):
            demand = GenerationDemand(tokens, tokens, 0)
            self.controller.record_arrival(
                dataclasses.replace(request, demand=demand)
            )
            self.clock.advance(1)
            self.controller.update()
            for call in self.links.send_to_some.mock_calls:
                message = call.args[0]
                self.assertEqual(
                    FrameReader('p').feed(encode_frame(message)), [message]
                )
                self.assertGreaterEqual(message.rows[0][1], 0)
