"""HTTP server of the engine stand-in."""

import json
import urllib.parse
from typing import Any

import fire

from wasabistream.http_servers import (
    ApiServer,
    HttpAnswer,
    HttpRequest,
    TakeSocket,
    json_answer,
)
from wasabistream.streams import CallerStream
from wasabistream_tools.engine import (
    MAX_QUEUED_STREAM_BYTES,
    EngineOptions,
    EngineStandIn,
)

THREAD_COUNT = 16
STREAMS_PATH_PREFIX = '/v1/streams/'


class EngineServer:
    """Serve the API of an engine, and test controls below /stand-in/."""

    def __init__(self, engine: EngineStandIn) -> None:
        self.engine = engine

    def handle(
        self, request: HttpRequest, take_socket: TakeSocket
    ) -> HttpAnswer | None:
        """Answer a request, or take over its socket for a stream."""
        if request.path.startswith('/stand-in/'):
            return self._handle_stand_in_request(
                request.path.removeprefix('/stand-in/')
            )
        if self.engine.down:
            # A real engine refuses connections while it restarts. This one is
            # accepted already, so the stand-in cuts it.
            _open_stream(take_socket).abort('down')
            return None
        if request.path == '/state':
            return json_answer(200, self.engine.state())
        if request.path == '/orders':
            executed = self.engine.execute_order(json.loads(request.body))
            return json_answer(200 if executed else 409, {})
        if request.path == '/v1/completions':
            self.engine.add_request(
                json.loads(request.body), _open_stream(take_socket)
            )
            return None
        if request.path.startswith(STREAMS_PATH_PREFIX):
            return self._handle_stream_request(request, take_socket)
        return json_answer(404, {})

    def _handle_stream_request(
        self, request: HttpRequest, take_socket: TakeSocket
    ) -> HttpAnswer | None:
        stream_id = request.path.removeprefix(STREAMS_PATH_PREFIX)
        if request.method == 'DELETE':
            self.engine.cancel(stream_id)
            return json_answer(200, {})
        fields = dict(urllib.parse.parse_qsl(request.query))
        stream = _open_stream(take_socket)
        if not self.engine.resume(stream_id, int(fields['from']), stream):
            stream.abort('no_stream')
        return None

    def _handle_stand_in_request(self, command: str) -> HttpAnswer:
        match command:
            case 'crash':
                self.engine.crash()
            case 'cold':
                self.engine.make_cold()
            case 'stall':
                self.engine.is_decoding_paused = True
            case 'unstall':
                self.engine.is_decoding_paused = False
            case 'started':
                return json_answer(
                    200, self.engine.statistics.started_stream_ids
                )
            case 'history':
                return json_answer(
                    200,
                    {
                        'runs': self.engine.statistics.runs,
                        'overloads': self.engine.statistics.overloads,
                    },
                )
            case 'state':
                return json_answer(200, self.engine.state())
        return json_answer(200, {})


def _open_stream(take_socket: TakeSocket) -> CallerStream:
    return CallerStream(take_socket(), MAX_QUEUED_STREAM_BYTES)


def serve(address: str, port: int, **options: Any) -> None:
    """Run the stand-in; `options` are fields of EngineOptions.

    `models` holds names joined by `+`.
    """
    models = str(options.pop('models', 'assistant')).split('+')
    engine = EngineStandIn(EngineOptions(models=tuple(models), **options))
    engine.start()
    handler = EngineServer(engine).handle
    ApiServer(address, port, handler, THREAD_COUNT).serve()


if __name__ == '__main__':
    fire.Fire(serve)
