"""Callers whose requests make up a history."""

import json
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass

import urllib3

from wasabistream.idempotency_keys import make_key
from wasabistream_tools.fleet import Fleet, FleetProcess
from wasabistream_tools.history_events import (
    Cut,
    End,
    Ended,
    Received,
    Recorder,
    Sent,
    now,
)

CREDENTIAL = 'history-credential'
MODEL = 'assistant'
RESUME_LIMIT_COUNT = 5
REPEAT_LIMIT_COUNT = 5
RETRY_SECONDS = 0.4
PLAIN_KEY_RATIO = 0.2
# Callers repeat a key without a time no longer than the document allows.
RETRY_HORIZON_SECONDS = 8
DEADLINE_SECONDS = 20
READ_TIMEOUT_SECONDS = 30.0
LENGTHS_TOKENS = (3, 8, 20, 60)


@dataclass(frozen=True)
class StreamEvent:
    """Hold one server-sent event."""

    event_id: str
    payload: str


class HistoryCaller:
    """Send requests through any entry and record what comes back."""

    def __init__(self, fleet: Fleet, recorder: Recorder, seed: str) -> None:
        self._fleet = fleet
        self._recorder = recorder
        self._random = random.Random(seed)
        self._http = urllib3.PoolManager(maxsize=4, retries=False)

    def stream(self, tag: str) -> None:
        """Read a streamed chat and resume it when it breaks."""
        length = self._random.choice(LENGTHS_TOKENS)
        self._recorder.add(Sent(now(), tag, length_tokens=length))
        body = {
            'model': MODEL,
            'stream': True,
            'max_tokens': 1000,
            'messages': [{'role': 'user', 'content': _prompt(tag, length)}],
        }
        position = ''
        for _ in range(RESUME_LIMIT_COUNT):
            entry = self._choose_entry()
            try:
                response = self._open(entry, body, position)
            except urllib3.exceptions.HTTPError:
                if not position:
                    # Nothing proves what became of the request.
                    self._end(tag, End.broken, 'unknown')
                    return
                time.sleep(RETRY_SECONDS)
                continue
            if response.status != 200:
                self._end(tag, End.refused, _outcome(response.data))
                return
            position, done = self._read(tag, entry, response, position)
            if done:
                self._end(tag, End.complete)
                return
            if not position:
                break
        self._end(tag, End.broken, 'unknown')

    def draft(self, tag: str) -> None:
        """Read a whole answer."""
        length = self._random.choice(LENGTHS_TOKENS)
        self._recorder.add(Sent(now(), tag, length_tokens=length))
        entry = self._choose_entry()
        body = {
            'model': MODEL,
            'prompt': _prompt(tag, length),
            'max_tokens': 1000,
        }
        try:
            response = self._http.request(
                'POST',
                f'{entry.url}/v1/completions',
                json=body,
                headers=_headers('patient'),
                timeout=READ_TIMEOUT_SECONDS,
            )
        except urllib3.exceptions.HTTPError:
            self._recorder.add(Cut(now(), tag, entry.name))
            self._end(tag, End.broken, 'unknown')
            return
        if response.status != 200:
            self._end(tag, End.refused, _outcome(response.data))
            return
        for text in response.json()['choices'][0]['text'].split():
            self._recorder.add(Received(now(), tag, text))
        self._end(tag, End.complete)

    def book(self, tag: str) -> bool:
        """Book once, and repeat with the same key until it is answered."""
        key = self._make_key(tag)
        repeat_until_seconds = now() + RETRY_HORIZON_SECONDS
        for _ in range(REPEAT_LIMIT_COUNT):
            if now() > repeat_until_seconds:
                break
            self._recorder.add(Sent(now(), tag, key=tag))
            entry = self._choose_entry()
            try:
                response = self._http.request(
                    'POST',
                    f'{entry.url}/services/booking/bookings',
                    body=tag.encode(),
                    headers={**_headers('urgent'), 'Idempotency-Key': key},
                    timeout=READ_TIMEOUT_SECONDS,
                )
            except urllib3.exceptions.HTTPError:
                self._recorder.add(Cut(now(), tag, entry.name))
                self._end(tag, End.broken, 'unknown')
                time.sleep(RETRY_SECONDS)
                continue
            if response.status < 300:
                self._end(tag, End.complete)
                return True
            self._end(tag, End.refused, _outcome(response.data))
            time.sleep(RETRY_SECONDS)
        return False

    def _make_key(self, tag: str) -> str:
        # Some callers use keys that carry no time.
        if self._random.random() < PLAIN_KEY_RATIO:
            return tag
        return make_key(time.time())

    def _choose_entry(self) -> FleetProcess:
        return self._random.choice(self._fleet.entries())

    def _open(
        self, entry: FleetProcess, body: dict[str, object], position: str
    ) -> urllib3.BaseHTTPResponse:
        if position:
            stream_id = position.rpartition('/')[0]
            return self._http.request(
                'GET',
                f'{entry.url}/v1/streams/{stream_id}',
                headers={**_headers('normal'), 'Last-Event-ID': position},
                timeout=READ_TIMEOUT_SECONDS,
                preload_content=False,
            )
        return self._http.request(
            'POST',
            f'{entry.url}/v1/chat/completions',
            json=body,
            headers=_headers('normal'),
            timeout=READ_TIMEOUT_SECONDS,
            preload_content=False,
        )

    def _read(
        self,
        tag: str,
        entry: FleetProcess,
        response: urllib3.BaseHTTPResponse,
        position: str,
    ) -> tuple[str, bool]:
        try:
            for event in _events(response):
                if event.payload == '[DONE]':
                    return position, True
                body = json.loads(event.payload)
                if 'error' in body:
                    return '', False
                delta = body['choices'][0]['delta']
                if delta.get('content'):
                    text = delta['content'].strip()
                    self._recorder.add(Received(now(), tag, text))
                    position = event.event_id
        except (urllib3.exceptions.HTTPError, OSError):
            self._recorder.add(Cut(now(), tag, entry.name))
            return position, False
        self._recorder.add(Cut(now(), tag, entry.name))
        return position, False

    def _end(self, tag: str, end: End, outcome: str = '') -> None:
        self._recorder.add(Ended(now(), tag, end, outcome))


def _prompt(tag: str, length: int) -> str:
    return f'[[tag={tag}]] [[length={length}]]'


def _headers(work_class: str) -> dict[str, str]:
    return {
        'Authorization': f'Bearer {CREDENTIAL}',
        'Wasabi-Class': work_class,
        'Wasabi-Deadline-Seconds': str(DEADLINE_SECONDS),
    }


def _outcome(body: bytes) -> str:
    outcome: str = json.loads(body)['error']['outcome']
    return outcome


def _events(response: urllib3.BaseHTTPResponse) -> Iterator[StreamEvent]:
    pending = b''
    for received in response.stream():
        pending += received
        *complete, pending = pending.split(b'\n\n')
        for block in complete:
            yield _parse(block.decode())


def _parse(block: str) -> StreamEvent:
    fields = dict(
        line.split(': ', 1) for line in block.splitlines() if ': ' in line
    )
    return StreamEvent(fields.get('id', ''), fields.get('data', '{}'))
