"""Resumption of streams whose connection to the caller was lost."""

import time
import urllib.parse

from wasabistream.answer_formats import (
    build_answer_format,
    decode_answer_context,
)
from wasabistream.answers import error_body
from wasabistream.backends import BackendDirectory, BackendView
from wasabistream.dispatchers import (
    DEFAULT_STATUS,
    GATE_REPLY_TIMEOUT_SECONDS,
    STATUS_BY_REASON,
    Dispatcher,
)
from wasabistream.exceptions import AttemptError, LinkError, RequestError
from wasabistream.http_servers import HttpRequest
from wasabistream.messages import Message
from wasabistream.outcomes import Outcome
from wasabistream.reply_handlers import EndHandler, GenerationReplyHandler
from wasabistream.requests import Accepted, Cancel, Resume, Token, Tokens
from wasabistream.streams import CallerStream
from wasabistream.writers import EventStreamWriter

EVENT_ID_HEADER = 'last-event-id'
# Longest wait for the link to the agent of the stream.
LINK_WAIT_SECONDS = 2.0
LINK_POLL_SECONDS = 0.05


class ResumeReplyHandler(GenerationReplyHandler):
    """Write the remaining tokens in the format of the first answer."""

    def __init__(
        self, writer: EventStreamWriter, on_end: EndHandler, next_index: int
    ) -> None:
        super().__init__(writer, on_end, next_index)
        self._event_writer = writer

    def on_message(self, message: Message) -> None:
        """Handle one message of the stream."""
        match message:
            case Accepted():
                self._event_writer.answer_format = build_answer_format(
                    decode_answer_context(message.answer_context)
                )
                super().on_message(message)
            case Tokens():
                for index, text in enumerate(
                    message.texts, message.first_index
                ):
                    super().on_message(Token(message.request_id, index, text))
            case _:
                super().on_message(message)


class StreamResumer:
    """Find the agent of a stream and forward the rest to a caller."""

    def __init__(
        self, directory: BackendDirectory, dispatcher: Dispatcher
    ) -> None:
        self._directory = directory
        self._dispatcher = dispatcher

    def find_backend_view(self, stream_id: str) -> BackendView:
        """Return the view of the agent that generates or buffers a stream.

        Waits for a link to it. Raises AttemptError if no agent with that id is
        listed or linked.
        """
        # Stream id: agent id (may contain dots), incarnation, number.
        agent_id, *incarnation_and_number = stream_id.rsplit('.', 2)
        view = self._directory.find(agent_id)
        if len(incarnation_and_number) != 2 or view is None:
            raise AttemptError('no_stream', Outcome.unknown)
        deadline = time.monotonic() + LINK_WAIT_SECONDS
        while view.link is None and time.monotonic() < deadline:
            time.sleep(LINK_POLL_SECONDS)
        if view.link is None:
            raise AttemptError('no_link', Outcome.unknown, agent_id, 1)
        return view

    def resume_stream(
        self,
        view: BackendView,
        resume: Resume,
        stream: CallerStream,
        writer: EventStreamWriter,
    ) -> None:
        """Request the rest of a stream from its agent for a caller."""

        def end(
            handler: GenerationReplyHandler, failure: AttemptError | None
        ) -> None:
            self._dispatcher.remove_attempt(view, resume.request_id)
            if failure is not None:
                write_failure(writer, failure, resume.request_id)

        stream.on_caller_lost = lambda: _send_cancel(view, resume.request_id)
        handler = ResumeReplyHandler(writer, end, resume.next_index)
        try:
            self._dispatcher.send_resume(view, resume, handler)
        except AttemptError:
            write_failure(
                writer,
                AttemptError('no_link', Outcome.unknown, '', 1),
                resume.request_id,
            )
            return
        if not handler.wait_admission_reply(GATE_REPLY_TIMEOUT_SECONDS):
            handler.on_link_lost('timeout')


def parse_event_id(request: HttpRequest) -> tuple[str, int]:
    """Return stream id and index of the next token to send.

    Raises RequestError when Last-Event-ID does not belong to the stream.
    """
    stream_id = urllib.parse.unquote(request.path.rpartition('/')[2])
    event_id = request.headers.get(EVENT_ID_HEADER, '')
    if not event_id:
        return stream_id, 0
    event_stream_id, _, index = event_id.rpartition('/')
    if event_stream_id != stream_id or not (
        index.isascii() and index.isdigit()
    ):
        raise RequestError(
            'Last-Event-ID is not an event of this stream', 400, 'bad_event_id'
        )
    return stream_id, int(index) + 1


def write_failure(
    writer: EventStreamWriter, failure: AttemptError, request_id: str
) -> None:
    """Write to a caller why its answer is not complete."""
    writer.fail(
        STATUS_BY_REASON.get(failure.reason, DEFAULT_STATUS),
        error_body(failure.reason, failure.reason, failure.outcome, request_id),
        failure.retry_after_seconds,
    )


def _send_cancel(view: BackendView, request_id: str) -> None:
    if view.link is None:
        return
    try:
        view.link.send(Cancel(request_id))
    except LinkError:
        # The agent detaches the streams of a link that ends.
        return
