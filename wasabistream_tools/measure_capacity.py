"""Measurement of the tokens per second that a saturated fleet generates."""

import threading
import time

from wasabistream_tools.measure_policy import PolicyComparison
from wasabistream_tools.measurement_reports import MeasurementReport
from wasabistream_tools.workload_fleets import fetch_engine_totals
from wasabistream_tools.workloads import WORKLOADS

# Multiple of the fleet's capacity at which the engines' queues never run empty.
SATURATING_LOAD = 2.0
# Time in which batches fill up before the counting starts.
FILL_SECONDS = 3.0
COUNT_SECONDS = 8.0
AFTER_COUNT_SECONDS = 1.0


def run(
    workload: str = 'saaf-dabba',
    policy: str = 'least_requests',
    seed: int = 11,
    json: bool = False,
) -> None:
    """Count the tokens that saturated engines generate under a policy.

    The engines are saturated under a baseline policy, as it admits all
    requests.
    """
    report = MeasurementReport(json)
    seconds = FILL_SECONDS + COUNT_SECONDS + AFTER_COUNT_SECONDS
    comparison = PolicyComparison(WORKLOADS[workload], seconds)
    try:
        rate = _measure_saturated_rate(comparison, policy, seed)
    finally:
        comparison.stop()
    report.add_row(
        workload=workload, policy=policy, tokens_per_second=round(rate, 1)
    )
    report.close()


def _measure_saturated_rate(
    comparison: PolicyComparison, policy: str, seed: int
) -> float:
    comparison.start([policy])
    load_thread = threading.Thread(
        target=comparison.run, args=(policy, SATURATING_LOAD, seed)
    )
    load_thread.start()
    time.sleep(FILL_SECONDS)
    before = fetch_engine_totals(comparison.fleet_of(policy))
    started_seconds = time.monotonic()
    time.sleep(COUNT_SECONDS)
    after = fetch_engine_totals(comparison.fleet_of(policy))
    counted_seconds = time.monotonic() - started_seconds
    load_thread.join()
    count = after['generated_count'] - before['generated_count']
    return count / counted_seconds


if __name__ == '__main__':
    import fire

    fire.Fire(run)
