"""Tests of the runner of generations."""

import threading
import unittest
from collections.abc import Iterator
from typing import Any

from tests.builders import build_generate
from tests.waits import wait_for
from wasabistream.admissions import OpenPolicy
from wasabistream.batch_limits import BatchLimit
from wasabistream.crashes import CrashDetector
from wasabistream.engines import EngineToken
from wasabistream.gates import Gate
from wasabistream.generations import GenerationRunner
from wasabistream.messages import Message
from wasabistream.poison_part_guards import PoisonPartGuard
from wasabistream.poison_parts import PoisonPartDetector
from wasabistream.quarantines import Quarantine
from wasabistream.ramps import OpenRamp
from wasabistream.requests import Accepted, Refused, Withdraw
from wasabistream.token_gaps import TokenGapMeter

BUFFER_BYTES = 10000
WAIT_SECONDS = 5.0


class BlockingEngine:
    """Record the prompts that arrive, and block until allowed to finish."""

    def __init__(self) -> None:
        self.prompts: list[str] = []
        self.request_received = threading.Event()
        self.may_finish = threading.Event()

    def generate(self, stream_id: str, request: Any) -> Iterator[EngineToken]:
        """Yield one token once `may_finish` is set."""
        self.prompts.append(request.prompt)
        self.request_received.set()
        self.may_finish.wait(WAIT_SECONDS)
        yield EngineToken(0, 'x', 'stop')

    def cancel(self, stream_id: str) -> None:
        """Stop a generation."""


class RecordingLink:
    """Record the messages that an entry receives."""

    def __init__(self) -> None:
        self.messages: list[Message] = []

    def send(self, message: Message) -> None:
        """Record a message."""
        self.messages.append(message)


class GenerationRunnerTest(unittest.TestCase):
    """Guard against runs of requests that were reported as `not_run`."""

    def setUp(self) -> None:
        """Start a runner with one slot."""
        self.engine = BlockingEngine()
        self.link: Any = RecordingLink()
        engine: Any = self.engine
        self.build(engine)

    def build(self, engine: Any) -> None:
        """Build a runner with a gate of one slot in front of an engine."""
        quarantine = Quarantine()
        self.detector = PoisonPartDetector()
        crashes = CrashDetector(
            'agent',
            engine,
            quarantine,
            self.link.send,
            PoisonPartGuard(self.link.send, self.detector),
        )
        self.runner = GenerationRunner(
            'agent', '1', engine, BUFFER_BYTES, 10, quarantine, crashes
        )
        token_gaps = TokenGapMeter()
        self.runner.start(
            Gate(
                OpenPolicy(),
                OpenRamp(token_gaps, 1),
                BatchLimit(token_gaps, 1),
                token_gaps,
                self.runner.run,
            )
        )
        self.addCleanup(self.runner.stop)
        self.addCleanup(self.engine.may_finish.set)

    def refusals(self, request_id: str) -> list[str]:
        """Return the reasons of the refusals of a request."""
        return [
            message.reason
            for message in self.link.messages
            if isinstance(message, Refused) and message.request_id == request_id
        ]

    def test_withdrawn_request_is_refused_on_arrival(self) -> None:
        """Guard against running a request that arrives after its withdrawal."""
        late = build_generate(request_id='late', prompt='late')
        self.runner.withdraw(self.link, Withdraw('late'))
        self.runner.generate(self.link, late)
        self.runner.generate(self.link, late)
        self.assertEqual(
            self.refusals('late'), ['withdrawn', 'withdrawn', 'withdrawn']
        )
        self.assertFalse(self.runner.jobs_in_progress())

    def test_withdrawn_queued_job_never_runs(self) -> None:
        """Guard against a job that runs after it was reported as not run."""
        self.runner.generate(
            self.link, build_generate(prompt='first', fingerprint=1)
        )
        self.assertTrue(self.engine.request_received.wait(WAIT_SECONDS))
        queued = build_generate(request_id='q', prompt='q', fingerprint=2)
        self.runner.generate(self.link, queued)
        self.runner.withdraw(self.link, Withdraw('q'))
        self.assertEqual(self.refusals('q'), ['withdrawn'])
        self.engine.may_finish.set()
        last = build_generate(prompt='last', fingerprint=3)
        self.engine.request_received.clear()
        self.runner.generate(self.link, last)
        self.assertTrue(self.engine.request_received.wait(WAIT_SECONDS))
        self.assertEqual(self.engine.prompts, ['first', 'last'])

    def test_queued_job_is_refused_when_server_is_out(self) -> None:
        """Guard against starting jobs on a server that is out of service."""
        self.runner.generate(
            self.link, build_generate(prompt='first', fingerprint=1)
        )
        self.assertTrue(self.engine.request_received.wait(WAIT_SECONDS))
        queued = build_generate(request_id='q', prompt='q', fingerprint=2)
        self.runner.generate(self.link, queued)
        self.runner.refuse_queued('backend_out')
        self.assertEqual(self.refusals('q'), ['backend_out'])
        self.assertEqual(len(self.runner.jobs_in_progress()), 1)

    def test_queued_job_with_banned_part_never_runs(self) -> None:
        """Guard against queued requests that crash the engine after a ban."""
        self.runner.generate(
            self.link, build_generate(prompt='first', fingerprint=1)
        )
        self.assertTrue(self.engine.request_received.wait(WAIT_SECONDS))
        queued = build_generate(
            request_id='q', prompt='q', fingerprint=2, prompt_parts=['deadly']
        )
        self.runner.generate(self.link, queued)
        self.detector.adopt_ban('deadly', 0, 0)
        self.engine.may_finish.set()
        self.assertTrue(wait_for(lambda: self.refusals('q'), WAIT_SECONDS))
        self.assertEqual(self.refusals('q'), ['quarantined'])
        self.assertEqual(self.engine.prompts, ['first'])

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
