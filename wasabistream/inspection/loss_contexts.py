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

    def had_notice(self, record: RequestRecord) -> bool:
        """Return whether a server of the request left shortly before."""
        return any(
            0 <= record.ended_at_seconds - left_at <= NOTICE_SECONDS
            for server in record.servers
            for left_at in self.leave_times_seconds.get(server, ())
        )
