"""Runner of generations at an agent."""

import itertools
import logging
import threading
import time
from collections import OrderedDict

from wasabistream.buffers import StreamBuffer
from wasabistream.engine_streams import EngineStream
from wasabistream.engines import EngineClient
from wasabistream.exceptions import BackendError, RefusedError
from wasabistream.gates import Gate
from wasabistream.jobs import GenerationJob, Subscriber
from wasabistream.links import Link
from wasabistream.metrics import FIRST_TOKEN_SECONDS
from wasabistream.outcomes import Outcome
from wasabistream.requests import (
    Accepted,
    Cancel,
    Failed,
    Generate,
    Refused,
    Resume,
    Withdraw,
)

logger = logging.getLogger(__name__)

# Ended streams that stay resumable.
MAX_ENDED_COUNT = 256
ORPHAN_POLL_SECONDS = 0.5
# A cancelled stream closes its response; the engine frees the slot.
PATIENT_CLASS = 'patient'


class GenerationRunner:
    """Take generations of all links through the gate and the engine."""

    def __init__(
        self,
        agent_id: str,
        incarnation: str,
        engine: EngineClient,
        buffer_bytes: int,
        orphan_limit_seconds: float,
    ) -> None:
        self._prefix = f'{agent_id}.{incarnation}'
        self._engine = engine
        self._buffer_bytes = buffer_bytes
        self._orphan_limit_seconds = orphan_limit_seconds
        self._counter = itertools.count(1)
        self._lock = threading.Lock()
        self._jobs: dict[str, GenerationJob] = {}
        self._ended: OrderedDict[str, GenerationJob] = OrderedDict()
        self._stopped = threading.Event()
        self.gate: Gate

    def start(self, gate: Gate) -> None:
        """Start the gate and the watch for abandoned streams."""
        self.gate = gate
        gate.start()
        threading.Thread(
            target=self._cancel_orphans, name='orphans', daemon=True
        ).start()

    def stop(self) -> None:
        """Stop the threads."""
        self._stopped.set()
        self.gate.stop()

    def jobs_in_progress(self) -> list[str]:
        """Return the request ids of jobs that have not ended."""
        with self._lock:
            return [job.request.request_id for job in self._jobs.values()]

    def generate(self, link: Link, request: Generate) -> None:
        """Queue a generation and answer accepted or refused."""
        job = GenerationJob(
            request=request,
            stream_id=f'{self._prefix}.{next(self._counter)}',
            deadline_monotonic_seconds=time.monotonic()
            + request.deadline_seconds,
            buffer=StreamBuffer(self._buffer_bytes),
            subscriber=Subscriber(link, request.request_id),
            queued_monotonic_seconds=time.monotonic(),
        )
        # Accepted goes first so that no token overtakes it.
        link.send(Accepted(request.request_id, job.stream_id))
        with self._lock:
            self._jobs[job.stream_id] = job
        try:
            self.gate.submit(job)
        except RefusedError as refusal:
            self._forget(job)
            job.refuse(refusal.reason, refusal.retry_after_seconds)

    def run(self, job: GenerationJob) -> None:
        """Run an admitted job in its own thread."""
        threading.Thread(
            target=self._run, args=(job,), name=job.stream_id, daemon=True
        ).start()

    def cancel(self, link: Link, request: Cancel) -> None:
        """Stop a generation whose caller has gone."""
        job = self._find_request(request.request_id)
        if job is not None and job.request.work_class != PATIENT_CLASS:
            self._cancel(job)

    def withdraw(self, link: Link, request: Withdraw) -> None:
        """Prove that a request did not run, or stop it and say so."""
        running = self.gate.withdraw(request.request_id)
        if running is None:
            job = self._find_request(request.request_id)
            if job is not None:
                self._forget(job)
            link.send(Refused(request.request_id, Outcome.not_run, 'withdrawn'))
            return
        self._cancel(running)

    def resume(self, link: Link, request: Resume) -> None:
        """Follow a stream from an index on."""
        job = self._jobs.get(request.stream_id) or self._ended.get(
            request.stream_id
        )
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
        subscriber = Subscriber(link, request.request_id)
        if not job.attach(subscriber, request.next_index):
            link.send(Failed(request.request_id, Outcome.run, 'events_dropped'))

    def link_closed(self, link: Link) -> None:
        """Detach the streams that a link followed."""
        now = time.monotonic()
        for job in list(self._jobs.values()):
            job.detach(link, now)

    def _run(self, job: GenerationJob) -> None:
        try:
            self._follow(job)
        except BackendError as error:
            logger.warning(
                'agent: stream failed: %s',
                error,
                extra={'request_id': job.request.request_id},
            )
            job.fail(Outcome.run, 'engine_failed')
        finally:
            self.gate.release(job)
            self._forget(job)

    def _follow(self, job: GenerationJob) -> None:
        started = time.monotonic()
        if job.deadline_monotonic_seconds <= started:
            job.refuse('deadline')
            return
        stream = EngineStream(
            self._engine, job.stream_id, job.request, job.cancelled
        )
        for token in stream.tokens():
            if job.cancelled.is_set():
                job.fail(Outcome.run, 'cancelled')
                return
            if token.index == 0:
                FIRST_TOKEN_SECONDS.observe(time.monotonic() - started)
            if token.text:
                job.publish(token.text)
            if token.finish_reason:
                job.finish(token.finish_reason)
        if not job.ended:
            job.fail(Outcome.run, 'no_finish_reason')

    def _cancel(self, job: GenerationJob) -> None:
        job.cancelled.set()
        if self.gate.drop(job):
            self._forget(job)
            job.refuse('cancelled')
            return
        # The engine call must not hold up the reader thread of the link.
        threading.Thread(
            target=self._cancel_in_engine, args=(job,), daemon=True
        ).start()

    def _cancel_in_engine(self, job: GenerationJob) -> None:
        try:
            self._engine.cancel(job.stream_id)
        except BackendError as error:
            logger.warning('agent: cancel failed: %s', error)

    def _cancel_orphans(self) -> None:
        while not self._stopped.wait(ORPHAN_POLL_SECONDS):
            limit = time.monotonic() - self._orphan_limit_seconds
            for job in list(self._jobs.values()):
                orphaned = job.orphaned_monotonic_seconds
                if (
                    orphaned
                    and orphaned < limit
                    and job.request.work_class != PATIENT_CLASS
                ):
                    self._cancel(job)

    def _find_request(self, request_id: str) -> GenerationJob | None:
        for job in list(self._jobs.values()):
            subscriber = job.subscriber
            if subscriber is not None and subscriber.request_id == request_id:
                return job
        return None

    def _forget(self, job: GenerationJob) -> None:
        with self._lock:
            self._jobs.pop(job.stream_id, None)
            self._ended[job.stream_id] = job
            if len(self._ended) > MAX_ENDED_COUNT:
                self._ended.popitem(last=False)
