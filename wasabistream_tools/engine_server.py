"""HTTP side of the engine stand-in."""

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
    STREAM_LIMIT_BYTES,
    EngineOptions,
    EngineStandIn,
)

THREAD_COUNT = 16
STREAMS_PREFIX = '/v1/streams/'


class EngineServer:
    """Answer the requests that an engine client sends."""

    def __init__(self, engine: EngineStandIn) -> None:
        self.engine = engine

    def handle(
        self, request: HttpRequest, take_socket: TakeSocket
    ) -> HttpAnswer | None:
        """Answer one request or take over its socket for a stream."""
        if request.path.startswith('/stand-in/'):
            return self._inject(request.path.removeprefix('/stand-in/'))
        if self.engine.down:
            # A restarting engine accepts no connection; closing is closest.
            _stream(take_socket).abort('down')
            return None
        if request.path == '/state':
            return json_answer(200, self.engine.state())
        if request.path == '/orders':
            accepted = self.engine.execute_order(json.loads(request.body))
            return json_answer(200 if accepted else 409, {})
        if request.path == '/v1/completions':
            self.engine.add(json.loads(request.body), _stream(take_socket))
            return None
        if request.path.startswith(STREAMS_PREFIX):
            return self._follow(request, take_socket)
        return json_answer(404, {})

    def _follow(
        self, request: HttpRequest, take_socket: TakeSocket
    ) -> HttpAnswer | None:
        stream_id = request.path.removeprefix(STREAMS_PREFIX)
        if request.method == 'DELETE':
            self.engine.cancel(stream_id)
            return json_answer(200, {})
        fields = dict(urllib.parse.parse_qsl(request.query))
        stream = _stream(take_socket)
        if not self.engine.resume(stream_id, int(fields['from']), stream):
            stream.abort('no_stream')
        return None

    def _inject(self, fault: str) -> HttpAnswer:
        match fault:
            case 'crash':
                self.engine.crash()
            case 'cold':
                self.engine.make_cold()
            case 'stall':
                self.engine.stalled = True
            case 'unstall':
                self.engine.stalled = False
            case 'started':
                return json_answer(200, self.engine.counts.started)
            case 'history':
                return json_answer(
                    200,
                    {
                        'runs': self.engine.counts.runs,
                        'overloads': self.engine.counts.overloads,
                    },
                )
            case 'state':
                return json_answer(200, self.engine.state())
        return json_answer(200, {})


def _stream(take_socket: TakeSocket) -> CallerStream:
    return CallerStream(take_socket(), STREAM_LIMIT_BYTES)


def serve(address: str, port: int, **options: Any) -> None:
    """Run the stand-in; options are those of EngineOptions."""
    models = str(options.pop('models', 'assistant')).split('+')
    engine = EngineStandIn(EngineOptions(models=tuple(models), **options))
    engine.start()
    handler = EngineServer(engine).handle
    ApiServer(address, port, handler, THREAD_COUNT).serve()


if __name__ == '__main__':
    fire.Fire(serve)
