"""Causes of refused requests that resume a stream; they come first."""

from wasabistream.continuations.resume_decisions import ResumeRefusal
from wasabistream.inspection.loss_contexts import LossContext
from wasabistream.inspection.loss_registry import loss_cause
from wasabistream.inspection.request_records import RequestRecord

REFUSED_STATUS = 503


@loss_cause('refused, no server has the version', avoidable=False)
def _version_gone(record: RequestRecord, context: LossContext) -> bool:
    refusal = context.resume_refusals.get(record.request_id)
    return (
        record.status == REFUSED_STATUS
        and refusal == ResumeRefusal.version_gone
    )


@loss_cause('refused, version of its stream not found')
def _version_not_found(record: RequestRecord, context: LossContext) -> bool:
    return (
        record.status == REFUSED_STATUS
        and record.request_id in context.resume_refusals
    )
