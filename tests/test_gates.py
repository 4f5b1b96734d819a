"""Tests of the gate."""

import time
import unittest
from typing import Any

from tests.builders import build_job
from wasabistream.admissions import AdmissionPolicy, GrowthPolicy, OpenPolicy
from wasabistream.batch_limits import BatchLimit
from wasabistream.exceptions import AttemptError
from wasabistream.gates import Gate
from wasabistream.jobs import GenerationJob
from wasabistream.outcomes import Outcome
from wasabistream.ramps import OpenRamp
from wasabistream.token_gaps import TokenGapMeter

WAIT_SECONDS = 5.0


def refusal_of(gate: Gate, job: GenerationJob) -> AttemptError:
    """Return the refusal of a job that must be refused."""
    try:
        gate.submit(job)
    except AttemptError as refusal:
        return refusal
    raise AssertionError('job was not refused')


class GateTest(unittest.TestCase):
    """Guard the order of jobs and the truth of refusals."""

    def setUp(self) -> None:
        """Keep the order in which jobs start."""
        self.started: list[GenerationJob] = []

    def build_gate(
        self, slot_count: int, policy: AdmissionPolicy | None = None
    ) -> Gate:
        """Return a running gate with a fixed number of slots."""
        speeds = TokenGapMeter()
        gate = Gate(
            policy or OpenPolicy(),
            OpenRamp(speeds, slot_count),
            BatchLimit(speeds, slot_count),
            speeds,
            self.started.append,
        )
        gate.start()
        self.addCleanup(gate.stop)
        return gate

    def run_all(self, gate: Gate, count: int) -> list[GenerationJob]:
        """Release each started job at once until all have run."""
        deadline = time.monotonic() + WAIT_SECONDS
        done = 0
        while done < count and time.monotonic() < deadline:
            if len(self.started) > done:
                job = self.started[done]
                job.generated_count = int(job.expected_tokens)
                gate.release(self.started[done])
                done += 1
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

    def test_dropped_job_never_starts(self) -> None:
        """Guard against a job that runs after its refusal as not run."""
        gate = self.build_gate(1)
        self.submit(gate)
        dropped = self.submit(gate)
        last = self.submit(gate)
        self.assertTrue(dropped.stop('withdrawn'))
        self.assertTrue(gate.drop(dropped))
        started = self.run_all(gate, 2)
        self.assertNotIn(dropped, started)
        self.assertIn(last, started)
        self.assertFalse(dropped.try_mark_sent())

    def test_stop_between_queue_and_engine(self) -> None:
        """Guard against sending a job that was cancelled while popped."""
        job = build_job()
        self.assertTrue(job.stop('cancelled'))
        self.assertFalse(job.try_mark_sent())
        other = build_job()
        self.assertTrue(other.try_mark_sent())
        self.assertFalse(other.stop('cancelled'))

    def test_patient_work_is_not_starved(self) -> None:
        """Guard drafts against a sustained overload of urgent work."""
        gate = self.build_gate(1)
        blocker = self.submit(gate)
        self.wait_started(blocker)
        draft = build_job(work_class='patient')
        draft.queued_monotonic_seconds = time.monotonic() - 100
        gate.submit(draft)
        urgent = [self.submit(gate, work_class='urgent') for _ in range(40)]
        started = self.run_all(gate, 42)
        self.assertEqual(len(started), 42)
        self.assertIs(started[0], blocker)
        self.assertLess(started.index(draft), started.index(urgent[-1]))

    def test_small_organisation_gets_its_share(self) -> None:
        """Guard a small organisation against the queue of a large one."""
        gate = self.build_gate(1)
        self.submit(gate, organisation='large')
        for _ in range(20):
            self.submit(gate, organisation='large')
        small = self.submit(gate, organisation='small')
        started = self.run_all(gate, 22)
        self.assertLess(started.index(small), 4)

    def test_hopeless_wait_is_refused_at_once(self) -> None:
        """Guard against queueing work beyond its deadline."""
        gate = self.build_gate(1)
        self.submit(gate)
        for _ in range(10):
            self.submit(gate)
        late = build_job()
        late.deadline_monotonic_seconds = time.monotonic() + 0.01
        refusal = refusal_of(gate, late)
        self.assertEqual(refusal.outcome, Outcome.not_run)
        self.assertEqual(refusal.reason, 'overloaded')
        self.assertGreater(refusal.retry_after_seconds, 0)

    def test_suspect_runs_alone(self) -> None:
        """Guard neighbours against a content that may crash the engine."""
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
    """Guard the memory of the engine."""

    def test_expected_growth_counts(self) -> None:
        """Guard against preemption by outputs that are sure to be long."""
        policy = GrowthPolicy(1000, 1.0)
        for _ in range(100):
            policy.estimator.observe(('desk', 'assistant', 'normal'), 300)
        running = [build_job(max_tokens=1000) for _ in range(3)]
        self.assertTrue(policy.admits(build_job(), running[:1]))
        self.assertFalse(policy.admits(build_job(max_tokens=1000), running))

    def test_estimate_grows_with_output(self) -> None:
        """Guard against taking a long output for one about to end."""
        policy = GrowthPolicy(1000, 1.0)
        key = ('desk', 'assistant', 'normal')
        for number in range(100):
            policy.estimator.observe(key, 20 if number % 10 else 2000)
        fresh = policy.estimator.expected_tokens(key, 0)
        going = policy.estimator.expected_tokens(key, 100)
        self.assertLess(fresh, 400)
        self.assertGreater(going, 1000)

    def test_unknown_organisation_uses_its_model(self) -> None:
        """Guard against ignoring the model's lengths for a new key."""
        policy = GrowthPolicy(1000, 1.0)
        for _ in range(100):
            policy.estimator.observe(('desk', 'assistant', 'normal'), 900)
        new_key = ('other', 'assistant', 'normal')
        expected = policy.estimator.expected_tokens(new_key, 0)
        self.assertGreater(expected, 700)
