"""Generations at an agent, from their arrival to their end."""

import itertools
import logging
import threading
import time

from urllib3.exceptions import ConnectTimeoutError, NewConnectionError

from wasabistream.buffers import StreamBuffer
from wasabistream.crashes import CrashDetector
from wasabistream.engine_streams import EngineStream
from wasabistream.engines import EngineClient, EngineToken
from wasabistream.exceptions import AttemptError, BackendError
from wasabistream.gates import Gate
from wasabistream.job_tables import JobTable
from wasabistream.jobs import GenerationJob, Subscriber
from wasabistream.links import Link
from wasabistream.metrics import FIRST_TOKEN_SECONDS
from wasabistream.outcomes import Outcome
from wasabistream.quarantines import Quarantine, QuarantineDecision
from wasabistream.requests import (
    Accepted,
    Cancel,
    Failed,
    Generate,
    Refused,
    Resume,
    Withdraw,
)
from wasabistream.workers import WorkerPool

logger = logging.getLogger(__name__)

ORPHAN_POLL_SECONDS = 0.5
# Most streams that are open to one engine at the same time.
MAX_ENGINE_STREAM_COUNT = 512
CANCEL_THREAD_COUNT = 8
# Errors after which the request did not reach the engine, so it is neither run
# nor a possible cause of a crash.
CONNECT_ERRORS = (NewConnectionError, ConnectTimeoutError)
PATIENT_CLASS = 'patient'


