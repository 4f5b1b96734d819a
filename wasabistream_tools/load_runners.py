"""Open-loop load generator over HTTP against running entries.

Open loop: requests are sent when they are due, whether or not earlier ones
have been answered.
"""

import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor, wait

from wasabistream_tools.load_clients import LoadClient
from wasabistream_tools.request_samples import RequestSample
from wasabistream_tools.schedules import PlannedRequest
from wasabistream_tools.workloads import Workload

# Limits the requests in progress; a further request waits for a thread, and
# its latency includes this wait.
MAX_THREAD_COUNT = 800
CLOSE_LIMIT_SECONDS = 10.0


class LoadRunner:
    """Send the requests of a schedule to entries in turn when they are due."""

    def __init__(self, workload: Workload, urls: Sequence[str]) -> None:
        self._workload = workload
        self._urls = list(urls)

    def run(
        self, schedule: Sequence[PlannedRequest], drain_seconds: float
    ) -> list[RequestSample]:
        """Send all requests; cut those that outlast the drain time.

        A request that has not ended shortly after the cut has no sample.
        """
        client = LoadClient(self._workload)
        pool = ThreadPoolExecutor(MAX_THREAD_COUNT, 'load')
        start_seconds = time.monotonic()
        futures = []
        for request in schedule:
            delay_seconds = (
                start_seconds + request.at_seconds - time.monotonic()
            )
            if delay_seconds > 0:
                time.sleep(delay_seconds)
            url = self._urls[request.number % len(self._urls)]
            futures.append(
                pool.submit(client.send, request, url, start_seconds)
            )
        wait(futures, drain_seconds)
        client.close()
        wait(futures, CLOSE_LIMIT_SECONDS)
        pool.shutdown(wait=False, cancel_futures=True)
        return [
            future.result()
            for future in futures
            if future.done() and not future.cancelled()
        ]
