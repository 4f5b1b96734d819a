"""Stand-in for a plain service that takes bookings."""

import threading
import time

import fire

from wasabistream.http_servers import (
    ApiServer,
    HttpAnswer,
    HttpRequest,
    TakeSocket,
    json_answer,
)

THREAD_COUNT = 16


class ServiceStandIn:
    """Run calls, and record each one that is not a GET as an effect."""

    def __init__(self, name: str, delay_seconds: float = 0) -> None:
        self._name = name
        self._delay_seconds = delay_seconds
        self._lock = threading.Lock()
        self._effects: list[str] = []
        # Monotonic time, tag and key of each effect; the body is both.
        self._runs: list[tuple[float, str, str]] = []
        # Whether calls run, but their connections close without an answer.
        self.lose_answers = False

    def handle(
        self, request: HttpRequest, take_socket: TakeSocket
    ) -> HttpAnswer | None:
        """Run a call, or answer on a path of the stand-in itself."""
        match request.path:
            case '/stand-in/effects':
                return json_answer(200, self._effects)
            case '/stand-in/history':
                return json_answer(200, {'runs': self._runs, 'overloads': []})
            case '/stand-in/lose_answers':
                self.lose_answers = True
                return json_answer(200, {})
            case '/stand-in/keep_answers':
                self.lose_answers = False
                return json_answer(200, {})
        time.sleep(self._delay_seconds)
        if request.method == 'GET':
            return json_answer(200, {'path': request.path, 'by': self._name})
        with self._lock:
            effect = request.body.decode()
            self._effects.append(effect)
            self._runs.append((time.monotonic(), effect, effect))
            number = len(self._effects)
        if self.lose_answers:
            take_socket().close()
            return None
        return json_answer(201, {'number': number, 'by': self._name})


def serve(address: str, port: int, name: str, delay_seconds: float = 0) -> None:
    """Run the stand-in."""
    stand_in = ServiceStandIn(name, delay_seconds)
    ApiServer(address, port, stand_in.handle, THREAD_COUNT).serve()


if __name__ == '__main__':
    fire.Fire(serve)
