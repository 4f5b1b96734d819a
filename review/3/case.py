"""A replica spoils one header line of a few answers (MIXED)."""

import sys
import threading
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))

import standins as s  # noqa: E402

LOOK_COUNT = 300
CHAT_COUNT = 60
CLIENT_COUNT = 6
# garble: at most half of the replicas, two of a hundred of their answers.
SPOILED_EACH = 50
EVENTS = 5
SPOILED_LINE = 'D\x80te\x01 Sat, 05 Dec 2026 09:00:00 GMT'
DATE_LINE = 'Date: Sat, 05 Dec 2026 09:00:00 GMT'


def look_body(request):
    return b'{"bin":"%s","washed":true}' % request.id.encode() * 20


def chat_events(request):
    return [
        b'id: %d\ndata: %s token %d\n\n' % (number, request.id.encode(), number)
        for number in range(1, EVENTS + 1)
    ]


def chunk(piece):
    return b'%x\r\n%s\r\n' % (len(piece), piece)


class Replica:
    """Answers in chunks; spoils one line of each fiftieth head, if faulty."""

    def __init__(self, spoils):
        self.spoils = spoils
        self.bodies = {}
        self.count = 0
        self.lock = threading.Lock()

    def respond(self, server, sock, request):
        is_chat = request.target.startswith(s.CHAT)
        pieces = chat_events(request) if is_chat else [look_body(request)]
        body = b''.join(pieces)
        with self.lock:
            self.count += 1
            spoiled = self.spoils and self.count % SPOILED_EACH == 25
            self.bodies[request.id] = body
        if spoiled:
            server.case.log('spoiled head', server=server.name, id=request.id)
        lines = [
            'HTTP/1.1 200 OK',
            f'Wasabistream-Request-Attempt-Id: {request.id}',
            f'Wasabistream-Response-Seal: {s.seal(request, body)}',
            SPOILED_LINE if spoiled else DATE_LINE,
            'Content-Type: '
            + ('text/event-stream' if is_chat else 'application/json'),
            'Transfer-Encoding: chunked',
            'Connection: close',
        ]
        sock.sendall('\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n')
        for piece in pieces:
            sock.sendall(chunk(piece))
        sock.sendall(b'0\r\n\r\n')


def play(case):
    store = s.Store(case)
    zones = ('lhr-gulberg', 'lhr-johar', 'rwp-saddar')
    replicas = []
    servers = []
    for number, zone in enumerate(zones):
        for service in ('dabba-app', 'dabba-llm'):
            replica = Replica(case.trouble and number == 0)
            name = f'i-{service[6:]}-{number}'
            server = s.Server(
                case, name, service, zone, f'127.0.2.{number + 1}',
                replica.respond,
            )
            replicas.append(replica)
            servers.append(server)
            store.put(f'servers/{name}', server.item())
    store.put('op/config', s.configuration())
    front = s.Front('front-lhr-gulberg-1', '127.0.1.1', zones[0])
    front.start(case, store, [front.control], s.free_port('127.0.1.1'))
    s.wait_until(front.is_ready, 20, 'the entry')

    wrong = []
    served = []
    lock = threading.Lock()

    def ask(client):
        for number in range(client, LOOK_COUNT, CLIENT_COUNT):
            check('GET', s.LOOK + 'bin', f'look-{number:04}', 1500, ())
            if number < CHAT_COUNT:
                check('POST', s.CHAT + 'x', f'chat-{number:04}', 6000,
                      s.generation_headers())

    def check(method, target, request_id, deadline_ms, extra):
        answer = s.exchange(
            front.endpoint, request_id, method, target, s.HOST,
            body=b'{}' if method == 'POST' else b'',
            deadline_ms=deadline_ms, extra=extra,
        )
        made = [r.bodies[request_id] for r in replicas if request_id in r.bodies]
        success = answer.complete and 200 <= answer.status < 300
        is_wrong = success and (
            answer.body not in made
            or 'wasabistream-response-seal' not in answer.headers
        )
        with lock:
            if success:
                served.append(request_id)
            if is_wrong:
                wrong.append(request_id)
        case.log(
            'answer', id=request_id, status=answer.status,
            complete=answer.complete, error=answer.error, wrong=is_wrong,
            body=answer.body[:80].decode('latin-1') if is_wrong else None,
        )

    threads = [
        threading.Thread(target=ask, args=(client,))
        for client in range(CLIENT_COUNT)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    case.log('summary', served=len(served), wrong=wrong)
    print(f'{len(served)} served, wrong bodies: {wrong}')
    if len(served) < (LOOK_COUNT + CHAT_COUNT) * 0.9:
        raise s.CannotRun('too few requests are served')
    return s.BROKEN if wrong else s.HELD


sys.exit(s.run_case(Path(__file__).parent, play))
