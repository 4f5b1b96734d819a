"""Detection of engine crashes at an agent."""

import logging
import threading
from collections.abc import Callable, Sequence

from wasabistream.crash_notices import ClearNotice, CrashNotice
from wasabistream.engines import EngineClient
from wasabistream.exceptions import BackendError
from wasabistream.gates import Gate
from wasabistream.jobs import GenerationJob
from wasabistream.messages import Message
from wasabistream.quarantines import Quarantine

logger = logging.getLogger(__name__)

STATE_POLL_SECONDS = 0.1
WATCH_SECONDS = 1.0


class CrashDetector:
    """Find out which jobs were in an engine that crashed.

    A stream that breaks is a crash when the engine is gone or has another
    boot id. The gate stays closed until the engine answers again; that it
    answers opens the gate, but not the ramp.
    """

    def __init__(
        self,
        agent_id: str,
        engine: EngineClient,
        quarantine: Quarantine,
        broadcast: Callable[[Message], None],
    ) -> None:
        self._agent_id = agent_id
        self._engine = engine
        self._quarantine = quarantine
        self._broadcast = broadcast
        self._lock = threading.Lock()
        self._boot_id = ''
        self._batch: frozenset[str] = frozenset()
        self._stopped = threading.Event()

    def start(self, gate: Gate, boot_id: str) -> None:
        """Remember the engine that runs now."""
        self._gate = gate
        self._boot_id = boot_id
        threading.Thread(
            target=self._watch, name='engine-watch', daemon=True
        ).start()

    def stop(self) -> None:
        """Stop to wait for an engine."""
        self._stopped.set()

    def on_crash_notice(self, notice: CrashNotice | ClearNotice) -> None:
        """Take over what another agent found out."""
        if isinstance(notice, CrashNotice):
            self._quarantine.record_crash(notice.crash_id, notice.fingerprints)
        else:
            self._quarantine.record_completion(notice.fingerprint)

    def on_stream_broken(self, job: GenerationJob) -> bool:
        """Tell whether the engine crashed with a job; blame its batch."""
        with self._lock:
            if job.stream_id in self._batch or self._gate.closed_reason:
                return True
            boot_id = self._current_boot_id()
            if boot_id == self._boot_id:
                return False
            self._engine_lost(boot_id)
            return True

    def on_job_finished(self, job: GenerationJob) -> None:
        """Clear a content that ran to its end."""
        fingerprint = job.request.fingerprint
        if self._quarantine.record_completion(fingerprint):
            self._broadcast(ClearNotice(fingerprint))

    def _current_boot_id(self) -> str:
        try:
            return self._engine.state().boot_id
        except BackendError:
            return ''

    def _watch(self) -> None:
        # An engine may restart while no stream is there to break.
        while not self._stopped.wait(WATCH_SECONDS):
            with self._lock:
                boot_id = self._current_boot_id()
                known = boot_id in {'', self._boot_id}
                if not known and not self._gate.closed_reason:
                    self._engine_lost(boot_id)

    def _engine_lost(self, boot_id: str) -> None:
        waiting = self._gate.close('engine_down')
        sent = [
            job
            for job in self._gate.running_jobs()
            if job.sent and not job.ended
        ]
        self._batch = frozenset(job.stream_id for job in sent)
        crash_id = f'{self._agent_id}/{self._boot_id}'
        fingerprints = list({job.request.fingerprint for job in sent})
        logger.warning('agent: engine was lost with %d jobs in it', len(sent))
        if fingerprints:
            self._quarantine.record_crash(crash_id, fingerprints)
            # The notice goes before the ends of the streams on each link.
            self._broadcast(CrashNotice(crash_id, fingerprints))
        self._gate.ramp.on_engine_lost()
        _refuse(waiting)
        if boot_id:
            self._engine_back(boot_id)
        else:
            threading.Thread(
                target=self._wait_engine, name='engine-down', daemon=True
            ).start()

    def _wait_engine(self) -> None:
        while not self._stopped.wait(STATE_POLL_SECONDS):
            boot_id = self._current_boot_id()
            if boot_id:
                self._engine_back(boot_id)
                return

    def _engine_back(self, boot_id: str) -> None:
        self._boot_id = boot_id
        self._gate.reopen()


def _refuse(waiting: Sequence[GenerationJob]) -> None:
    for job in waiting:
        job.refuse('engine_down', 1)
