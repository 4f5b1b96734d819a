"""What other log lines say about the engines and refusals of requests."""

from dataclasses import dataclass, field

from wasabistream.inspection.request_records import RequestRecord

# An engine that has announced its end is gone within this time.
NOTICE_SECONDS = 10.0


@dataclass
class LossContext:
    """Hold what other log lines say about engines, moves and refusals."""

    # Times at which the agent of an engine reported that it leaves.
    leave_times_seconds: dict[str, list[float]] = field(default_factory=dict)
    # Last message of an agent about the move of a request.
    move_messages: dict[str, str] = field(default_factory=dict)
    # Requests that were refused as no server took one before a stated wait.
    waiting_request_ids: set[str] = field(default_factory=set)
    # Requests that were refused as none of the engines would have room in time.
    no_room_request_ids: set[str] = field(default_factory=set)
    # Last reason for which a stream could not go on at a server of its software
    # version, by request.
    continuation_failures: dict[str, str] = field(default_factory=dict)
    # Why requests that resume a stream were refused.
    resume_refusals: dict[str, str] = field(default_factory=dict)
    # Time that requests waited at their entry for room at an engine.
    queue_seconds: dict[str, float] = field(default_factory=dict)

    def had_notice(self, record: RequestRecord) -> bool:
        """Return whether a server of the request left shortly before."""
        return any(
            0 <= record.ended_at_seconds - left_at <= NOTICE_SECONDS
            for server in record.servers
            for left_at in self.leave_times_seconds.get(server, ())
        )

    def is_late_by_queue(self, record: RequestRecord) -> bool:
        """Return whether a request would be in time without its wait."""
        waited_seconds = self.queue_seconds.get(record.request_id, 0)
        begun_seconds = record.first_event_seconds - waited_seconds
        return record.is_late and begun_seconds <= record.target_seconds
