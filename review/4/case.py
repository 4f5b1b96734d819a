"""An engine's address goes to another service while the store is down (ROUTE)."""

import json
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))

import standins as s  # noqa: E402

ZONES = ('lhr-gulberg', 'lhr-johar', 'rwp-saddar')
CALM_SECONDS = 8.0
# Three heartbeats of 1.2 s, after which the store removes a silent replica.
EXPIRY_SECONDS = 3.6
DOWN_AT_SECONDS = 4.0
# `reuse_after_s` is 2.
REUSE_AT_SECONDS = 4.2
DOWN_SECONDS = 4.5
# The sheet's engines and rates.
ENGINE_COUNT = 6
DRAFTS_PER_SECOND = 2.29
CHATS_PER_SECOND = 3.23
DRAFT_EVENTS = 235
CHAT_EVENTS = 3
EVENT_SECONDS = 0.04
EVENT_TOKENS = 4
PROMPT_TOKENS_PER_SECOND = 14000


class Engine:
    """Runs generations at the sheet's pace and reports them."""

    def __init__(self):
        self.lock = threading.Lock()
        self.runs = {}

    def respond(self, server, sock, request):
        if request.target == '/-/report':
            s.answer_whole(sock, request, json.dumps(self.report()).encode())
            return
        tokens = int(request.headers['wasabistream-token-usage'].split(',')[0])
        is_draft = request.target.startswith(s.DRAFT)
        count = DRAFT_EVENTS if is_draft else CHAT_EVENTS
        with self.lock:
            self.runs[request.id] = [tokens, 0]
        try:
            time.sleep(tokens / PROMPT_TOKENS_PER_SECOND)
            self.stream(sock, request, count)
        finally:
            with self.lock:
                self.runs.pop(request.id)

    def stream(self, sock, request, count):
        lines = [
            'HTTP/1.1 200 OK',
            f'Wasabistream-Request-Attempt-Id: {request.id}',
            f'Wasabistream-Response-Seal: {s.seal(request, b"x" * count)}',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
            'Connection: close',
        ]
        sock.sendall('\r\n'.join(lines).encode() + b'\r\n\r\n')
        for number in range(1, count + 1):
            event = b'id: %d\ndata: %s %d\n\n' % (
                number, request.id.encode(), number
            )
            sock.sendall(b'%x\r\n%s\r\n' % (len(event), event))
            with self.lock:
                self.runs[request.id][1] = number
            time.sleep(EVENT_SECONDS)
        sock.sendall(b'0\r\n\r\n')

    def report(self):
        with self.lock:
            runs = [
                [run_id, tokens + made * EVENT_TOKENS, made, 0]
                for run_id, (tokens, made) in self.runs.items()
            ]
        return {
            'stage': 'both',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False, 'sequence': 2, 'waiting': 0, 'running': len(runs),
            'kv_used': sum(row[1] for row in runs), 'kv_total': 34252,
            'handles': 0, 'state': 'ready', 'next': 0, 'runs': runs,
        }


def respond_app(server, sock, request):
    time.sleep(0.02)
    s.answer_whole(sock, request, b'{"booked":true}')


def play(case):
    store = s.Store(case)
    link_port = s.free_port(
        *(f'127.0.1.{n}' for n in (1, 2)),
        *(f'127.0.2.{n + 1}' for n in range(ENGINE_COUNT)),
    )
    fronts = [
        s.Front(f'front-{zone}-1', f'127.0.1.{number + 1}', zone)
        for number, zone in enumerate(ZONES[:2])
    ]
    seeds = [front.control for front in fronts]
    engines = []
    for number in range(ENGINE_COUNT):
        zone = ZONES[number % len(ZONES)]
        address = f'127.0.2.{number + 1}'
        engine = s.Server(
            case, f'i-llm-{number}', 'dabba-llm', zone, address,
            Engine().respond,
        )
        engines.append(engine)
        store.put(f'servers/{engine.name}', engine.item())
        node = s.node_settings(
            f'side-{zone}-{number}', 'side', address, zone, store, seeds,
            {'link': link_port}, 232, app=engine.endpoint, service='dabba-llm',
        )
        case.start('agent', f'side-{number}', node, s.free_port(address))
    for number, zone in enumerate(ZONES):
        app = s.Server(
            case, f'i-app-{number}', 'dabba-app', zone, f'127.0.3.{number + 1}',
            respond_app,
        )
        store.put(f'servers/{app.name}', app.item(slots=6))
    store.put('op/config', s.configuration())
    for front in fronts:
        front.start(case, store, seeds, link_port)
    for front in fronts:
        s.wait_until(front.is_ready, 20, f'{front.name}')
    time.sleep(2)

    stopped = threading.Event()
    answers = []

    def ask(front, kind, request_id):
        is_draft = kind == 'draft'
        answer = s.exchange(
            front.endpoint, request_id, 'POST',
            (s.DRAFT if is_draft else s.CHAT) + 'x', s.HOST,
            body=b'{"text":"hello"}', deadline_ms=39000 if is_draft else 6000,
            extra=s.generation_headers(
                3079 if is_draft else 2550, 940 if is_draft else 12, request_id
            ),
        )
        answers.append(answer.status)
        case.log('answer', id=request_id, status=answer.status,
                 complete=answer.complete, error=answer.error,
                 body=answer.body[:40].decode('latin-1'))

    def send(kind, per_second):
        number = 0
        while not stopped.wait(1 / per_second):
            number += 1
            threading.Thread(
                target=ask, daemon=True,
                args=(fronts[number % 2], kind, f'{kind}-{number:04}'),
            ).start()

    for kind, per_second in (
        ('draft', DRAFTS_PER_SECOND), ('chat', CHATS_PER_SECOND)
    ):
        threading.Thread(
            target=send, args=(kind, per_second), daemon=True
        ).start()
    time.sleep(CALM_SECONDS)
    served = sum(status == 200 for status in answers)
    newcomer = None
    began = time.monotonic()

    def sleep_until(seconds):
        time.sleep(max(began + seconds - time.monotonic(), 0))

    if case.trouble:
        lost = engines[-1]
        case.log('machine lost for good', server=lost.name)
        case.kill(f'side-{ENGINE_COUNT - 1}')
        lost.close()
        sleep_until(EXPIRY_SECONDS)
        store.remove(f'servers/{lost.name}')
        sleep_until(DOWN_AT_SECONDS)
        store.set_busy(True)
        sleep_until(REUSE_AT_SECONDS)
        address, _, port = lost.endpoint.rpartition(':')
        newcomer = s.Server(
            case, 'i-app-9', 'dabba-app', ZONES[2], address, respond_app,
            int(port),
        )
        case.log('address goes to dabba-app', server=newcomer.name,
                 address=newcomer.endpoint)
    sleep_until(DOWN_AT_SECONDS + DOWN_SECONDS)
    if newcomer is not None:
        store.set_busy(False)
        store.put(f'servers/{newcomer.name}', newcomer.item(slots=6))
    sleep_until(DOWN_AT_SECONDS + DOWN_SECONDS + 2)
    stopped.set()
    foreign = [] if newcomer is None else newcomer.runs
    case.log('summary', served_before=served, answers=len(answers),
             run_by_another_service=foreign)
    print(f'{len(foreign)} generations run by dabba-app')
    if served < 8:
        raise s.CannotRun('too few requests are served before the disruption')
    return s.BROKEN if foreign else s.HELD


sys.exit(s.run_case(Path(__file__).parent, play))
