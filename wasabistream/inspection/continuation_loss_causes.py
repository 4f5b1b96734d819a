"""Causes of streams that broke off for lack of their software version."""

from wasabistream.continuations.continuation_failures import (
    ContinuationFailure,
)
from wasabistream.forwarding.supervisors import ENDING_REASONS, CutReason
from wasabistream.inspection.loss_contexts import LossContext
from wasabistream.inspection.loss_registry import loss_cause
from wasabistream.inspection.request_records import RequestRecord

# Streams that were cut for these reasons would not have gone on anywhere.
OWN_CAUSES = frozenset((*ENDING_REASONS, CutReason.stalled))


@loss_cause('no other server of its software version', avoidable=False)
def _no_server(record: RequestRecord, context: LossContext) -> bool:
    return _broke_off_for(ContinuationFailure.no_server, record, context)


@loss_cause('servers of its software version had no room')
def _no_available_server(record: RequestRecord, context: LossContext) -> bool:
    return _broke_off_for(
        ContinuationFailure.no_available_server, record, context
    )


@loss_cause('software version of its first event unknown')
def _unknown_version(record: RequestRecord, context: LossContext) -> bool:
    return _broke_off_for(
        ContinuationFailure.version_unknown, record, context
    ) or _broke_off_for(ContinuationFailure.server_replaced, record, context)


@loss_cause('moved to another software version')
def _moved_elsewhere(record: RequestRecord, context: LossContext) -> bool:
    return _broke_off_for(ContinuationFailure.moved_elsewhere, record, context)


def _broke_off_for(
    failure: ContinuationFailure, record: RequestRecord, context: LossContext
) -> bool:
    return (
        record.is_broken
        and record.cut_reason not in OWN_CAUSES
        and context.continuation_failures.get(record.request_id) == failure
    )
