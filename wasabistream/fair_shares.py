"""Weighted fair shares between organisations."""

from collections import OrderedDict, deque
from collections.abc import Iterator

from wasabistream.jobs import GenerationJob

MAX_ORGANISATION_COUNT = 4096


class FairShares:
    """Count the work given to each organisation, by its weight.

    Start-time fair queueing: the organisation with the least weighted work
    goes first, and one that was idle saves nothing up.
    """

    def __init__(self) -> None:
        self._given: OrderedDict[str, float] = OrderedDict()
        self._now = 0.0

    def given(self, organisation: str) -> float:
        """Return the weighted work of an organisation, at least the floor."""
        return max(self._given.get(organisation, 0.0), self._now)

    def charge(self, job: GenerationJob, tokens: float) -> None:
        """Count work that starts for an organisation."""
        organisation = job.request.organisation
        given = self.given(organisation)
        self._now = max(self._now, given)
        self._put(organisation, given + tokens / _weight(job))

    def correct(self, job: GenerationJob, tokens: float) -> None:
        """Add the difference between expected and real work."""
        organisation = job.request.organisation
        given = self._given.get(organisation)
        if given is not None:
            self._put(organisation, given + tokens / _weight(job))

    def _put(self, organisation: str, given: float) -> None:
        self._given[organisation] = given
        self._given.move_to_end(organisation)
        if len(self._given) > MAX_ORGANISATION_COUNT:
            self._given.popitem(last=False)


class FairQueue:
    """Queue the jobs of one class by organisation."""

    def __init__(self, ledger: FairShares) -> None:
        self._ledger = ledger
        self._jobs: dict[str, deque[GenerationJob]] = {}
        self._tokens: dict[str, float] = {}
        self.count = 0

    def __iter__(self) -> Iterator[GenerationJob]:
        for jobs in self._jobs.values():
            yield from jobs

    def add(self, job: GenerationJob) -> None:
        """Add a job behind those of its organisation."""
        name = job.request.organisation
        self._jobs.setdefault(name, deque()).append(job)
        self._tokens[name] = self._tokens.get(name, 0) + job.expected_tokens
        self.count += 1

    def remove(self, job: GenerationJob) -> bool:
        """Remove a job; tell whether it was there."""
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
        """Return the first job of the organisation that is owed most."""
        if not self._jobs:
            return None
        name = min(self._jobs, key=self._ledger.given)
        return self._jobs[name][0]

    def oldest(self) -> GenerationJob | None:
        """Return the job that has waited longest."""
        return min(
            (jobs[0] for jobs in self._jobs.values()),
            key=lambda job: job.queued_monotonic_seconds,
            default=None,
        )

    @property
    def tokens(self) -> float:
        """Return the expected work of all jobs."""
        return sum(self._tokens.values())

    def tokens_ahead(self, job: GenerationJob) -> float:
        """Return the expected work that a new job would wait for."""
        weights = {name: _weight(jobs[0]) for name, jobs in self._jobs.items()}
        own_weight = _weight(job)
        weights[job.request.organisation] = own_weight
        own_tokens = self._tokens.get(job.request.organisation, 0)
        in_turn = (own_tokens + 1) * sum(weights.values()) / own_weight
        return min(self.tokens, in_turn)


def _weight(job: GenerationJob) -> float:
    return max(job.request.priority_weight, 0.01)
