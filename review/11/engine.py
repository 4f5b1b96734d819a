"""Stand-in for a model replica, as a process of its own.

Usage: engine.py ADDRESS PORT ID BORN_MS VERSION RUNS_FILE [FLAG...]

It runs generations, answers /-/report and /health, stops work at the deadline that
it receives, and drops a run whose connection closes. Flags:

unframed   streams have neither a length nor chunks and end with their connection
"""

import json
import select
import socket
import sys
import threading
import time

EVENT_SECONDS = 0.04
FIRST_EVENT_SECONDS = 0.1
TOKENS_PER_EVENT = 4

ADDRESS, PORT, SERVER_ID, BORN_MS, VERSION, RUNS_FILE, *FLAGS = sys.argv[1:]
RUNS = {}
LOCK = threading.Lock()
LOG = open(RUNS_FILE, 'a', buffering=1)


def read_request(stream):
    """Return method, target and headers, or None at the end."""
    line = stream.readline()
    if not line:
        return None
    method, target, _ = line.decode().split()
    headers = {}
    while row := stream.readline().decode('latin-1').strip():
        name, _, text = row.partition(':')
        headers[name.strip().lower()] = text.strip()
    stream.read(int(headers.get('content-length', 0)))
    return method, target, headers


def answer(sock, status, fields, more=''):
    """Send a complete JSON answer."""
    raw = json.dumps(fields).encode()
    head = (
        f'HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n'
        f'Content-Length: {len(raw)}\r\n{more}\r\n'
    )
    sock.sendall(head.encode() + raw)


def build_report():
    """Return what the replica says of itself."""
    with LOCK:
        rows = [[run_id, 500, count, 1] for run_id, count in RUNS.items()]
    return {
        'born': int(BORN_MS),
        'stage': 'both',
        'models': [{'name': 'm', 'version': 1, 'adapters': []}],
        'busy': False,
        'sequence': 1,
        'waiting': 0,
        'running': len(rows),
        'kv_used': 500 * len(rows),
        'kv_total': 34267,
        'handles': 0,
        'state': 'ready',
        'runs': rows,
    }


def serve(sock):
    """Answer the requests of one connection."""
    with sock, sock.makefile('rb') as stream:
        while (request := read_request(stream)) is not None:
            _, target, headers = request
            if target == '/-/report':
                answer(sock, 200, build_report())
            elif target == '/health':
                answer(
                    sock, 200, {}, f'Wasabistream-Replica-Id: {SERVER_ID}\r\n'
                )
            elif target.startswith('/-/'):
                answer(sock, 404, {})
            else:
                run(sock, headers)
                return


def run(sock, headers):
    """Run a generation, or turn it away."""
    expected = headers.get('wasabistream-expect-replica', SERVER_ID)
    if expected != SERVER_ID:
        answer(sock, 421, {})
        return
    if 'kv-from' in headers:
        answer(sock, 503, {}, 'Wasabistream-Not-Executed: 1\r\n')
        return
    run_id = headers['wasabistream-request-attempt-id']
    total = int(headers['wasabistream-token-usage'].split(',')[1])
    total //= TOKENS_PER_EVENT
    done = int(headers.get('last-event-id') or 0)
    with LOCK:
        RUNS[run_id] = done
    remaining_ms = headers.get('wasabistream-deadline-remaining')
    log(f'run {run_id} of {total} events from {done}, {remaining_ms} ms left')
    ending = 'failed'
    try:
        ending = generate(sock, run_id, done, total, int(remaining_ms))
    finally:
        with LOCK:
            count = RUNS.pop(run_id)
        log(f'end {run_id} after {count} of {total} events: {ending}')


def generate(sock, run_id, done, total, remaining_ms):
    """Send the events of a run; return how it ended."""
    deadline = time.monotonic() + remaining_ms / 1000
    if not rest(sock, FIRST_EVENT_SECONDS):
        return 'connection closed'
    sock.sendall(build_head(run_id))
    for number in range(done + 1, total + 1):
        event = f'id: {number}\ndata: {VERSION} {run_id} {number}\n\n'.encode()
        sock.sendall(frame(event))
        RUNS[run_id] = number
        if number == total:
            break
        if not rest(sock, min(EVENT_SECONDS, deadline - time.monotonic())):
            return 'connection closed'
        if time.monotonic() >= deadline:
            return 'stopped at the deadline'
    if 'unframed' not in FLAGS:
        sock.sendall(b'0\r\n\r\n')
    return 'complete'


def build_head(run_id):
    """Return the head of a stream."""
    framing = 'Transfer-Encoding: chunked'
    if 'unframed' in FLAGS:
        framing = 'Connection: close'
    return (
        'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
        f'Wasabistream-Request-Attempt-Id: {run_id}\r\n'
        f'Wasabistream-Response-Seal: {SERVER_ID}.{run_id}\r\n{framing}\r\n\r\n'
    ).encode()


def frame(event):
    """Return an event as it is sent."""
    if 'unframed' in FLAGS:
        return event
    return b'%x\r\n%s\r\n' % (len(event), event)


def rest(sock, seconds):
    """Wait; return False once the connection has closed."""
    readable, _, _ = select.select([sock], [], [], max(seconds, 0))
    return not readable or bool(sock.recv(1, socket.MSG_PEEK))


def log(text):
    """Write what runs, with the monotonic time."""
    LOG.write(f'{time.monotonic():.3f} {SERVER_ID} {VERSION} {text}\n')


def guard(sock):
    """Serve a connection whose peer may leave."""
    try:
        serve(sock)
    except (OSError, ValueError):
        # The peer has closed the connection.
        return


listener = socket.create_server((ADDRESS, int(PORT)), backlog=256)
while True:
    accepted, _ = listener.accept()
    accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    threading.Thread(target=guard, args=(accepted,), daemon=True).start()
