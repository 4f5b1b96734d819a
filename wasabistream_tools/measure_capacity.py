"""Measurement of the tokens per second that a fleet sustains."""

import threading
import time

from wasabistream_tools.measure_policy import PolicyMeasure
from wasabistream_tools.measurement_reports import MeasurementReport
from wasabistream_tools.workload_fleets import engine_totals
from wasabistream_tools.workloads import WORKLOADS

# Load at which queues are never empty.
SATURATING_LOAD = 2.0
# Batches fill up before the count starts.
FILL_SECONDS = 3.0
COUNT_SECONDS = 8.0
MARGIN_SECONDS = 1.0


def run(
    workload: str = 'saaf-dabba',
    policy: str = 'least_requests',
    seed: int = 11,
    json: bool = False,
) -> None:
    """Count the tokens of saturated engines without admission control."""
    report = MeasurementReport(json)
    seconds = FILL_SECONDS + COUNT_SECONDS + MARGIN_SECONDS
    measure = PolicyMeasure(WORKLOADS[workload], seconds)
    try:
        rate = _saturated_rate(measure, policy, seed)
    finally:
        measure.stop()
    report.add(
        workload=workload, policy=policy, tokens_per_second=round(rate, 1)
    )
    report.close()


def _saturated_rate(measure: PolicyMeasure, policy: str, seed: int) -> float:
    measure.start([policy])
    sending = threading.Thread(
        target=measure.run, args=(policy, SATURATING_LOAD, seed)
    )
    sending.start()
    time.sleep(FILL_SECONDS)
    before = engine_totals(measure.fleet(policy))
    started = time.monotonic()
    time.sleep(COUNT_SECONDS)
    after = engine_totals(measure.fleet(policy))
    counted_seconds = time.monotonic() - started
    sending.join()
    count = after['generated_count'] - before['generated_count']
    return count / counted_seconds


if __name__ == '__main__':
    import fire

    fire.Fire(run)
