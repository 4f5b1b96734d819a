"""Detection of engine crashes at an agent."""

import logging
import threading
from collections.abc import Callable, Sequence

from wasabistream.crash_notices import (
    ClearNotice,
    CrashMessage,
    CrashNotice,
)
from wasabistream.engines import EngineClient
from wasabistream.exceptions import BackendError
from wasabistream.gates import Gate
from wasabistream.jobs import GenerationJob
from wasabistream.messages import Message
from wasabistream.part_notices import PartBanNotice
from wasabistream.poison_part_guards import PoisonPartGuard
from wasabistream.quarantines import Quarantine

logger = logging.getLogger(__name__)

RECOVERY_POLL_SECONDS = 0.1
BOOT_ID_POLL_SECONDS = 1.0


class CrashDetector:
    """Detect engine crashes and record which jobs were in the engine.

    A broken stream means a crash if the engine is unreachable or has another
    boot id. The gate stays closed until the engine is reachable again; that
    opens the gate, but not the ramp.
    """

    def __init__(
        self,
        agent_id: str,
        engine: EngineClient,
        quarantine: Quarantine,
        broadcast: Callable[[Message], None],
        part_guard: PoisonPartGuard,
    ) -> None:
        self._agent_id = agent_id
        self._engine = engine
        self._quarantine = quarantine
        self._broadcast = broadcast
        self._part_guard = part_guard
        self._lock = threading.Lock()
        self._boot_id = ''
        self._lost_stream_ids: frozenset[str] = frozenset()
        self._stopped = threading.Event()

    def start(self, gate: Gate, boot_id: str) -> None:
        """Start to watch the engine, whose present run has this boot id."""
        self._gate = gate
        self._boot_id = boot_id
        threading.Thread(
            target=self._poll_boot_id, name='engine-watch', daemon=True
        ).start()

    def stop(self) -> None:
        """Stop the threads that watch the engine."""
        self._stopped.set()

    def on_crash_notice(self, notice: CrashMessage) -> None:
        """Apply what another process has found out about a request."""
        if isinstance(notice, CrashNotice):
            self._quarantine.record_crash(
                notice.crash_id,
                notice.fingerprints,
                notice.request_count,
                notice.age_seconds,
            )
        elif isinstance(notice, ClearNotice):
            self._quarantine.record_completion(notice.fingerprint)
        elif self._part_guard.on_notice(notice) and isinstance(
            notice, PartBanNotice
        ):
            # Entries have no links to each other for the trials they start.
            self._broadcast(notice)

    def describe(self) -> list[Message]:
        """Return the notices for an entry that has just been linked."""
        return [*self._quarantine.describe(), *self._part_guard.describe()]

    def on_stream_broken(self, job: GenerationJob) -> bool:
        """Return whether the engine crashed; record the crash if it is new."""
        with self._lock:
            if (
                job.stream_id in self._lost_stream_ids
                or self._gate.closed_reason
            ):
                return True
            boot_id = self._read_boot_id()
            if boot_id == self._boot_id:
                return False
            self._on_engine_lost(boot_id)
            return True

    def is_banned_since_queued(self, job: GenerationJob) -> bool:
        """Return whether a part of a queued job has been banned meanwhile."""
        return self._part_guard.refuses_since(
            job.request, job.queued_monotonic_seconds
        )

    def on_first_token(self, job: GenerationJob, age_seconds: float) -> None:
        """Clear the parts of the prompt of a job that is being answered.

        `age_seconds` is the time since it was sent to the engine.
        """
        self._part_guard.record_answer(job.request, age_seconds)

    def on_job_finished(self, job: GenerationJob) -> None:
        """Clear a finished job's request of suspicion, and broadcast that."""
        fingerprint = job.request.fingerprint
        if self._quarantine.record_completion(fingerprint):
            self._broadcast(ClearNotice(fingerprint))

    def _read_boot_id(self) -> str:
        try:
            return self._engine.state().boot_id
        except BackendError:
            return ''

    def _poll_boot_id(self) -> None:
        # An engine may restart while it runs no stream that could break.
        while not self._stopped.wait(BOOT_ID_POLL_SECONDS):
            with self._lock:
                boot_id = self._read_boot_id()
                is_expected = boot_id in {'', self._boot_id}
                if not is_expected and not self._gate.closed_reason:
                    self._on_engine_lost(boot_id)

    def _on_engine_lost(self, boot_id: str) -> None:
        waiting = self._gate.close('engine_down')
        sent = [
            job
            for job in self._gate.running_jobs()
            if job.sent and not job.ended
        ]
        self._lost_stream_ids = frozenset(job.stream_id for job in sent)
        crash_id = f'{self._agent_id}/{self._boot_id}'
        fingerprints = list({job.request.fingerprint for job in sent})
        logger.warning('agent: engine was lost with %d jobs in it', len(sent))
        if fingerprints:
            self._quarantine.record_crash(crash_id, fingerprints)
            # On each link the notice is sent before the ends of the streams.
            self._broadcast(CrashNotice(crash_id, fingerprints))
        for job in sent:
            if not job.generated_count:
                self._part_guard.record_crash(
                    crash_id, job.request, has_begun=False
                )
        self._gate.ramp.on_engine_lost()
        _refuse_jobs(waiting)
        if boot_id:
            self._on_engine_restarted(boot_id)
        else:
            threading.Thread(
                target=self._wait_for_engine, name='engine-down', daemon=True
            ).start()

    def _wait_for_engine(self) -> None:
        while not self._stopped.wait(RECOVERY_POLL_SECONDS):
            boot_id = self._read_boot_id()
            if boot_id:
                self._on_engine_restarted(boot_id)
                return

    def _on_engine_restarted(self, boot_id: str) -> None:
        self._boot_id = boot_id
        self._gate.reopen()


def _refuse_jobs(waiting: Sequence[GenerationJob]) -> None:
    for job in waiting:
        job.refuse('engine_down', 1)
