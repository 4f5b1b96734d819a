"""Messages by which agents announce stops of runs."""

from dataclasses import dataclass

from wasabistream.messages import Message, message

# First protocol version whose entries reply, and whose agents wait for it.
STOP_NOTICES_VERSION = 6


@message(118)
@dataclass(frozen=True, slots=True)
class StreamedRunsQuery(Message):
    """Ask which runs of the sender's engine, which leaves, are streamed."""

    run_ids: list


@message(119)
@dataclass(frozen=True, slots=True)
class StreamedRunsReply(Message):
    """List the runs that the sender streams."""

    run_ids: list


@message(116)
@dataclass(frozen=True, slots=True)
class StopNotice(Message):
    """Announce that a run of the sender's engine is about to be stopped."""

    run_id: str


@message(117)
@dataclass(frozen=True, slots=True)
class StopNoticeReply(Message):
    """Confirm that the sender streams the run and has recorded the notice."""

    run_id: str
