"""Table of the jobs of one agent."""

import threading
from collections import OrderedDict

from wasabistream.exceptions import AttemptError
from wasabistream.jobs import GenerationJob
from wasabistream.outcomes import Outcome

# Ended streams that callers can still resume.
MAX_ENDED_COUNT = 256
# Limit for each of two kinds of request ids: those that were withdrawn before
# their requests arrived, and those of ended requests. An entry withdraws within
# seconds, so older ids are not needed.
MAX_ID_COUNT = 10000


class JobTable:
    """Find jobs by stream id and by request id."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._open: dict[str, GenerationJob] = {}
        self._ended: OrderedDict[str, GenerationJob] = OrderedDict()
        self._by_request: OrderedDict[str, GenerationJob] = OrderedDict()
        self._withdrawn: OrderedDict[str, None] = OrderedDict()

    def add(self, job: GenerationJob) -> None:
        """Add a new job.

        Raises AttemptError for an id that was withdrawn before, and KeyError
        for an id that is already in the table.
        """
        request_id = job.request.request_id
        with self._lock:
            if request_id in self._withdrawn:
                raise AttemptError('withdrawn', Outcome.not_run)
            if request_id in self._by_request:
                raise KeyError(request_id)
            self._open[job.stream_id] = job
            self._by_request[request_id] = job
            self._trim_request_ids()

    def add_request_id(self, request_id: str, job: GenerationJob) -> None:
        """Map another request id, that of a resume, to a job."""
        with self._lock:
            self._by_request[request_id] = job
            self._trim_request_ids()

    def end(self, job: GenerationJob) -> None:
        """Move a job to the ended ones, which stay resumable for a while."""
        with self._lock:
            if self._open.pop(job.stream_id, None) is None:
                return
            self._ended[job.stream_id] = job
            if len(self._ended) > MAX_ENDED_COUNT:
                _, oldest_job = self._ended.popitem(last=False)
                # Its request id is kept; its texts are freed.
                oldest_job.discard_texts()

    def withdraw(self, request_id: str) -> GenerationJob | None:
        """Return the job of a request id, or refuse the id from now on."""
        with self._lock:
            job = self._by_request.get(request_id)
            if job is None:
                self._withdrawn[request_id] = None
                while len(self._withdrawn) > MAX_ID_COUNT:
                    self._withdrawn.popitem(last=False)
            return job

    def by_request(self, request_id: str) -> GenerationJob | None:
        """Return the job of a request id."""
        return self._by_request.get(request_id)

    def by_stream(self, stream_id: str) -> GenerationJob | None:
        """Return the job of a stream id that is open or has just ended."""
        with self._lock:
            return self._open.get(stream_id) or self._ended.get(stream_id)

    def open_jobs(self) -> list[GenerationJob]:
        """Return the jobs that have not ended."""
        with self._lock:
            return list(self._open.values())

    def _trim_request_ids(self) -> None:
        while len(self._by_request) > MAX_ID_COUNT:
            request_id, job = self._by_request.popitem(last=False)
            if not job.ended:
                self._by_request[request_id] = job
                return
