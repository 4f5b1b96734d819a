"""Tests of the caller API with the unmodified OpenAI client library."""

import unittest
from typing import Any

import openai

from tests.caller_fleets import (
    CREDENTIAL,
    HEADERS,
    OTHER_CREDENTIAL,
    open_chat,
    start_caller_fleet,
)
from wasabistream_tools.fleet import Fleet

EXPECTED_TEXT = ''.join(f'{index} ' for index in range(12))
MESSAGES: Any = [{'role': 'user', 'content': 'hello [[length=12]]'}]
PROMPT = 'hello [[length=12]]'


class OpenAiClientTest(unittest.TestCase):
    """Check that an OpenAI client needs only another base URL and API key."""

    fleet: Fleet
    client: openai.OpenAI

    @classmethod
    def setUpClass(cls) -> None:
        """Start a fleet."""
        cls.fleet = start_caller_fleet()
        cls.addClassCleanup(cls.fleet.stop)
        cls.client = cls.connect(CREDENTIAL)

    @classmethod
    def connect(cls, credential: str) -> openai.OpenAI:
        """Return a client that uses the credential of one organisation."""
        return openai.OpenAI(
            base_url=f'{cls.fleet.processes["entry-a"].url}/v1',
            api_key=credential,
            max_retries=0,
            timeout=30,
        )

    def test_whole_answers(self) -> None:
        """Guard the format and the token counts of answers without streaming."""
        chat = self.client.chat.completions.create(
            model='assistant',
            messages=MESSAGES,
            max_tokens=100,
            stop=['END'],
            temperature=0.5,
            user='someone',
        )
        self.assertEqual(chat.choices[0].message.content, EXPECTED_TEXT)
        self.assertEqual(chat.choices[0].finish_reason, 'stop')
        usage = chat.usage
        assert usage is not None
        self.assertEqual(usage.completion_tokens, 12)
        self.assertEqual(
            usage.total_tokens, usage.prompt_tokens + usage.completion_tokens
        )
        plain = self.client.completions.create(model='assistant', prompt=PROMPT)
        self.assertEqual(plain.choices[0].text, EXPECTED_TEXT)

    def test_streamed_answers(self) -> None:
        """Guard the format of streamed events and the token counts at the end."""
        events = list(
            self.client.chat.completions.create(
                model='assistant',
                messages=MESSAGES,
                stream=True,
                stream_options={'include_usage': True},
            )
        )
        texts = [
            event.choices[0].delta.content or ''
            for event in events
            if event.choices
        ]
        self.assertEqual(''.join(texts), EXPECTED_TEXT)
        self.assertEqual(events[0].choices[0].delta.role, 'assistant')
        usage = events[-1].usage
        assert usage is not None
        self.assertEqual(usage.completion_tokens, 12)
        plain = self.client.completions.create(
            model='assistant', prompt=PROMPT, stream=True
        )
        text = ''.join(event.choices[0].text for event in plain)
        self.assertEqual(text, EXPECTED_TEXT)

    def test_models(self) -> None:
        """Guard the list of models and the lookup of one."""
        names = [model.id for model in self.client.models.list()]
        self.assertEqual(names, ['assistant', 'short-buffer'])
        self.assertEqual(
            self.client.models.retrieve('assistant').id, 'assistant'
        )

    def test_errors(self) -> None:
        """Guard the exception classes that the client library raises."""
        with self.assertRaises(openai.AuthenticationError):
            self.connect('wrong').models.list()
        not_found = self.assertRaises(openai.NotFoundError)
        with not_found:
            self.client.completions.create(model='none', prompt=PROMPT)
        body: Any = not_found.exception.body
        self.assertEqual(body['outcome'], 'not_run')
        with self.assertRaises(openai.BadRequestError):
            self.client.completions.create(
                model='assistant', prompt=PROMPT, n=2
            )

    def test_concurrency_limit(self) -> None:
        """Guard against requests over an organisation's limit that are accepted."""
        headers = {'Authorization': f'Bearer {OTHER_CREDENTIAL}'}
        response = open_chat(
            self.fleet, 'entry-a', 'hello [[length=5000]]', headers=headers
        )
        self.addCleanup(response.close)
        limited = self.assertRaises(openai.RateLimitError)
        with limited:
            self.connect(OTHER_CREDENTIAL).completions.create(
                model='assistant', prompt=PROMPT
            )
        self.assertIn('retry-after', limited.exception.response.headers)

    def test_http_errors_are_json(self) -> None:
        """Guard against errors of the HTTP server that have no JSON body."""
        url = self.fleet.processes['entry-a'].url
        cases = [
            ('GET', '/none', {}, b'', 404),
            ('DELETE', '/v1/models', {}, b'', 405),
            ('POST', '/v1/completions', {}, b'x' * 2_000_000, 413),
            ('GET', '/v1/models', {'X-Long': 'x' * 40_000}, b'', 431),
        ]
        for method, path, extra_headers, body, status in cases:
            with self.subTest(status=status):
                response = self.fleet.http.request(
                    method,
                    url + path,
                    headers={**HEADERS, **extra_headers},
                    body=body,
                )
                self.assertEqual(response.status, status)
                self.assertEqual(response.json()['error']['outcome'], 'not_run')

    def test_path_and_method_spellings_do_not_bypass_rules(self) -> None:
        """Guard against a booking that runs without an idempotency key.

        If another spelling of its path or method did not match the rule, the
        booking would count as safe to repeat, and a retry could run it twice.
        """
        url = self.fleet.processes['entry-a'].url
        paths = ('//bookings', '/%2Fbookings', '/./bookings', '/%62ookings')
        for method, path in [('post', '/bookings')] + [
            ('POST', path) for path in paths
        ]:
            with self.subTest(method=method, path=path):
                response = self.fleet.http.request(
                    method,
                    f'{url}/services/booking{path}',
                    headers={**HEADERS, 'X-HTTP-Method-Override': 'GET'},
                )
                code = response.json()['error']['code']
                self.assertEqual((response.status, code), (400, 'key_required'))
