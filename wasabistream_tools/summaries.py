"""Summaries of samples by work class."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any

from hdrh.histogram import HdrHistogram

from wasabistream_tools.request_samples import RequestSample

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600 * 1000 * 1000
SIGNIFICANT_DIGITS = 3
MICROSECONDS = 1000 * 1000
PERCENTILES = (50, 95, 99)


def percentiles_ms(durations: Iterable[float], prefix: str) -> dict[str, float]:
    """Return the percentiles of durations given in seconds."""
    histogram = HdrHistogram(
        LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
    )
    for duration in durations:
        histogram.record_value(max(1, int(duration * MICROSECONDS)))
    return {
        f'{prefix}_p{percentile}_ms': histogram.get_value_at_percentile(
            percentile
        )
        / 1000
        for percentile in PERCENTILES
    }


def summarize(
    samples: Sequence[RequestSample], seconds: float
) -> dict[str, Any]:
    """Return the figures of a set of samples."""
    complete = [sample for sample in samples if sample.complete]
    refusals = Counter(
        f'{sample.reason}/{sample.outcome}'
        for sample in samples
        if not sample.complete
    )
    return {
        'sent_count': len(samples),
        'complete_count': len(complete),
        'goodput_tokens_per_second': sum(item.token_count for item in complete)
        / seconds,
        **percentiles_ms(
            (gap for item in samples for gap in item.gaps_seconds), 'gap'
        ),
        **percentiles_ms(
            (
                item.first_token_seconds
                for item in samples
                if item.first_token_seconds >= 0
            ),
            'first_token',
        ),
        'not_complete_by_reason': dict(refusals),
    }


def summarize_classes(
    samples: Sequence[RequestSample], seconds: float
) -> dict[str, dict[str, Any]]:
    """Return the figures of each kind of request."""
    kinds = sorted({sample.kind for sample in samples})
    return {
        kind: summarize(
            [item for item in samples if item.kind == kind], seconds
        )
        for kind in kinds
    }
