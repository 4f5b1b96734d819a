"""Causes of requests that were not served in time, in order of precedence."""

from wasabistream.inspection import (
    continuation_loss_causes,
    resume_causes,
)
from wasabistream.inspection.loss_contexts import LossContext
from wasabistream.inspection.loss_registry import (
    LossCause,
    list_causes,
    loss_cause,
)
from wasabistream.inspection.request_records import RequestRecord

# In order of precedence.
CAUSE_MODULES = (
    resume_causes.__name__,
    continuation_loss_causes.__name__,
    __name__,
)


def find_cause(record: RequestRecord, context: LossContext) -> LossCause:
    """Return the first cause that applies; the last one always does."""
    return next(
        cause
        for cause in list_causes(CAUSE_MODULES)
        if cause.applies(record, context)
    )


@loss_cause('entry ended with the request', avoidable=False)
def _entry_ended(record: RequestRecord, context: LossContext) -> bool:
    return record.outcome == 'lost' or record.cut_reason == 'stopping'


@loss_cause('caller left')
def _caller_left(record: RequestRecord, context: LossContext) -> bool:
    return record.cut_reason in {'caller_left', 'resumed'}


@loss_cause('a part of its prompt crashes servers', avoidable=False)
def _poison_part(record: RequestRecord, context: LossContext) -> bool:
    return record.cut_reason == 'poison_part'


@loss_cause('stalled at the engine')
def _stalled(record: RequestRecord, context: LossContext) -> bool:
    return record.outcome == 'cut' and record.cut_reason == 'stalled'


@loss_cause('deadline passed')
def _deadline(record: RequestRecord, context: LossContext) -> bool:
    return record.cut_reason == 'timeout' or record.status == 504


@loss_cause('refused, servers state limits or waits', avoidable=False)
def _limited(record: RequestRecord, context: LossContext) -> bool:
    return record.request_id in context.waiting_request_ids


@loss_cause('refused, no room in time')
def _no_room_in_time(record: RequestRecord, context: LossContext) -> bool:
    return record.request_id in context.no_room_request_ids


@loss_cause('refused, not run')
def _refused(record: RequestRecord, context: LossContext) -> bool:
    return record.status in {429, resume_causes.REFUSED_STATUS}


@loss_cause('failed at each server that ran it', avoidable=False)
def _failed(record: RequestRecord, context: LossContext) -> bool:
    return record.status >= 500 and record.status != 502


@loss_cause('engine left with notice, move came late')
def _moved_late(record: RequestRecord, context: LossContext) -> bool:
    moved = context.move_messages.get(record.request_id) == 'mover: moved'
    return record.is_broken and moved


@loss_cause('engine left with notice, no room for a move')
def _no_room(record: RequestRecord, context: LossContext) -> bool:
    has_tried = record.request_id in context.move_messages
    return record.is_broken and has_tried


@loss_cause('engine left with notice, not moved')
def _not_moved(record: RequestRecord, context: LossContext) -> bool:
    return record.is_broken and context.had_notice(record)


@loss_cause('server ended without notice', avoidable=False)
def _crashed(record: RequestRecord, context: LossContext) -> bool:
    return record.is_broken


@loss_cause('waited for room')
def _waited_for_room(record: RequestRecord, context: LossContext) -> bool:
    return record.is_stream and context.is_late_by_queue(record)


@loss_cause('waited for the first event')
def _waited(record: RequestRecord, context: LossContext) -> bool:
    return record.is_stream and record.is_late


@loss_cause('pause at a move')
def _paused_at_move(record: RequestRecord, context: LossContext) -> bool:
    return record.has_long_gap and record.move_count > 0


@loss_cause('pause at the engine')
def _paused(record: RequestRecord, context: LossContext) -> bool:
    return record.has_long_gap


@loss_cause('answered late')
def _late(record: RequestRecord, context: LossContext) -> bool:
    return record.is_late


@loss_cause('other')
def _other(record: RequestRecord, context: LossContext) -> bool:
    return True
