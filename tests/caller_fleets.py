"""Fleet of separate processes for the tests of the caller API."""

import json
from collections.abc import Iterable
from typing import Any

import urllib3

from wasabistream_tools.fleet import Fleet, credential_digest

CREDENTIAL = 'desk-credential'
OTHER_CREDENTIAL = 'other-credential'
HEADERS = {'Authorization': f'Bearer {CREDENTIAL}'}
# The dots check that the agent id is read correctly from a stream id, which also
# separates its parts by dots.
AGENT_ID = 'vm.1.far'
CHAT_PATH = '/v1/chat/completions'


def caller_document() -> dict[str, Any]:
    """Return the configuration document of the fleet."""
    data_centres = ['dc-a', 'dc-b']
    return {
        'format': 1,
        'revision': 1,
        'models': [
            {'name': name, 'version': '1', 'data_centres': data_centres}
            for name in ('assistant', 'short-buffer')
        ],
        'data_centres': [{'name': name} for name in data_centres],
        'organisations': [
            {
                'name': name,
                'credential_sha256': credential_digest(credential),
                'models': ['assistant', 'short-buffer'],
                'services': ['booking'],
                'max_concurrent_count': limit_count,
            }
            for name, credential, limit_count in (
                ('desk', CREDENTIAL, 100),
                ('other', OTHER_CREDENTIAL, 1),
            )
        ],
        'services': [
            {
                'name': 'booking',
                'non_repeatable': [
                    {'method': 'POST', 'path_prefix': '/bookings'}
                ],
            }
        ],
    }


def start_caller_fleet() -> Fleet:
    """Start two entries, two engines and a service in two data centres."""
    fleet = Fleet()
    fleet.add_engine(AGENT_ID, 'dc-b', token_seconds=0.02)
    fleet.add_engine(
        'short-buffer-1',
        'dc-b',
        {'stream_buffer_bytes': 500},
        models='short-buffer',
        token_seconds=0.01,
    )
    fleet.add_service('booking-1', 'dc-a', 'booking')
    fleet.add_entry('entry-a', 'dc-a')
    fleet.add_entry('entry-b', 'dc-b')
    fleet.publish_document(caller_document())
    fleet.publish_vms()
    fleet.wait_until_ready(backend_count=3)
    return fleet


def open_chat(
    fleet: Fleet, entry: str, prompt: str, **changes: Any
) -> urllib3.BaseHTTPResponse:
    """Start a streamed chat and return the unread response."""
    headers = {**HEADERS, **changes.pop('headers', {})}
    body = {
        'model': 'assistant',
        'stream': True,
        'messages': [{'role': 'user', 'content': prompt}],
        **changes,
    }
    return fleet.http.request(
        'POST',
        fleet.processes[entry].url + CHAT_PATH,
        json=body,
        headers=headers,
        preload_content=False,
        timeout=30,
    )


def read_events(
    lines: Iterable[bytes], count: int = 1_000_000
) -> list[tuple[str, Any]]:
    """Return up to `count` pairs of event id and JSON body."""
    events: list[tuple[str, Any]] = []
    event_id = ''
    for raw in lines:
        for line in raw.decode().splitlines():
            if line.startswith('id: '):
                event_id = line.removeprefix('id: ')
            if line.startswith('data: {'):
                body = json.loads(line.removeprefix('data: '))
                events.append((event_id, body))
            if line == 'data: [DONE]':
                events.append(('done', None))
        if len(events) >= count:
            break
    return events
