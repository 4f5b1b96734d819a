"""Burst of requests that keeps some entries busy, as a process of its own.

The requests are on no route of any configuration, so that they load only the
entry and run nowhere. An entry reads a body before it looks for the route, and
a body in small chunks takes it tens of milliseconds of computing.
"""

import socket
import sys
import threading
import time

from wasabistream_tools.soak.sites import BASE_KEY, FRONT_PORT, HOST

RECEIVE_BYTES = 65536
TIMEOUT_SECONDS = 10.0
RETRY_SECONDS = 0.2
CHUNK_COUNT = 2000


def send_requests(address: str, number: int, deadline: float) -> None:
    """Send requests one after the other until a moment."""
    count = 0
    while time.monotonic() < deadline:
        try:
            count = _use_connection(address, number, count, deadline)
        except OSError:
            # Turned away, or the entry ends.
            time.sleep(RETRY_SECONDS)


def _use_connection(
    address: str, number: int, count: int, deadline: float
) -> int:
    with socket.create_connection(
        (address, FRONT_PORT), TIMEOUT_SECONDS
    ) as sock:
        while time.monotonic() < deadline:
            count += 1
            sock.sendall(_build_request(f'burst-{number}-{count}'))
            if not sock.recv(RECEIVE_BYTES):
                return count
    return count


def _build_request(attempt_id: str) -> bytes:
    lines = (
        'POST /no-such-route/x HTTP/1.1',
        f'Host: {HOST}',
        f'Wasabistream-Request-Attempt-Id: {attempt_id}',
        'Wasabistream-Deadline-Remaining: 10000',
        'Transfer-Encoding: chunked',
        f'Authorization: Bearer {BASE_KEY}',
    )
    head = ('\r\n'.join(lines) + '\r\n\r\n').encode()
    return head + b'1\r\nx\r\n' * CHUNK_COUNT + b'0\r\n\r\n'


def main() -> None:
    """Run as `bursts CONNECTIONS SECONDS ADDRESS...`."""
    connection_count, seconds, *addresses = sys.argv[1:]
    deadline = time.monotonic() + float(seconds)
    threads = [
        threading.Thread(target=send_requests, args=(address, number, deadline))
        for address in addresses
        for number in range(int(connection_count))
    ]
    for thread in threads:
        thread.start()
    for started in threads:
        started.join()


if __name__ == '__main__':
    main()
