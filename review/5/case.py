"""Bodies within `max_body_bytes` take entries over their memory (LOST, Fault)."""

import os
import signal
import socket
import sys
import threading
import time
from functools import partial
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))

import standins as s  # noqa: E402

MEMORY_MB = 150
MAX_BODY_BYTES = 4194304
USUAL_BODY_BYTES = 600
# The 41 clients of saaf-lhr, spread over its four entries, of which two run.
CLIENT_COUNT = 10
ROUND_COUNT = 3
ROUND_SECONDS = 5.0
WORK_SECONDS = 0.11
RESTART_SECONDS = 0.5
# Fault: on a tenth of the machines in use, two at least, three times each.
FAULT_MACHINE_COUNT = 2
FAULT_END_COUNT = 3
# LOST: more than three times.
ALLOWED_LOST_COUNT = 3
PAGE_MB = os.sysconf('SC_PAGE_SIZE') / 1024 / 1024


class Platform:
    """Ends a process over its memory limit and starts it again, as it says."""

    def __init__(self, case, front, start):
        self.case = case
        self.front = front
        self.start = start
        self.process = start()
        self.peak_mb = 0.0
        self.kill_count = 0
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def watch(self):
        while not self.stopped.wait(0.005):
            used_mb = self.used_mb()
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb <= MEMORY_MB:
                continue
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.kill_count += 1
            self.case.log('over memory_mb, killed', process=self.front.name,
                          used_mb=round(used_mb, 1), limit_mb=MEMORY_MB)
            time.sleep(RESTART_SECONDS)
            self.process = self.start()

    def used_mb(self):
        try:
            text = Path(f'/proc/{self.process.pid}/statm').read_text()
            return int(text.split()[1]) * PAGE_MB
        except (OSError, IndexError):
            return 0.0

    def stop(self):
        self.stopped.set()
        self.thread.join()


def respond(server, sock, request):
    time.sleep(WORK_SECONDS)
    s.answer_whole(sock, request, b'{"booked":true}')


def wait_for(fronts):
    for front in fronts:
        s.wait_until(front.is_ready, 20, front.name)


def play(case):
    store = s.Store(case)
    zones = ('lhr-gulberg', 'lhr-johar', 'rwp-saddar')
    servers = []
    for number, zone in enumerate(zones):
        server = s.Server(
            case, f'i-app-{number}', 'dabba-app', zone,
            f'127.0.3.{number + 1}', respond,
        )
        servers.append(server)
        store.put(f'servers/{server.name}', server.item(slots=6))
    store.put('op/config', s.configuration())
    fronts = [
        s.Front(f'front-{zone}-1', f'127.0.1.{number + 1}', zone, MEMORY_MB)
        for number, zone in enumerate(zones[1:])
    ]
    seeds = [front.control for front in fronts]
    link_port = s.free_port(*(front.address for front in fronts))
    platforms = [
        Platform(case, front, partial(front.start, case, store, seeds, link_port))
        for front in fronts
    ]
    wait_for(fronts)

    size = MAX_BODY_BYTES if case.trouble else USUAL_BODY_BYTES
    body = b'b' * size
    lost = []
    answered = []
    lock = threading.Lock()

    def book(front, round_number, client):
        name = f'{front.address[-1]}-{round_number}-{client:02}'
        address, _, port = front.endpoint.rpartition(':')
        try:
            sock = socket.create_connection((address, int(port)), timeout=2)
        except OSError as error:
            case.log('no connection', client=name, error=repr(error))
            return
        with sock:
            # The first request makes it a kept connection.
            first = s.exchange(front.endpoint, f'look-{name}', 'GET',
                               s.LOOK + 'bin', s.HOST, sock=sock)
            answer = s.exchange(front.endpoint, f'book-{name}', 'POST',
                                s.BOOK + 'bin', s.HOST, body=body, sock=sock)
        ran = any(
            request_id == f'book-{name}'
            for server in servers
            for _, request_id in server.runs
        )
        case.log('answer', id=f'book-{name}', body_bytes=size, ran=ran,
                 first=first.status, status=answer.status, error=answer.error)
        with lock:
            if answer.status is not None:
                answered.append(answer.status)
            elif ran and first.complete:
                lost.append(f'book-{name}')

    for round_number in range(ROUND_COUNT):
        threads = [
            threading.Thread(target=book, args=(front, round_number, client))
            for client in range(CLIENT_COUNT)
            for front in fronts
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        case.log('round', number=round_number, lost=len(lost),
                 ends=[platform.kill_count for platform in platforms])
        time.sleep(ROUND_SECONDS)
        wait_for(fronts)
    for platform in platforms:
        platform.stop()
    peak_mb = round(max(platform.peak_mb for platform in platforms))
    ends = [platform.kill_count for platform in platforms]
    case.log('summary', peak_mb=peak_mb, ends=ends, lost=lost,
             answered=len(answered))
    print(f'peak {peak_mb} MB of {MEMORY_MB}, ends {ends}, '
          f'{len(lost)} accepted bookings lost, {len(answered)} answered')
    faulty = sum(count >= FAULT_END_COUNT for count in ends)
    is_broken = (
        faulty >= FAULT_MACHINE_COUNT or len(lost) > ALLOWED_LOST_COUNT
    )
    return s.BROKEN if is_broken else s.HELD


sys.exit(s.run_case(Path(__file__).parent, play))