class GenerationRunner:
    """Queue generations at the gate, run them on the engine, send tokens."""

    def __init__(
        self,
        agent_id: str,
        incarnation: str,
        engine: EngineClient,
        buffer_bytes: int,
        orphan_limit_seconds: float,
        quarantine: Quarantine,
        crashes: CrashDetector,
    ) -> None:
        self._stream_id_prefix = f'{agent_id}.{incarnation}'
        self._engine = engine
        self._buffer_bytes = buffer_bytes
        self._orphan_limit_seconds = orphan_limit_seconds
        self._quarantine = quarantine
        self._crashes = crashes
        self._stream_counter = itertools.count(1)
        self._jobs = JobTable()
        self._stream_pool = WorkerPool(MAX_ENGINE_STREAM_COUNT, 'stream')
        self._cancel_pool = WorkerPool(CANCEL_THREAD_COUNT, 'cancel')
        self._stopped = threading.Event()
        self.gate: Gate

    def start(self, gate: Gate) -> None:
        """Start the gate and the thread that cancels orphaned streams."""
        self.gate = gate
        gate.start()
        threading.Thread(
            target=self._cancel_orphans, name='orphans', daemon=True
        ).start()

    def stop(self) -> None:
        """Stop the gate, the crash detector and the orphan thread."""
        self._stopped.set()
        self._crashes.stop()
        self.gate.stop()

    def jobs_in_progress(self) -> list[str]:
        """Return the request ids of jobs that have not ended."""
        return [job.request.request_id for job in self._jobs.open_jobs()]

    def generate(self, link: Link, request: Generate) -> None:
        """Queue a generation and reply whether it was accepted or refused."""
        now = time.monotonic()
        job = GenerationJob(
            request=request,
            stream_id=f'{self._stream_id_prefix}.{next(self._stream_counter)}',
            deadline_monotonic_seconds=now + request.deadline_seconds,
            buffer=StreamBuffer(self._buffer_bytes),
            subscriber=Subscriber(link, request.request_id),
            queued_monotonic_seconds=now,
        )
        try:
            self._jobs.add(job)
        except AttemptError as refusal:
            link.send(
                Refused(request.request_id, Outcome.not_run, refusal.reason)
            )
            return
        except KeyError:
            logger.info(
                'agent: duplicate request %s ignored', request.request_id
            )
            return
        # Sent before the job is queued, so that it precedes the first token.
        link.send(Accepted(request.request_id, job.stream_id))
        try:
            self._submit(job)
        except AttemptError as refusal:
            job.refuse(refusal.reason, refusal.retry_after_seconds)
            self._jobs.end(job)

    def run(self, job: GenerationJob) -> None:
        """Run an admitted job on a worker thread."""
        self._stream_pool.submit(self._run, job)

    def cancel(self, link: Link, request: Cancel) -> None:
        """Cancel a generation whose caller has gone, unless it is patient."""
        job = self._jobs.by_request(request.request_id)
        if job is not None and job.request.work_class != PATIENT_CLASS:
            self._cancel_job(job, 'cancelled')

    def withdraw(self, link: Link, request: Withdraw) -> None:
        """Cancel a request and reply with its outcome.

        A request that has not arrived yet is refused when it does.
        """
        job = self._jobs.withdraw(request.request_id)
        if job is None:
            link.send(Refused(request.request_id, Outcome.not_run, 'withdrawn'))
            return
        if job.ended:
            # The reply with its end may have been lost with an earlier link.
            outcome = Outcome.run if job.sent else Outcome.not_run
            link.send(
                Failed(
                    request.request_id, outcome, 'ended', job.generated_count
                )
            )
            return
        job.subscriber = Subscriber(link, request.request_id)
        self._cancel_job(job, 'withdrawn')

    def resume(self, link: Link, request: Resume) -> None:
        """Send the tokens of a stream from an index on."""
        job = self._jobs.by_stream(request.stream_id)
        if job is None or job.request.organisation != request.organisation:
            link.send(Failed(request.request_id, Outcome.unknown, 'no_stream'))
            return
        link.send(
            Accepted(
                request.request_id,
                job.stream_id,
                job.request.answer_context,
            )
        )
        self._jobs.add_request_id(request.request_id, job)
        subscriber = Subscriber(link, request.request_id)
        if not job.attach(subscriber, request.next_index):
            link.send(Failed(request.request_id, Outcome.run, 'events_dropped'))

    def refuse_queued(self, reason: str) -> None:
        """Refuse all queued jobs, so that entries send them elsewhere."""
        for job in self.gate.remove_queued():
            # In progress until its refusal is queued.
            job.refuse(reason)
            self._jobs.end(job)

    def on_link_closed(self, link: Link) -> None:
        """Detach the streams whose tokens went over a link that ended."""
        now = time.monotonic()
        for job in self._jobs.open_jobs():
            job.detach(link, now)

    def _submit(self, job: GenerationJob) -> None:
        request = job.request
        self._quarantine.merge_crash_count(
            request.fingerprint, request.crash_count
        )
        decision = self._quarantine.check(request.fingerprint)
        if decision == QuarantineDecision.banned:
            raise AttemptError('quarantined', Outcome.not_run)
        job.suspect = decision == QuarantineDecision.suspect
        self.gate.submit(job)

    def _run(self, job: GenerationJob) -> None:
        try:
            self._read_engine_stream(job)
        except BackendError as error:
            self._handle_engine_error(job, error)
        finally:
            self.gate.release(job)
            self._jobs.end(job)
        if job.cancelled.is_set() and job.sent:
            # An earlier cancel may have reached the engine before the stream.
            self._cancel_in_engine(job)

    def _handle_engine_error(
        self, job: GenerationJob, error: BackendError
    ) -> None:
        if job.cancelled.is_set():
            job.fail(Outcome.run, 'cancelled')
            return
        logger.warning(
            'agent: stream failed: %s',
            error,
            extra={'request_id': job.request.request_id},
        )
        if isinstance(error.__cause__, CONNECT_ERRORS):
            job.fail(Outcome.not_run, 'engine_down')
            return
        crashed = self._crashes.on_stream_broken(job)
        job.fail(Outcome.run, 'engine_crashed' if crashed else 'engine_failed')

    def _read_engine_stream(self, job: GenerationJob) -> None:
        started = time.monotonic()
        if job.deadline_monotonic_seconds <= started:
            job.refuse('deadline')
            return
        if self._crashes.is_banned_since_queued(job):
            job.refuse('quarantined')
            return
        if not job.try_mark_sent():
            return
        stream = EngineStream(
            self._engine, job.stream_id, job.request, job.cancelled
        )
        for token in stream.tokens():
            if job.cancelled.is_set():
                job.fail(Outcome.run, 'cancelled')
                return
            if token.text:
                self._handle_token(job, token, started)
            if token.finish_reason:
                self._finish_job(job, token.finish_reason)
        if not job.ended:
            job.fail(Outcome.run, 'no_finish_reason')

    def _handle_token(
        self, job: GenerationJob, token: EngineToken, started: float
    ) -> None:
        now = time.monotonic()
        gate = self.gate
        if job.generated_count:
            gate.token_gaps.observe(now - job.last_token_monotonic_seconds)
            gate.ramp.record_token()
            gate.batch_limit.record_token(gate.running_count)
        else:
            job.first_token_monotonic_seconds = now
            FIRST_TOKEN_SECONDS.observe(now - started)
            gate.ramp.first_token(now - started, job.request.prompt_tokens)
            self._crashes.on_first_token(job, now - started)
        job.last_token_monotonic_seconds = now
        job.publish(token.text)

    def _finish_job(self, job: GenerationJob, finish_reason: str) -> None:
        job.finish(finish_reason)
        self.gate.policy.estimator.observe(job.length_key, job.generated_count)
        if job.mean_gap_seconds:
            self.gate.ramp.record_answer(job.mean_gap_seconds)
        self._crashes.on_job_finished(job)

    def _cancel_job(self, job: GenerationJob, reason: str) -> None:
        if job.stop(reason):
            self.gate.drop(job)
            self._jobs.end(job)
            return
        if not job.ended:
            # The call to the engine must not block the thread of the links.
            self._cancel_pool.submit(self._cancel_in_engine, job)

    def _cancel_in_engine(self, job: GenerationJob) -> None:
        try:
            self._engine.cancel(job.stream_id)
        except BackendError as error:
            logger.warning('agent: cancel failed: %s', error)

    def _cancel_orphans(self) -> None:
        while not self._stopped.wait(ORPHAN_POLL_SECONDS):
            orphan_cutoff_seconds = (
                time.monotonic() - self._orphan_limit_seconds
            )
            for job in self._jobs.open_jobs():
                orphaned_seconds = job.orphaned_monotonic_seconds
                if (
                    orphaned_seconds
                    and orphaned_seconds < orphan_cutoff_seconds
                    and job.request.work_class != PATIENT_CLASS
                ):
                    self._cancel_job(job, 'cancelled')
