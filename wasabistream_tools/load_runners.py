"""Open-loop load generator over HTTP against running entries."""

import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor, wait

from wasabistream_tools.load_clients import LoadClient
from wasabistream_tools.request_samples import RequestSample
from wasabistream_tools.schedules import PlannedRequest
from wasabistream_tools.workloads import Workload

# Requests in progress at most; later ones wait, and the wait counts.
MAX_THREAD_COUNT = 800
CLOSE_LIMIT_SECONDS = 10.0


class LoadRunner:
    """Send a schedule to entries in turn, whatever the answers do."""

    def __init__(self, workload: Workload, urls: Sequence[str]) -> None:
        self._workload = workload
        self._urls = list(urls)

    def run(
        self, schedule: Sequence[PlannedRequest], drain_seconds: float
    ) -> list[RequestSample]:
        """Send all requests; cut those that outlast the drain time."""
        client = LoadClient(self._workload)
        pool = ThreadPoolExecutor(MAX_THREAD_COUNT, 'load')
        started = time.monotonic()
        pending = []
        for planned in schedule:
            delay_seconds = started + planned.at_seconds - time.monotonic()
            if delay_seconds > 0:
                time.sleep(delay_seconds)
            url = self._urls[planned.number % len(self._urls)]
            pending.append(pool.submit(client.send, planned, url, started))
        wait(pending, drain_seconds)
        client.close()
        wait(pending, CLOSE_LIMIT_SECONDS)
        pool.shutdown(wait=False, cancel_futures=True)
        return [
            sending.result()
            for sending in pending
            if sending.done() and not sending.cancelled()
        ]
