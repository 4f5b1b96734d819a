"""Tests of the gate."""

import time
import unittest
from typing import Any

from tests.builders import build_job
from tests.byte_servers import send_once, serve_bytes
from tests.test_client_limits import frame
from tests.waits import wait_for
from wasabistream.admissions import AdmissionPolicy, GrowthPolicy, OpenPolicy
from wasabistream.batch_limits import BatchLimit
from wasabistream.engines import make_engine_client
from wasabistream.exceptions import AttemptError
from wasabistream.gates import Gate
from wasabistream.jobs import GenerationJob
from wasabistream.outcomes import Outcome
from wasabistream.ramps import OpenRamp
from wasabistream.retries import OVERLOAD_REASONS
from wasabistream.start_rates import StartRate
from wasabistream.token_gaps import TokenGapMeter

WAIT_SECONDS = 5.0


def submit_refused(gate: Gate, job: GenerationJob) -> AttemptError:
    """Submit a job that must be refused and return the error."""
    try:
        gate.submit(job)
    except AttemptError as refusal:
        return refusal
    raise AssertionError('job was not refused')


class GateCase(unittest.TestCase):
    """Run gates and record which jobs start."""

    def setUp(self) -> None:
        """Record the order in which jobs start."""
        self.started: list[GenerationJob] = []

    def build_gate(
        self, slot_count: int, policy: AdmissionPolicy | None = None
    ) -> Gate:
        """Return a running gate with a fixed number of slots."""
        token_gaps = TokenGapMeter()
        gate = Gate(
            policy or OpenPolicy(),
            OpenRamp(token_gaps, slot_count),
            BatchLimit(token_gaps, slot_count),
            token_gaps,
            self.started.append,
        )
        gate.start()
        self.addCleanup(gate.stop)
        return gate

    def finish_jobs(self, gate: Gate, count: int) -> list[GenerationJob]:
        """End each job once it has started, until `count` jobs have ended."""
        deadline = time.monotonic() + WAIT_SECONDS
        released_count = 0
        while released_count < count and time.monotonic() < deadline:
            if len(self.started) > released_count:
                job = self.started[released_count]
                # As estimated, so that the shares need no adjustment.
                job.generated_count = int(job.expected_tokens)
                gate.release(self.started[released_count])
                released_count += 1
            else:
                time.sleep(0.002)
        return list(self.started)

    def wait_started(self, job: GenerationJob) -> None:
        """Wait until a job has started."""
        deadline = time.monotonic() + WAIT_SECONDS
        while job not in self.started and time.monotonic() < deadline:
            time.sleep(0.002)

    def submit(self, gate: Gate, **changes: Any) -> GenerationJob:
        """Submit a new job."""
        job = build_job(**changes)
        job.queued_monotonic_seconds = time.monotonic()
        gate.submit(job)
        return job


class GateTest(GateCase):
    """Guard the order of jobs and that a refused job never runs."""

    def test_dropped_job_never_starts(self) -> None:
        """Guard against a job that runs after it was reported as not run."""
        gate = self.build_gate(1)
        self.submit(gate)
        dropped = self.submit(gate)
        last = self.submit(gate)
        self.assertTrue(dropped.stop('withdrawn'))
        self.assertTrue(gate.drop(dropped))
        started = self.finish_jobs(gate, 2)
        self.assertNotIn(dropped, started)
        self.assertIn(last, started)
        self.assertFalse(dropped.try_mark_sent())

    def test_stop_between_queue_and_engine(self) -> None:
        """Guard against sending a job that is cancelled as it is started."""
        job = build_job()
        self.assertTrue(job.stop('cancelled'))
        self.assertFalse(job.try_mark_sent())
        sent_job = build_job()
        self.assertTrue(sent_job.try_mark_sent())
        self.assertFalse(sent_job.stop('cancelled'))

    def test_urgent_overload_does_not_starve_patient_work(self) -> None:
        """Guard against `patient` jobs that never start under overload."""
        gate = self.build_gate(1)
        running_job = self.submit(gate)
        self.wait_started(running_job)
        draft = build_job(work_class='patient')
        draft.queued_monotonic_seconds = time.monotonic() - 100
        gate.submit(draft)
        urgent = [self.submit(gate, work_class='urgent') for _ in range(40)]
        started = self.finish_jobs(gate, 42)
        self.assertEqual(len(started), 42)
        self.assertIs(started[0], running_job)
        self.assertLess(started.index(draft), started.index(urgent[-1]))

    def test_long_queue_does_not_delay_other_organisation(self) -> None:
        """Guard against waiting for the whole queue of another organisation."""
        gate = self.build_gate(1)
        self.submit(gate, organisation='large')
        for _ in range(20):
            self.submit(gate, organisation='large')
        small = self.submit(gate, organisation='small')
        started = self.finish_jobs(gate, 22)
        self.assertLess(started.index(small), 4)

    def test_job_that_would_start_late_is_refused_at_once(self) -> None:
        """Guard against queueing a job that would start after its deadline."""
        gate = self.build_gate(1)
        self.submit(gate)
        for _ in range(10):
            self.submit(gate)
        late = build_job()
        late.deadline_monotonic_seconds = time.monotonic() + 0.01
        refusal = submit_refused(gate, late)
        self.assertEqual(refusal.outcome, Outcome.not_run)
        self.assertEqual(refusal.reason, 'overloaded')
        # Otherwise an entry never turns to another data centre for it.
        self.assertIn(refusal.reason, OVERLOAD_REASONS)
        self.assertGreater(refusal.retry_after_seconds, 0)

    def test_suspect_runs_alone(self) -> None:
        """Guard other jobs against a request that may crash the engine."""
        gate = self.build_gate(4)
        first = self.submit(gate)
        self.wait_started(first)
        suspect = build_job()
        suspect.suspect = True
        gate.submit(suspect)
        self.assertNotIn(suspect, self.started)
        gate.release(first)
        self.wait_started(suspect)
        self.submit(gate)
        self.assertEqual(gate.running_jobs(), [suspect])


