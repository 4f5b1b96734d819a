"""Weighted fair queueing between organisations."""

from collections import OrderedDict, deque
from collections.abc import Iterator

from wasabistream.jobs import GenerationJob

MAX_ORGANISATION_COUNT = 4096


class FairShares:
    """Account for the weighted work of each organisation.

    Start-time fair queueing: the organisation with the lowest start tag goes
    first. The virtual time bounds start tags from below, so that an idle
    organisation accumulates no credit.
    """

    def __init__(self) -> None:
        self._finish_tags: OrderedDict[str, float] = OrderedDict()
        self._virtual_time = 0.0

    def start_tag(self, organisation: str) -> float:
        """Return the start tag of an organisation's next job."""
        return max(self._finish_tags.get(organisation, 0.0), self._virtual_time)

    def charge(self, job: GenerationJob, tokens: float) -> None:
        """Charge the organisation of a job that starts for its tokens."""
        organisation = job.request.organisation
        start_tag = self.start_tag(organisation)
        self._virtual_time = max(self._virtual_time, start_tag)
        self._set_finish_tag(organisation, start_tag + tokens / _weight(job))

    def adjust(self, job: GenerationJob, tokens: float) -> None:
        """Charge the difference between actual and expected tokens."""
        organisation = job.request.organisation
        finish_tag = self._finish_tags.get(organisation)
        if finish_tag is not None:
            self._set_finish_tag(
                organisation, finish_tag + tokens / _weight(job)
            )

    def _set_finish_tag(self, organisation: str, finish_tag: float) -> None:
        self._finish_tags[organisation] = finish_tag
        self._finish_tags.move_to_end(organisation)
        if len(self._finish_tags) > MAX_ORGANISATION_COUNT:
            self._finish_tags.popitem(last=False)


class FairQueue:
    """Queue the jobs of one work class by organisation."""

    def __init__(self, fair_shares: FairShares) -> None:
        self._fair_shares = fair_shares
        self._jobs: dict[str, deque[GenerationJob]] = {}
        self._tokens: dict[str, float] = {}
        self.count = 0

    def __iter__(self) -> Iterator[GenerationJob]:
        for jobs in self._jobs.values():
            yield from jobs

    def add(self, job: GenerationJob) -> None:
        """Append a job to the queue of its organisation."""
        name = job.request.organisation
        self._jobs.setdefault(name, deque()).append(job)
        self._tokens[name] = self._tokens.get(name, 0) + job.expected_tokens
        self.count += 1

    def remove(self, job: GenerationJob) -> bool:
        """Remove a job; return whether it was queued."""
        name = job.request.organisation
        jobs = self._jobs.get(name)
        if jobs is None or job not in jobs:
            return False
        jobs.remove(job)
        self.count -= 1
        self._tokens[name] -= job.expected_tokens
        if not jobs:
            self._jobs.pop(name)
            self._tokens.pop(name)
        return True

    def head(self) -> GenerationJob | None:
        """Return the first job of the organisation with the lowest tag."""
        if not self._jobs:
            return None
        name = min(self._jobs, key=self._fair_shares.start_tag)
        return self._jobs[name][0]

    def oldest_job(self) -> GenerationJob | None:
        """Return the job that was queued first."""
        return min(
            (jobs[0] for jobs in self._jobs.values()),
            key=lambda job: job.queued_monotonic_seconds,
            default=None,
        )

    @property
    def tokens(self) -> float:
        """Return the expected tokens of all queued jobs."""
        return sum(self._tokens.values())

    def queued_tokens_before(self, job: GenerationJob) -> float:
        """Return the expected tokens of jobs that run before a new one."""
        weights = {name: _weight(jobs[0]) for name, jobs in self._jobs.items()}
        own_weight = _weight(job)
        weights[job.request.organisation] = own_weight
        own_tokens = self._tokens.get(job.request.organisation, 0)
        tokens_by_share = (own_tokens + 1) * sum(weights.values()) / own_weight
        return min(self.tokens, tokens_by_share)


def _weight(job: GenerationJob) -> float:
    return max(job.request.priority_weight, 0.01)
