"""A planned stop takes requests that it then cuts off (LOST)."""

import signal
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))

import standins as s  # noqa: E402

ZONES = ('lhr-gulberg', 'lhr-johar', 'rwp-saddar')
GRACE_SECONDS = s.BOUNDS['grace_s']
# Time of an engine to the first event of a chat reply: late for its objective
# of 1.5 s, well within its deadline and the route's timeout_ms of 6 s.
FIRST_EVENT_SECONDS = 3.0
EVENT_SECONDS = 0.04
EVENT_COUNT = 3
# Drafts in progress at the SIGTERM, which keep the entry at work; their end is
# excused. Each has the mean number of events of the sheet.
DRAFT_COUNT = 4
DRAFT_EVENT_COUNT = 235
DRAFT_DEADLINE_MS = 39000
DEADLINE_MS = 6000
# Each client sends its next request on its kept connection this long after the
# SIGTERM; it has been idle for 6.5 s at most, of 15 s that are allowed.
SEND_AT_SECONDS = [3.2 + 0.1 * number for number in range(27)]
IDLE_SECONDS = 0.8
# RULES.md excuses what was sent up to 3 s after the SIGTERM.
EXCUSED_SECONDS = 3.0


def respond_app(server, sock, request):
    time.sleep(0.0225)
    s.answer_whole(sock, request, b'b' * 800)


def respond_engine(server, sock, request):
    is_draft = request.target.startswith(s.DRAFT)
    time.sleep(0.3 if is_draft else FIRST_EVENT_SECONDS)
    count = DRAFT_EVENT_COUNT if is_draft else EVENT_COUNT
    events = [
        b'id: %d\ndata: %s %d\n\n' % (number, request.id.encode(), number)
        for number in range(1, count + 1)
    ]
    lines = [
        'HTTP/1.1 200 OK',
        f'Wasabistream-Request-Attempt-Id: {request.id}',
        f'Wasabistream-Response-Seal: {s.seal(request, b"".join(events))}',
        'Content-Type: text/event-stream',
        'Transfer-Encoding: chunked',
        'Connection: close',
    ]
    try:
        sock.sendall('\r\n'.join(lines).encode() + b'\r\n\r\n')
        for event in events:
            sock.sendall(b'%x\r\n%s\r\n' % (len(event), event))
            time.sleep(EVENT_SECONDS)
        sock.sendall(b'0\r\n\r\n')
    except OSError as error:
        server.case.log('cut at the server', server=server.name, id=request.id,
                        error=repr(error))


def play(case):
    store = s.Store(case)
    servers = []
    for number, zone in enumerate(ZONES):
        for service, name, respond in (
            ('dabba-llm', 'i-llm', respond_engine),
            ('dabba-app', 'i-app', respond_app),
        ):
            server = s.Server(
                case, f'{name}-{number}', service, zone,
                f'127.0.3.{number + 1}', respond,
            )
            servers.append(server)
            store.put(f'servers/{server.name}', server.item())
    store.put('op/config', s.configuration())
    fronts = [
        s.Front(f'front-{zone}-1', f'127.0.1.{number + 1}', zone)
        for number, zone in enumerate(ZONES)
    ]
    seeds = [front.control for front in fronts]
    link_port = s.free_port(*(front.address for front in fronts))
    for front in fronts:
        front.start(case, store, seeds, link_port)
    for front in fronts:
        s.wait_until(front.is_ready, 20, front.name)
    # The entries find each other.
    time.sleep(2)

    leaving = fronts[1]
    term_at = [0.0]
    signalled = threading.Event()
    ready = threading.Semaphore(0)
    results = []

    def client(number, wait_seconds):
        request_id = f'chat-{number:02}'
        with socket.create_connection(
            (leaving.address, leaving.ports['front']), timeout=2
        ) as sock:
            first = s.exchange(leaving.endpoint, f'look-{number:02}', 'GET',
                               s.LOOK + 'bin', s.HOST, sock=sock)
            ready.release()
            signalled.wait()
            time.sleep(max(term_at[0] + wait_seconds - time.monotonic(), 0))
            answer = s.exchange(
                leaving.endpoint, request_id, 'POST', s.CHAT + 'x', s.HOST,
                body=b'{"text":"hello"}', deadline_ms=DEADLINE_MS,
                extra=s.generation_headers(), sock=sock,
            )
        ran = any(
            run_id == request_id for server in servers for _, run_id in server.runs
        )
        results.append((request_id, wait_seconds, first, answer, ran))
        case.log(
            'answer', id=request_id, first=first.status,
            sent_after_term=round(answer.sent_at - term_at[0], 3),
            ended_after_term=round(
                answer.sent_at + answer.seconds - term_at[0], 3
            ),
            status=answer.status, complete=answer.complete, error=answer.error,
            ran=ran,
        )

    def draft(number):
        request_id = f'draft-{number:02}'
        answer = s.exchange(
            leaving.endpoint, request_id, 'POST', s.DRAFT + 'x', s.HOST,
            body=b'{"text":"hello"}', deadline_ms=DRAFT_DEADLINE_MS,
            extra=s.generation_headers(3079, 940, request_id),
        )
        case.log('answer', id=request_id, status=answer.status,
                 complete=answer.complete, error=answer.error)

    threads = [
        threading.Thread(target=client, args=(number, wait_seconds))
        for number, wait_seconds in enumerate(SEND_AT_SECONDS)
    ]
    for thread in threads:
        thread.start()
    for _ in threads:
        ready.acquire()
    drafts = [
        threading.Thread(target=draft, args=(number,))
        for number in range(DRAFT_COUNT)
    ]
    for thread in drafts:
        thread.start()
    time.sleep(IDLE_SECONDS)
    term_at[0] = time.monotonic()
    if case.trouble:
        case.kill(leaving.name, signal.SIGTERM)
    signalled.set()
    if case.trouble:
        process = case.processes[leaving.name]
        try:
            process.wait(GRACE_SECONDS)
        except Exception:
            # The platform sends SIGKILL after grace_s.
            case.kill(leaving.name)
            process.wait()
        case.log('entry ended', after_term=round(
            time.monotonic() - term_at[0], 3), code=process.returncode)
    for thread in threads + drafts:
        thread.join()

    lost = [
        request_id
        for request_id, wait_seconds, first, answer, ran in results
        if first.complete and ran and not answer.complete
        and wait_seconds > EXCUSED_SECONDS
        and answer.seconds < DEADLINE_MS / 1000
    ]
    served = sum(answer.status == 200 and answer.complete
                 for *_, answer, _ in results)
    refused = sum(answer.status == 503 for *_, answer, _ in results)
    case.log('summary', sent=len(results), served=served, refused=refused,
             lost=sorted(lost))
    print(f'{len(results)} sent over 3 s after the SIGTERM, {served} served, '
          f'{refused} refused, {len(lost)} accepted and cut off')
    if any(not first.complete for _, _, first, *_ in results):
        raise s.CannotRun('a first request is not served')
    return s.BROKEN if lost else s.HELD


sys.exit(s.run_case(Path(__file__).parent, play))
