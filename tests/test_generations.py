"""Tests of the runner of generations."""

import threading
import unittest
from collections.abc import Iterator
from typing import Any

from tests.builders import build_generate
from wasabistream.admissions import OpenPolicy
from wasabistream.batch_limits import BatchLimit
from wasabistream.crashes import CrashDetector
from wasabistream.engines import EngineToken
from wasabistream.gates import Gate
from wasabistream.generations import GenerationRunner
from wasabistream.messages import Message
from wasabistream.quarantines import Quarantine
from wasabistream.ramps import OpenRamp
from wasabistream.requests import Accepted, Refused, Withdraw
from wasabistream.token_gaps import TokenGapMeter

BUFFER_BYTES = 10000
WAIT_SECONDS = 5.0


class HeldEngine:
    """Record what reaches the engine, and hold it there."""

    def __init__(self) -> None:
        self.prompts: list[str] = []
        self.reached = threading.Event()
        self.go_on = threading.Event()

    def generate(self, stream_id: str, request: Any) -> Iterator[EngineToken]:
        """Run a generation of one token when told so."""
        self.prompts.append(request.prompt)
        self.reached.set()
        self.go_on.wait(WAIT_SECONDS)
        yield EngineToken(0, 'x', 'stop')

    def cancel(self, stream_id: str) -> None:
        """Stop a generation."""


class RecordingLink:
    """Record what an entry is told."""

    def __init__(self) -> None:
        self.messages: list[Message] = []

    def send(self, message: Message) -> None:
        """Record a message."""
        self.messages.append(message)


class GenerationRunnerTest(unittest.TestCase):
    """Guard the truth of `not_run` against late and repeated requests."""

    def setUp(self) -> None:
        """Start a runner with one slot."""
        self.engine = HeldEngine()
        self.link: Any = RecordingLink()
        engine: Any = self.engine
        self.build(engine)

    def build(self, engine: Any) -> None:
        """Build the runner before an engine."""
        quarantine = Quarantine()
        crashes = CrashDetector('agent', engine, quarantine, self.link.send)
        self.runner = GenerationRunner(
            'agent', '1', engine, BUFFER_BYTES, 10, quarantine, crashes
        )
        speeds = TokenGapMeter()
        self.runner.start(
            Gate(
                OpenPolicy(),
                OpenRamp(speeds, 1),
                BatchLimit(speeds, 1),
                speeds,
                self.runner.run,
            )
        )
        self.addCleanup(self.runner.stop)
        self.addCleanup(self.engine.go_on.set)

    def refusals(self, request_id: str) -> list[str]:
        """Return the reasons of the refusals of a request."""
        return [
            message.reason
            for message in self.link.messages
            if isinstance(message, Refused) and message.request_id == request_id
        ]

    def test_withdrawn_before_arrival(self) -> None:
        """Guard against running a late copy, however often it comes."""
        late = build_generate(request_id='late', prompt='late')
        self.runner.withdraw(self.link, Withdraw('late'))
        self.runner.generate(self.link, late)
        self.runner.generate(self.link, late)
        self.assertEqual(
            self.refusals('late'), ['withdrawn', 'withdrawn', 'withdrawn']
        )
        self.assertFalse(self.runner.jobs_in_progress())

    def test_withdrawn_while_queued(self) -> None:
        """Guard against running a job after its refusal as not run."""
        self.runner.generate(
            self.link, build_generate(prompt='first', fingerprint=1)
        )
        self.assertTrue(self.engine.reached.wait(WAIT_SECONDS))
        queued = build_generate(request_id='q', prompt='q', fingerprint=2)
        self.runner.generate(self.link, queued)
        self.runner.withdraw(self.link, Withdraw('q'))
        self.assertEqual(self.refusals('q'), ['withdrawn'])
        self.engine.go_on.set()
        last = build_generate(prompt='last', fingerprint=3)
        self.engine.reached.clear()
        self.runner.generate(self.link, last)
        self.assertTrue(self.engine.reached.wait(WAIT_SECONDS))
        self.assertEqual(self.engine.prompts, ['first', 'last'])

    def test_removed_while_queued(self) -> None:
        """Guard against new work at a backend server that was taken out."""
        self.runner.generate(
            self.link, build_generate(prompt='first', fingerprint=1)
        )
        self.assertTrue(self.engine.reached.wait(WAIT_SECONDS))
        queued = build_generate(request_id='q', prompt='q', fingerprint=2)
        self.runner.generate(self.link, queued)
        self.runner.refuse_waiting('backend_out')
        self.assertEqual(self.refusals('q'), ['backend_out'])
        self.assertEqual(len(self.runner.jobs_in_progress()), 1)

    def test_repeated_id_runs_once(self) -> None:
        """Guard against two generations for one request id."""
        request = build_generate(request_id='twice', prompt='twice')
        self.runner.generate(self.link, request)
        self.runner.generate(self.link, request)
        accepted = [
            message
            for message in self.link.messages
            if isinstance(message, Accepted)
        ]
        self.assertEqual(len(accepted), 1)
        self.assertEqual(self.refusals('twice'), [])
