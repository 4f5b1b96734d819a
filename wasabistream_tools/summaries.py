"""Summaries of samples, together and by kind of request."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any

from hdrh.histogram import HdrHistogram

from wasabistream_tools.request_samples import RequestSample

MIN_DURATION_MICROSECONDS = 1
MAX_DURATION_MICROSECONDS = 600 * 1000 * 1000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_SECOND = 1000 * 1000
PERCENTILES = (50, 95, 99)


def compute_percentiles_ms(
    durations_seconds: Iterable[float], prefix: str
) -> dict[str, float]:
    """Return percentiles of durations under keys with the prefix."""
    histogram = HdrHistogram(
        MIN_DURATION_MICROSECONDS, MAX_DURATION_MICROSECONDS, SIGNIFICANT_DIGITS
    )
    for duration_seconds in durations_seconds:
        histogram.record_value(
            max(1, int(duration_seconds * MICROSECONDS_PER_SECOND))
        )
    return {
        f'{prefix}_p{percentile}_ms': histogram.get_value_at_percentile(
            percentile
        )
        / 1000
        for percentile in PERCENTILES
    }


def summarise_samples(
    samples: Sequence[RequestSample], seconds: float
) -> dict[str, Any]:
    """Return counts, goodput and latencies of a run of `seconds`."""
    complete = [sample for sample in samples if sample.complete]
    incomplete_counts = Counter(
        f'{sample.reason}/{sample.outcome}'
        for sample in samples
        if not sample.complete
    )
    return {
        # Requests that ended; one still open after the cut has no sample.
        'sent_count': len(samples),
        'complete_count': len(complete),
        'goodput_tokens_per_second': sum(item.token_count for item in complete)
        / seconds,
        **compute_percentiles_ms(
            (gap for item in samples for gap in item.token_gaps_seconds), 'gap'
        ),
        **compute_percentiles_ms(
            (
                item.first_token_seconds
                for item in samples
                if item.first_token_seconds >= 0
            ),
            'first_token',
        ),
        'not_complete_by_reason': dict(incomplete_counts),
    }


def summarise_by_kind(
    samples: Sequence[RequestSample], seconds: float
) -> dict[str, dict[str, Any]]:
    """Return the figures of a run for each kind of request."""
    kinds = sorted({sample.kind for sample in samples})
    return {
        kind: summarise_samples(
            [item for item in samples if item.kind == kind], seconds
        )
        for kind in kinds
    }
