"""Demonstration: start a small fleet, send it a few requests and stop it."""

import json
import sys
import time
from typing import Any

import urllib3

from wasabistream.idempotency_keys import make_key
from wasabistream_tools.fleet import Fleet
from wasabistream_tools.sample_documents import sample_document

DATA_CENTRES = ('dc-a', 'dc-b')
CREDENTIAL = 'demo-credential'
BOOKING_TIMEOUT_SECONDS = 40.0
BOOKING_RETRY_INTERVAL_SECONDS = 0.5
HEADERS = {'Authorization': f'Bearer {CREDENTIAL}'}


def demo_document() -> dict[str, Any]:
    """Return the document that the demonstration publishes."""
    # Short times, so that the new fleet soon runs bookings.
    times = {
        'settling_seconds': 3,
        'list_hold_seconds': 2,
        'clock_offset_seconds': 0.1,
    }
    return sample_document(CREDENTIAL, DATA_CENTRES, times)


def start_fleet() -> Fleet:
    """Start three entries and six backend servers in two data centres."""
    fleet = Fleet()
    for number, data_centre in enumerate(('dc-a', 'dc-a', 'dc-b', 'dc-b'), 1):
        fleet.add_engine(f'engine-{number}', data_centre)
    for number, data_centre in enumerate(DATA_CENTRES, 1):
        fleet.add_service(f'booking-{number}', data_centre, 'booking')
    for number, data_centre in enumerate(('dc-a', 'dc-a', 'dc-b'), 1):
        fleet.add_entry(f'entry-{number}', data_centre)
    fleet.publish_document(demo_document())
    fleet.publish_vms()
    fleet.wait_until_ready(backend_count=6)
    return fleet


def run() -> int:
    """Run the demonstration; return 0 if all requests were answered whole."""
    started = time.monotonic()
    with start_fleet() as fleet:
        _print_line(f'fleet of {len(fleet.processes)} processes is ready')
        urls = [entry.url for entry in fleet.entries()]
        complete = [
            _request_chat(fleet, urls[0]),
            _request_draft(fleet, urls[1]),
            _request_status(fleet, urls[2]),
            _book_twice(fleet, urls),
        ]
    _print_line(f'stopped after {time.monotonic() - started:.1f} s')
    return 0 if all(complete) else 1


def _request_chat(fleet: Fleet, url: str) -> bool:
    body = {
        'model': 'assistant',
        'stream': True,
        'messages': [{'role': 'user', 'content': 'hello [[length=12]]'}],
    }
    response = fleet.http.request(
        'POST',
        f'{url}/v1/chat/completions',
        json=body,
        headers={**HEADERS, 'Wasabi-Class': 'urgent'},
        preload_content=False,
    )
    text = b''.join(response.stream()).decode()
    events = [line for line in text.splitlines() if line.startswith('data: ')]
    _print_line(
        f'chat: status {response.status}, {len(events)} events, last {events[-1]}'
    )
    return events[-1] == 'data: [DONE]'


def _request_draft(fleet: Fleet, url: str) -> bool:
    response = fleet.http.request(
        'POST',
        f'{url}/v1/completions',
        json={'model': 'assistant', 'prompt': 'draft [[length=200]]'},
        headers={**HEADERS, 'Wasabi-Class': 'patient'},
    )
    answer = response.json()
    word_count = len(answer['choices'][0]['text'].split())
    _print_line(f'draft: status {response.status}, {word_count} tokens')
    return word_count == 200


def _request_status(fleet: Fleet, url: str) -> bool:
    started = time.monotonic()
    response = fleet.http.request(
        'GET', f'{url}/services/booking/status/7', headers=HEADERS
    )
    elapsed_ms = 1000 * (time.monotonic() - started)
    _print_line(f'lookup: status {response.status} in {elapsed_ms:.0f} ms')
    return response.status == 200


def _book_twice(fleet: Fleet, urls: list[str]) -> bool:
    key, first = _book_until_settled(fleet, urls[0])
    answers = [first, _send_booking(fleet, urls[1], key)]
    for response in answers:
        replayed = response.headers.get('Idempotency-Replayed', 'false')
        _print_line(
            f'booking: status {response.status}, replayed {replayed}, '
            + response.data.decode()
        )
    return first.status == 201 and answers[0].data == answers[1].data


def _book_until_settled(
    fleet: Fleet, url: str
) -> tuple[str, urllib3.BaseHTTPResponse]:
    # A key that was issued before the settling time of a new owner is over is
    # never run, so each attempt needs a new key.
    deadline = time.monotonic() + BOOKING_TIMEOUT_SECONDS
    while True:
        key = make_key(time.time())
        response = _send_booking(fleet, url, key)
        if response.status == 201 or time.monotonic() > deadline:
            return key, response
        time.sleep(BOOKING_RETRY_INTERVAL_SECONDS)


def _send_booking(fleet: Fleet, url: str, key: str) -> urllib3.BaseHTTPResponse:
    return fleet.http.request(
        'POST',
        f'{url}/services/booking/bookings',
        body=json.dumps({'household': 7}).encode(),
        headers={**HEADERS, 'Idempotency-Key': key},
    )


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(run())
