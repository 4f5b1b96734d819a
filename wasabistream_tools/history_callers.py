"""Callers that send the requests of a run and record what they observe."""

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
MAX_STREAM_ATTEMPT_COUNT = 5
MAX_BOOKING_ATTEMPT_COUNT = 5
RETRY_INTERVAL_SECONDS = 0.4
# Ratio of bookings whose idempotency key carries no time of issue.
UNTIMED_KEY_RATIO = 0.2
# Retry horizon in the document of a run: the time in which callers may repeat
# a key that carries no time of issue.
RETRY_HORIZON_SECONDS = 8
DEADLINE_SECONDS = 20
READ_TIMEOUT_SECONDS = 30.0
ANSWER_LENGTHS_TOKENS = (3, 8, 20, 60)


@dataclass(frozen=True)
class StreamEvent:
    """Hold one server-sent event."""

    event_id: str
    payload: str


class HistoryCaller:
    """Send each request to a random entry and record what comes back."""

    def __init__(self, fleet: Fleet, recorder: Recorder, seed: str) -> None:
        self._fleet = fleet
        self._recorder = recorder
        self._random = random.Random(seed)
        self._http = urllib3.PoolManager(maxsize=4, retries=False)

    def stream(self, tag: str) -> None:
        """Send a streamed chat request and resume its stream when it is cut."""
        length = self._random.choice(ANSWER_LENGTHS_TOKENS)
        self._recorder.add(Sent(now(), tag, length_tokens=length))
        body = {
            'model': MODEL,
            'stream': True,
            'max_tokens': 1000,
            'messages': [
                {'role': 'user', 'content': _build_prompt(tag, length)}
            ],
        }
        last_event_id = ''
        for _ in range(MAX_STREAM_ATTEMPT_COUNT):
            entry = self._choose_entry()
            try:
                response = self._open_stream(entry, body, last_event_id)
            except urllib3.exceptions.HTTPError:
                if not last_event_id:
                    # Without an event id, the caller can neither resume the
                    # stream nor tell whether the request ran.
                    self._record_end(tag, End.broken, 'unknown')
                    return
                time.sleep(RETRY_INTERVAL_SECONDS)
                continue
            if response.status != 200:
                self._record_end(
                    tag, End.refused, _parse_outcome(response.data)
                )
                return
            last_event_id, is_complete = self._record_tokens(
                tag, entry, response, last_event_id
            )
            if is_complete:
                self._record_end(tag, End.complete)
                return
            if not last_event_id:
                break
        self._record_end(tag, End.broken, 'unknown')

    def draft(self, tag: str) -> None:
        """Send a completion request without streaming, as for a text draft."""
        length = self._random.choice(ANSWER_LENGTHS_TOKENS)
        self._recorder.add(Sent(now(), tag, length_tokens=length))
        entry = self._choose_entry()
        body = {
            'model': MODEL,
            'prompt': _build_prompt(tag, length),
            'max_tokens': 1000,
        }
        try:
            response = self._http.request(
                'POST',
                f'{entry.url}/v1/completions',
                json=body,
                headers=_build_headers('patient'),
                timeout=READ_TIMEOUT_SECONDS,
            )
        except urllib3.exceptions.HTTPError:
            self._recorder.add(Cut(now(), tag, entry.name))
            self._record_end(tag, End.broken, 'unknown')
            return
        if response.status != 200:
            self._record_end(tag, End.refused, _parse_outcome(response.data))
            return
        for text in response.json()['choices'][0]['text'].split():
            self._recorder.add(Received(now(), tag, text))
        self._record_end(tag, End.complete)

    def send_booking(self, tag: str) -> bool:
        """Send a booking, and repeat it with the same key until it succeeds.

        Returns whether it succeeded within the attempts and time allowed.
        """
        key = self._make_key(tag)
        repeat_until_seconds = now() + RETRY_HORIZON_SECONDS
        for _ in range(MAX_BOOKING_ATTEMPT_COUNT):
            if now() > repeat_until_seconds:
                break
            # Events hold the tag as the key: the service stand-in reads only
            # the tag, and each tag has a key of its own.
            self._recorder.add(Sent(now(), tag, key=tag))
            entry = self._choose_entry()
            try:
                response = self._http.request(
                    'POST',
                    f'{entry.url}/services/booking/bookings',
                    body=tag.encode(),
                    headers={
                        **_build_headers('urgent'),
                        'Idempotency-Key': key,
                    },
                    timeout=READ_TIMEOUT_SECONDS,
                )
            except urllib3.exceptions.HTTPError:
                self._recorder.add(Cut(now(), tag, entry.name))
                self._record_end(tag, End.broken, 'unknown')
                time.sleep(RETRY_INTERVAL_SECONDS)
                continue
            if response.status < 300:
                self._record_end(tag, End.complete)
                return True
            self._record_end(tag, End.refused, _parse_outcome(response.data))
            time.sleep(RETRY_INTERVAL_SECONDS)
        return False

    def _make_key(self, tag: str) -> str:
        # Some callers use keys that carry no time of issue.
        if self._random.random() < UNTIMED_KEY_RATIO:
            return tag
        return make_key(time.time())

    def _choose_entry(self) -> FleetProcess:
        return self._random.choice(self._fleet.entries())

    def _open_stream(
        self, entry: FleetProcess, body: dict[str, object], last_event_id: str
    ) -> urllib3.BaseHTTPResponse:
        if last_event_id:
            stream_id = last_event_id.rpartition('/')[0]
            return self._http.request(
                'GET',
                f'{entry.url}/v1/streams/{stream_id}',
                headers={
                    **_build_headers('normal'),
                    'Last-Event-ID': last_event_id,
                },
                timeout=READ_TIMEOUT_SECONDS,
                preload_content=False,
            )
        return self._http.request(
            'POST',
            f'{entry.url}/v1/chat/completions',
            json=body,
            headers=_build_headers('normal'),
            timeout=READ_TIMEOUT_SECONDS,
            preload_content=False,
        )

    def _record_tokens(
        self,
        tag: str,
        entry: FleetProcess,
        response: urllib3.BaseHTTPResponse,
        last_event_id: str,
    ) -> tuple[str, bool]:
        try:
            for event in _read_events(response):
                if event.payload == '[DONE]':
                    return last_event_id, True
                body = json.loads(event.payload)
                if 'error' in body:
                    # The stream ended with an error and cannot be resumed.
                    return '', False
                delta = body['choices'][0]['delta']
                if delta.get('content'):
                    text = delta['content'].strip()
                    self._recorder.add(Received(now(), tag, text))
                    last_event_id = event.event_id
        except (urllib3.exceptions.HTTPError, OSError):
            self._recorder.add(Cut(now(), tag, entry.name))
            return last_event_id, False
        self._recorder.add(Cut(now(), tag, entry.name))
        return last_event_id, False

    def _record_end(self, tag: str, end: End, outcome: str = '') -> None:
        self._recorder.add(Ended(now(), tag, end, outcome))


def _build_prompt(tag: str, length: int) -> str:
    return f'[[tag={tag}]] [[length={length}]]'


def _build_headers(work_class: str) -> dict[str, str]:
    return {
        'Authorization': f'Bearer {CREDENTIAL}',
        'Wasabi-Class': work_class,
        'Wasabi-Deadline-Seconds': str(DEADLINE_SECONDS),
    }


def _parse_outcome(body: bytes) -> str:
    outcome: str = json.loads(body)['error']['outcome']
    return outcome


def _read_events(response: urllib3.BaseHTTPResponse) -> Iterator[StreamEvent]:
    unparsed = b''
    for received in response.stream():
        unparsed += received
        *complete, unparsed = unparsed.split(b'\n\n')
        for event_text in complete:
            yield _parse_event(event_text.decode())


def _parse_event(event_text: str) -> StreamEvent:
    fields = dict(
        line.split(': ', 1) for line in event_text.splitlines() if ': ' in line
    )
    return StreamEvent(fields.get('id', ''), fields.get('data', '{}'))