class GrowthPolicyTest(unittest.TestCase):
    """Guard against jobs that need more memory than the engine has."""

    def test_long_expected_outputs_are_not_admitted(self) -> None:
        """Guard against preemption when all outputs are known to be long."""
        policy = GrowthPolicy(1000, 1.0)
        for _ in range(100):
            policy.estimator.observe(('desk', 'assistant', 'normal'), 300)
        running = [build_job(max_tokens=1000) for _ in range(3)]
        self.assertTrue(policy.admits(build_job(), running[:1]))
        self.assertFalse(policy.admits(build_job(max_tokens=1000), running))

    def test_estimate_grows_with_output(self) -> None:
        """Guard against too low estimates of a long output."""
        policy = GrowthPolicy(1000, 1.0)
        key = ('desk', 'assistant', 'normal')
        for number in range(100):
            policy.estimator.observe(key, 20 if number % 10 else 2000)
        estimate_at_start = policy.estimator.expected_tokens(key, 0)
        estimate_in_progress = policy.estimator.expected_tokens(key, 100)
        self.assertLess(estimate_at_start, 400)
        self.assertGreater(estimate_in_progress, 1000)

    def test_new_organisation_gets_estimate_of_its_model(self) -> None:
        """Guard against an estimate that ignores lengths of the same model."""
        policy = GrowthPolicy(1000, 1.0)
        for _ in range(100):
            policy.estimator.observe(('desk', 'assistant', 'normal'), 900)
        new_key = ('other', 'assistant', 'normal')
        expected = policy.estimator.expected_tokens(new_key, 0)
        self.assertGreater(expected, 700)


class StartRateTest(GateCase):
    """Guard against an engine that gets more than it states to take."""

    def test_engine_gets_no_more_starts_than_it_takes(self) -> None:
        """Guard against a gate that starts jobs as soon as there is room."""
        gate = self.build_gate(slot_count=50)
        gate.limit_starts(4)
        for _ in range(20):
            self.submit(gate)
        time.sleep(1)
        self.assertGreaterEqual(len(self.started), 3)
        self.assertLessEqual(len(self.started), 6)
        self.assertEqual(gate.effective_limit_count, gate.running_count)
        gate.limit_starts(None)
        self.assertTrue(wait_for(lambda: len(self.started) == 20))

    def test_job_that_cannot_start_in_time_is_refused(self) -> None:
        """Guard against jobs that wait behind the limit until their deadline."""
        gate = self.build_gate(slot_count=50)
        gate.limit_starts(0.5)
        self.submit(gate)
        self.submit(gate)
        late = build_job()
        late.deadline_monotonic_seconds = time.monotonic() + 1
        refusal = submit_refused(gate, late)
        self.assertEqual(refusal.reason, 'overloaded')
        self.assertGreater(refusal.retry_after_seconds, 0)

    def test_limit_that_rises(self) -> None:
        """Guard against waiting for the turn of a lower limit."""
        rate = StartRate()
        rate.set_limit(0)
        rate.add_start()
        self.assertGreater(rate.wait_seconds(), 5)
        rate.set_limit(10)
        self.assertLessEqual(rate.wait_seconds(), 0.1)


class StatedRateTest(unittest.TestCase):
    """Guard against a malformed rate that stops an engine's agent."""

    def test_rates(self) -> None:
        """Guard against a rate that is no number, or below 0."""
        for text, expected in (
            ('2.5', 2.5),
            ('0', 0.0),
            ('null', None),
            ('-1', None),
            ('true', None),
            ('"2"', None),
            ('NaN', None),
            ('Infinity', None),
            ('[1]', None),
        ):
            body = (
                '{"memory_used_tokens": 0, "memory_capacity_tokens": 1,'
                ' "running": 0, "models": [], "adapters": [], "role": "both",'
                ' "boot_id": "b", "max_requests_per_second": %s}' % text
            )
            with serve_bytes(send_once(frame(body.encode()))) as server:
                client = make_engine_client(
                    'standard', f'http://127.0.0.1:{server.port}'
                )
                state = client.state()
            self.assertEqual(state.max_requests_per_second, expected, text)
