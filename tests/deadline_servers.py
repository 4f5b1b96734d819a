"""Servers that stop their work at the remaining time that they are told."""

import time
from dataclasses import dataclass

from tests.platform_paths import BackendHandler, answer_report

PIECE_SECONDS = 0.02
EVENT_COUNT = 30
PIECE_COUNT = 30
PIECE = b'x' * 20


@dataclass
class DeadlineServer:
    """Write an answer piece by piece until the deadline or its end.

    Its answers have neither a length nor chunks. It stops between two pieces.
    """

    piece_count: int = PIECE_COUNT
    status: int = 200
    # Time before the deadline at which it stops.
    early_seconds: float = 0
    # Pieces that it has written to each answer.
    written_counts: tuple[int, ...] = ()

    def respond(self, handler: BackendHandler) -> None:
        """Answer a request; as an engine, a stream of events."""
        started_seconds = time.monotonic()
        if handler.path == '/-/report':
            answer_report(handler)
            return
        remaining_ms = int(handler.headers['Wasabistream-Deadline-Remaining'])
        deadline_seconds = started_seconds + remaining_ms / 1000
        is_stream = handler.path.startswith('/chat/x')
        self._write_head(handler, is_stream=is_stream)
        written_count = 0
        while written_count < self.piece_count:
            left_seconds = deadline_seconds - time.monotonic()
            left_seconds -= self.early_seconds
            if left_seconds <= 0:
                break
            written_count += 1
            handler.wfile.write(
                b'id: %d\ndata: a\n\n' % written_count if is_stream else PIECE
            )
            if written_count < self.piece_count:
                time.sleep(min(PIECE_SECONDS, max(left_seconds, 0)))
        handler.close_connection = True
        self.written_counts += (written_count,)

    def _write_head(self, handler: BackendHandler, *, is_stream: bool) -> None:
        media_type = 'text/event-stream' if is_stream else 'application/json'
        handler.send_response(self.status)
        handler.send_header(
            'Wasabistream-Request-Attempt-Id',
            handler.headers['Wasabistream-Request-Attempt-Id'],
        )
        handler.send_header('Wasabistream-Response-Seal', 's')
        handler.send_header('Content-Type', media_type)
        handler.end_headers()
