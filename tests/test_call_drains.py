"""Tests of calls of plain services that arrive while their entry drains.

Failure pattern: an entry takes a call that may outlast its drain and cuts it.
"""

import json
import math
import threading
import unittest
from unittest.mock import Mock, patch

from tests.builders import build_full_document, wait_until
from wasabistream.call_runners import CallRunner
from wasabistream.callers import draining_answer
from wasabistream.documents import parse_document
from wasabistream.exceptions import AttemptError
from wasabistream.http_servers import HttpRequest
from wasabistream.outcomes import Outcome
from wasabistream.requests import ServiceAnswer
from wasabistream.service_calls import (
    IDEMPOTENCY_KEY_HEADER,
    ServiceCallHandler,
    build_draining_refusal,
)
from wasabistream.service_clients import ServiceClient

# As in the document.
CALL_TIMEOUT_SECONDS = 10


def build_call_request(key: str = '') -> HttpRequest:
    """Return a lookup at a plain service."""
    headers = {IDEMPOTENCY_KEY_HEADER: key} if key else {}
    return HttpRequest('GET', '/services/booking/look', '', headers, b'')


class CallDrainTest(unittest.TestCase):
    """Guard against calls that end without an answer."""

    def setUp(self) -> None:
        """Create a handler whose entry drains."""
        self.remaining_seconds = math.inf
        self.document = parse_document(
            json.dumps(build_full_document()).encode()
        ).document
        dispatcher = Mock()
        dispatcher.new_request_id.return_value = 'r1'
        dispatcher.call.return_value = ServiceAnswer('r1', 200, {}, b'')
        self.handler = ServiceCallHandler(
            'dc-a', dispatcher, Mock(), lambda: self.remaining_seconds
        )

    def call(self) -> int:
        """Make a call and return the status of its answer."""
        organisation = self.document.organisations[0]
        request = build_call_request()
        return self.handler.call(self.document, organisation, request).status

    def test_call_that_may_outlast_the_drain(self) -> None:
        """Guard against a call that is cut at the end of the drain."""
        self.assertEqual(self.call(), 200)
        self.remaining_seconds = CALL_TIMEOUT_SECONDS + 1
        self.assertEqual(self.call(), 200)
        self.remaining_seconds = CALL_TIMEOUT_SECONDS - 1
        with self.assertRaises(AttemptError):
            self.call()

    def test_refusal(self) -> None:
        """Guard against a refusal that does not let its caller come back."""
        refusal = build_draining_refusal(build_call_request())
        self.assertEqual(refusal.outcome, Outcome.not_run)
        self.assertGreater(refusal.retry_after_seconds, 0)

    def test_call_with_a_key(self) -> None:
        """Guard against the promise that a repeated call has not run.

        An earlier attempt with the key may have run at another entry.
        """
        request = build_call_request('k1')
        body = json.loads(draining_answer(request).body)
        self.assertIn(Outcome.unknown.value, json.dumps(body))
        body = json.loads(draining_answer(build_call_request()).body)
        self.assertIn(Outcome.not_run.value, json.dumps(body))

    def test_reply(self) -> None:
        """Guard against a drain that ends before the reply of a call is sent."""
        runner = CallRunner('http://127.0.0.1:9', 1, Mock())
        unanswered: list[list[str]] = []
        sent = threading.Event()

        def send(reply: object) -> None:
            unanswered.append(runner.unanswered_calls())
            sent.set()

        call = Mock(request_id='r1', repeatable=True, deadline_seconds=1.0)
        with patch.object(ServiceClient, 'send'):
            runner.call(Mock(send=send), call)
            self.assertTrue(sent.wait(CALL_TIMEOUT_SECONDS))
        self.assertEqual(unanswered, [['r1']])
        wait_until(lambda: not runner.unanswered_calls())


if __name__ == '__main__':
    unittest.main()
