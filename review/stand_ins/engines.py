"""Stand-ins for model replicas, on top of those of the soak."""

import time
from collections.abc import Callable, Mapping
from typing import Any

from review.stand_ins.records import Record
from wasabistream_tools.soak.records import Recorder
from wasabistream_tools.soak.servers import (
    ActiveRun,
    EngineServer,
    MovedMemory,
    ServedRequest,
    StandInServer,
    shut_down,
    wait_for_caller,
)

FIRST_EVENT_SECONDS = 0.2
# A copy of some hundred tokens over the replicas' links.
COPY_SECONDS = 0.03


class Engine(EngineServer):
    """Stream numbered events that name the software that wrote them."""

    event_seconds = 0.04

    def __init__(
        self,
        server_id: str,
        data_centre: str,
        address: str,
        record: Record,
        memory: MovedMemory,
        version: str = 'v1',
        port: int = 8080,
    ) -> None:
        self.version = version
        self.record = record
        super().__init__(
            server_id,
            'writer',
            data_centre,
            address,
            Recorder(),
            port,
            moved_memory=memory,
            seed=1,
        )

    def build_item(self) -> dict[str, Any]:
        """Return the entry in the store."""
        return {**super().build_item(), 'version': self.version}

    def build_stream_headers(self, request: ServedRequest) -> dict[str, str]:
        """Return the headers of a stream."""
        return {
            'Wasabistream-Request-Attempt-Id': request.attempt_id,
            'Wasabistream-Response-Seal': self.seal(request),
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }

    def frame(self, piece: bytes) -> bytes:
        """Return an event as it is sent."""
        return b'%x\r\n%s\r\n' % (len(piece), piece)

    def end_frame(self) -> bytes:
        """Return the regular end of a stream."""
        return b'0\r\n\r\n'

    def answer_call(self, request: ServedRequest) -> tuple[int, Any] | None:
        """Answer a call; reports state the start as well."""
        outcome = super().answer_call(request)
        if outcome is not None and request.target == '/-/report':
            outcome[1]['born'] = self._born_ms
        if request.target == '/-/kv-move':
            self.record.write(
                'move order',
                replica=self.server_id,
                order=request.body.decode(),
                answer=outcome,
            )
        return outcome

    def _move(self, order: Mapping[str, Any]) -> tuple[int, Any]:
        run = self.active.get(order['id'])
        if run is None:
            return 404, {}
        if order.get('last'):
            # The run stops first; its stream is closed without its end.
            run.is_moved = True
            shut_down(run.sock)
        time.sleep(COPY_SECONDS)
        handle = self._moved_memory.add(run.event_count)
        return 200, {'handle': handle, 'create_rev': run.event_count}

    def _send_events(self, run: ActiveRun, events: list[bytes]) -> bool:
        request = run.request
        begun_count = run.event_count
        resumed = request.headers.get('last-event-id')
        if resumed and not begun_count:
            run.event_count = int(resumed)
        self.record.write(
            'run begins',
            id=request.attempt_id,
            replica=self.server_id,
            version=self.version,
            after_event=run.event_count,
            kv_from=request.headers.get('kv-from', ''),
        )
        is_done = False
        try:
            is_done = self._stream(run, events)
        finally:
            self.record.write(
                'run ends',
                id=request.attempt_id,
                replica=self.server_id,
                events=run.event_count,
                of=len(events),
                complete=is_done,
                moved=run.is_moved,
            )
        return is_done

    def _stream(self, run: ActiveRun, events: list[bytes]) -> bool:
        pause_seconds = (
            self.event_seconds if run.event_count else FIRST_EVENT_SECONDS
        )
        if not wait_for_caller(run.sock, pause_seconds) or run.is_moved:
            return False
        headers = self.build_stream_headers(run.request)
        run.sock.sendall(self.build_head(200, headers))
        for number in range(run.event_count + 1, len(events) + 1):
            if run.is_moved:
                return False
            piece = b'id: %d\ndata: %s %s\n\n' % (
                number,
                self.version.encode(),
                run.request.attempt_id.encode(),
            )
            run.sock.sendall(self.frame(piece))
            run.event_count = number
            if not wait_for_caller(run.sock, self.event_seconds):
                return False
        if run.is_moved:
            return False
        run.sock.sendall(self.end_frame())
        return True


class UnframedEngine(Engine):
    """Stream with neither a length nor chunks, up to the connection's end."""

    def build_stream_headers(self, request: ServedRequest) -> dict[str, str]:
        """Return the headers of a stream."""
        headers = super().build_stream_headers(request)
        headers.pop('Transfer-Encoding')
        return headers

    def frame(self, piece: bytes) -> bytes:
        """Return an event as it is sent."""
        return piece

    def end_frame(self) -> bytes:
        """Return nothing, as the end of the connection ends the stream."""
        return b''


class Plain(StandInServer):
    """Answer plain requests after a time."""

    work_seconds = 0.02

    def __init__(
        self,
        server_id: str,
        service: str,
        data_centre: str,
        address: str,
        record: Record,
        port: int = 0,
    ) -> None:
        self.record = record
        # Replaces the answer to a request if set; returns whether it did.
        self.intercept: Callable[[Any, ServedRequest], bool] | None = None
        super().__init__(
            server_id, service, data_centre, address, Recorder(), port
        )

    def answer(self, sock: Any, request: ServedRequest) -> None:
        """Run a request and answer it."""
        self.record.write(
            'arrives', id=request.attempt_id, replica=self.server_id
        )
        if self.intercept is not None and self.intercept(sock, request):
            return
        self.record.write(
            'run begins', id=request.attempt_id, replica=self.server_id
        )
        time.sleep(self.work_seconds)
        content = request.attempt_id.encode().ljust(800, b'.')
        headers = {
            'Wasabistream-Request-Attempt-Id': request.attempt_id,
            'Wasabistream-Response-Seal': self.seal(request),
            'Content-Length': str(len(content)),
        }
        sock.sendall(self.build_head(200, headers) + content)
