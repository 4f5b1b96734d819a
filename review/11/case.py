"""Streams without a length, on a route whose time-out has become shorter."""

import http.client
import threading
import time

import rig as rigs

ENGINE_COUNT = 2
CLIENT_COUNT = 6
ROUNDS = 3
EVENT_COUNT = 120
DEADLINE_MS = 39000
# A generation takes 4.8 s.
SHORT_TIMEOUT_MS = 3000


def stream(rig, request_id, ends):
    """Send a generation and note how its answer ends."""
    connection = http.client.HTTPConnection(
        rig.entry_address(1), rigs.FRONT_PORT, timeout=45
    )
    began = time.monotonic()
    rig.record.add(f'client: sends {request_id}, waits {DEADLINE_MS} ms')
    connection.request(
        'POST',
        '/guide/draft',
        body=b'{}',
        headers={
            'Host': rigs.HOST,
            'Authorization': f'Bearer {rigs.API_KEY}',
            'Wasabistream-Request-Attempt-Id': request_id,
            'Wasabistream-Deadline-Remaining': str(DEADLINE_MS),
            'Wasabistream-Model': 'm',
            'Wasabistream-Token-Usage': f'3000,{EVENT_COUNT * 4}',
            'Wasabistream-Prompt-Prefix': f'5c1e07a2:79,{request_id}:2921',
        },
    )
    response = connection.getresponse()
    try:
        body, ending = response.read(), 'complete'
    except http.client.IncompleteRead as error:
        body, ending = error.partial, 'broken off'
    except OSError:
        body, ending = b'', 'reset'
    count = body.count(b'\n\n')
    seconds = time.monotonic() - began
    rig.record.add(
        f'client: {request_id} gets {response.status}, {count} of'
        f' {EVENT_COUNT} events, {ending} after {seconds:.3f} s'
    )
    ends.append((request_id, response.status, count, ending))


def run_client(rig, number, ends):
    """Send some generations, one after the other."""
    for turn in range(ROUNDS):
        stream(rig, f'{number:08x}{turn:08x}', ends)


def case(rig):
    """Return the streams that end as complete before their last event."""
    for number in range(1, ENGINE_COUNT + 1):
        address = rig.side_address(number)
        born_ms = rigs.unix_ms()
        rig.start_replica(
            f'writer-{number}',
            'engine.py',
            address,
            rigs.APP_PORT,
            f'writer-{number}',
            born_ms,
            'v1',
            rig.folder / 'runs.txt',
            'unframed',
        )
        rig.announce(f'writer-{number}', 'writer', address, born_ms)
        rig.start_agent(number)
    rig.start_entry(1)
    rig.wait_ready(1)
    time.sleep(4)
    if rigs.has_trouble():
        rig.record.add(f'operator: guide gets a timeout_ms of {SHORT_TIMEOUT_MS}')
        rig.store.put('op/config', rigs.build_document(8, SHORT_TIMEOUT_MS))
        # Twice the time in which it has to be in force.
        time.sleep(4)
    ends = []
    clients = [
        threading.Thread(target=run_client, args=(rig, number, ends))
        for number in range(CLIENT_COUNT)
    ]
    for client in clients:
        client.start()
    for client in clients:
        client.join()
    if len(ends) != CLIENT_COUNT * ROUNDS:
        raise RuntimeError('not all streams were answered')
    for line in (rig.folder / 'runs.txt').read_text().splitlines():
        rig.record.add(f'replica: {line}')
    return [
        f'{request_id} ends as complete after {count} of {EVENT_COUNT} events'
        for request_id, status, count, ending in ends
        if status == 200 and ending == 'complete' and count < EVENT_COUNT
    ]


rigs.play(case)
