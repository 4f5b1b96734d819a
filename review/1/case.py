"""An answer without a length that is reset on the way is complete (MIXED)."""

import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))

import standins as s  # noqa: E402

BOOK_COUNT = 300
CLIENT_COUNT = 3
# A quarter of `max_body_bytes`.
BODY_BYTES = 1024 * 1024
ANSWER_BYTES = 800
# garble: at most half of the replicas, two of a hundred of their answers.
BROKEN_EACH = 50
FIRST_BROKEN = 10
# What the replica has read of a long body when it answers early.
EARLY_BYTES = 8192
# Segments and windows as on an ordinary network: loopback has larger ones.
SEGMENT_BYTES = 1460
WINDOW_BYTES = 16384
DEADLINE_MS = 1500


class Replica(s.Server):
    """Answers without a length; breaks some answers off, if faulty."""

    def __init__(self, case, name, zone, address, breaks):
        self.breaks = breaks
        self.bodies = {}
        self.count = 0
        super().__init__(case, name, 'dabba-app', zone, address, None)
        self._listener.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES
        )
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES
        )

    def _serve(self, sock):
        try:
            with sock.makefile('rb', buffering=0) as file:
                self._answer(sock, file)
        except OSError as error:
            self.case.log('server', server=self.name, error=repr(error))
        finally:
            # With bytes unread this resets the connection.
            sock.close()

    def _answer(self, sock, file):
        head = s.read_head(file)
        if head is None:
            return
        headers = head[1]
        request_id = headers['wasabistream-request-attempt-id']
        if headers.get('wasabistream-expect-replica', self.name) != self.name:
            sock.sendall(
                b'HTTP/1.1 421 Misdirected Request\r\n'
                b'Wasabistream-Replica-Id: %s\r\nContent-Length: 0\r\n'
                b'Connection: close\r\n\r\n' % self.name.encode()
            )
            return
        body = (b'{"id":"%s","booked":true}' % request_id.encode() * 50)[
            :ANSWER_BYTES
        ]
        with self._lock:
            self.count += 1
            is_broken = self.breaks and self.count % BROKEN_EACH == FIRST_BROKEN
            self.bodies[request_id] = body
            self.runs.append((self.case.now(), request_id))
        length = int(headers.get('content-length', 0))
        left = EARLY_BYTES if is_broken else length
        while left > 0:
            piece = file.read(min(left, 65536))
            if not piece:
                return
            left -= len(piece)
        lines = [
            'HTTP/1.1 200 OK',
            f'Wasabistream-Request-Attempt-Id: {request_id}',
            f'Wasabistream-Response-Seal: 3e1b.07.{request_id}.{len(body)}',
            'Content-Type: application/json',
            'Connection: close',
        ]
        sent = body[: len(body) // 2] if is_broken else body
        sock.sendall('\r\n'.join(lines).encode() + b'\r\n\r\n' + sent)
        self.case.log('run', server=self.name, id=request_id, body_bytes=length,
                      answer_bytes=len(body), broken_off=is_broken,
                      sent_bytes=len(sent))
        if is_broken:
            time.sleep(0.05)


def play(case):
    store = s.Store(case)
    zones = ('lhr-gulberg', 'lhr-johar', 'rwp-saddar')
    replicas = []
    for number, zone in enumerate(zones):
        replica = Replica(
            case, f'i-app-{number}', zone, f'127.0.3.{number + 1}',
            case.trouble and number == 0,
        )
        replicas.append(replica)
        store.put(f'servers/{replica.name}', replica.item(slots=6))
    store.put('op/config', s.configuration())
    front = s.Front('front-lhr-gulberg-1', '127.0.1.1', zones[0])
    front.start(case, store, [front.control], s.free_port('127.0.1.1'))
    s.wait_until(front.is_ready, 20, 'the entry')
    time.sleep(0.3)

    wrong = []
    served = []
    lock = threading.Lock()

    def ask(client):
        for number in range(client, BOOK_COUNT, CLIENT_COUNT):
            request_id = f'book-{number:04}'
            answer = s.exchange(
                front.endpoint, request_id, 'POST', s.BOOK + 'bin', s.HOST,
                body=b'b' * BODY_BYTES, deadline_ms=DEADLINE_MS,
            )
            made = [
                replica.bodies[request_id]
                for replica in replicas
                if request_id in replica.bodies
            ]
            success = answer.complete and answer.status == 200
            is_wrong = success and answer.body not in made
            with lock:
                if success:
                    served.append(request_id)
                if is_wrong:
                    wrong.append(request_id)
            case.log('answer', id=request_id, status=answer.status,
                     complete=answer.complete, error=answer.error,
                     body_bytes=len(answer.body), wrong=is_wrong)

    threads = [
        threading.Thread(target=ask, args=(client,))
        for client in range(CLIENT_COUNT)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    case.log('summary', served=len(served), wrong=wrong)
    print(f'{len(served)} of {BOOK_COUNT} served, cut bodies as successes: {wrong}')
    if len(served) < BOOK_COUNT * 0.9:
        raise s.CannotRun('too few requests are served')
    return s.BROKEN if wrong else s.HELD


sys.exit(s.run_case(Path(__file__).parent, play))
