"""Open-loop load of streams at a fixed rate that checks every answer."""

import json
import random
import threading
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

import urllib3

THREAD_COUNT = 128
REQUEST_TIMEOUT_SECONDS = 60
LENGTH_RANGE_TOKENS = (10, 60)
DATA_PREFIX = 'data: '


@dataclass(frozen=True)
class StreamResult:
    """Hold the result of one stream; `error` is empty if it was right."""

    started_seconds: float
    error: str = ''


def check_stream(
    http: urllib3.PoolManager, url: str, credential: str, length_tokens: int
) -> str:
    """Run one stream; return an error text, empty if the answer is right."""
    body: dict[str, Any] = {
        'model': 'assistant',
        'stream': True,
        'prompt': f'count [[length={length_tokens}]]',
    }
    try:
        response = http.request(
            'POST',
            f'{url}/v1/completions',
            json=body,
            headers={'Authorization': f'Bearer {credential}'},
            timeout=REQUEST_TIMEOUT_SECONDS,
        )
    except urllib3.exceptions.HTTPError as error:
        return repr(error)
    if response.status != 200:
        return f'status {response.status}: {response.data.decode()}'
    return _check_events(response.data.decode(), length_tokens)


def _check_events(text: str, length_tokens: int) -> str:
    events = [
        line.removeprefix(DATA_PREFIX)
        for line in text.splitlines()
        if line.startswith(DATA_PREFIX)
    ]
    if not events or events[-1] != '[DONE]':
        return f'stream was cut: {text[-200:]}'
    texts = [json.loads(event)['choices'][0]['text'] for event in events[:-1]]
    expected = ' '.join(str(number) for number in range(length_tokens))
    return '' if ''.join(texts).strip() == expected else 'wrong tokens'


class SteadyLoad:
    """Send streams at a fixed rate to entries in turn."""

    def __init__(
        self,
        urls: Sequence[str],
        credential: str,
        rate_per_second: float,
        seed: int,
    ) -> None:
        self._urls = urls
        self._credential = credential
        self._interval_seconds = 1 / rate_per_second
        self._random = random.Random(seed)
        self._http = urllib3.PoolManager(maxsize=THREAD_COUNT, retries=False)
        self._pool = ThreadPoolExecutor(THREAD_COUNT, 'load')
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._send_streams, daemon=True)
        self.results: list[StreamResult] = []

    def start(self) -> None:
        """Start sending."""
        self._thread.start()

    def stop(self) -> list[StreamResult]:
        """Stop sending; return all results once the last stream has ended."""
        self._stopped.set()
        self._thread.join()
        self._pool.shutdown()
        return self.results

    def _send_streams(self) -> None:
        number = 0
        next_seconds = time.monotonic()
        while not self._stopped.wait(max(next_seconds - time.monotonic(), 0)):
            url = self._urls[number % len(self._urls)]
            self._pool.submit(
                self._run_stream,
                url,
                self._random.randint(*LENGTH_RANGE_TOKENS),
            )
            number += 1
            next_seconds += self._interval_seconds

    def _run_stream(self, url: str, length_tokens: int) -> None:
        started_seconds = time.monotonic()
        error = check_stream(self._http, url, self._credential, length_tokens)
        self.results.append(StreamResult(started_seconds, error))
