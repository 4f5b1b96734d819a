"""Tests of streams that callers resume."""

import unittest
from typing import Any

from tests.builders import wait_until
from tests.caller_fleets import (
    AGENT_ID,
    HEADERS,
    OTHER_CREDENTIAL,
    open_chat,
    read_events,
    start_caller_fleet,
)
from wasabistream_tools.fleet import Fleet

PATIENT = {'Wasabi-Class': 'patient'}


class ResumeTest(unittest.TestCase):
    """Guard against a resumed stream that does not go on where it stopped."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start a fleet."""
        cls.fleet = start_caller_fleet()
        cls.addClassCleanup(cls.fleet.stop)

    def drop(self, prompt: str, **changes: Any) -> list[tuple[str, Any]]:
        """Read the first 3 events of a stream, then close the connection."""
        response = open_chat(self.fleet, 'entry-a', prompt, **changes)
        events = read_events(response, 3)
        response.close()
        return events

    def resume(self, event_id: str, credential: str = '') -> Any:
        """Resume a stream through the entry of the other data centre."""
        headers = {**HEADERS, 'Last-Event-ID': event_id}
        if credential:
            headers['Authorization'] = f'Bearer {credential}'
        stream_id = event_id.rpartition('/')[0]
        return self.fleet.http.request(
            'GET',
            f'{self.fleet.processes["entry-b"].url}/v1/streams/{stream_id}',
            headers=headers,
            preload_content=False,
            timeout=30,
        )

    def engine_state(self) -> Any:
        """Return the report of the engine."""
        url = self.fleet.processes[f'{AGENT_ID}-engine'].url
        return self.fleet.http.request('GET', f'{url}/state').json()

    def test_resume_in_other_data_centre(self) -> None:
        """Guard against tokens lost, repeated or in another format."""
        first = self.drop('draft [[length=150]]', headers=PATIENT)
        response = self.resume(first[-1][0])
        resumed = read_events(response)
        texts = [
            body['choices'][0]['delta'].get('content', '')
            for _, body in [*first, *resumed[:-1]]
        ]
        expected = ''.join(f'{index} ' for index in range(150))
        self.assertEqual(''.join(texts), expected)
        self.assertEqual(resumed[-1][0], 'done')
        self.assertEqual(
            {body['id'] for _, body in [*first, *resumed[:-1]]},
            {first[0][1]['id']},
        )

    def test_other_organisation_cannot_resume(self) -> None:
        """Guard against a stream read by another organisation."""
        events = self.drop('draft [[length=40]]', headers=PATIENT)
        response = self.resume(events[0][0], OTHER_CREDENTIAL)
        error = response.json()['error']
        self.assertEqual((response.status, error['code']), (404, 'no_stream'))

    def test_dropped_events_are_reported(self) -> None:
        """Guard against a gap in an answer longer than the stream buffer."""
        events = self.drop(
            'draft [[length=200]]', headers=PATIENT, model='short-buffer'
        )
        url = self.fleet.processes['short-buffer-1-engine'].url
        wait_until(
            lambda: (
                not self.fleet.http.request('GET', f'{url}/state').json()[
                    'running'
                ]
            )
        )
        response = self.resume(events[0][0])
        error = response.json()['error']
        self.assertEqual(
            (response.status, error['code'], error['outcome']),
            (410, 'events_dropped', 'unknown'),
        )

    def test_unknown_stream_is_refused(self) -> None:
        """Guard against a hanging resume of a stream that no agent has.

        The agent has restarted, or no agent has the id.
        """
        for event_id in (f'{AGENT_ID}.00000000.1/3', 'vm-none.1.1/3'):
            response = self.resume(event_id)
            self.assertEqual(response.status, 404)
            self.assertEqual(response.json()['error']['outcome'], 'unknown')

    def test_chat_is_cancelled_when_caller_hangs_up(self) -> None:
        """Guard against an engine that generates for a caller that has gone."""
        before = self.engine_state()['cancel_count']
        self.drop('chat [[length=5000]]')
        wait_until(lambda: self.engine_state()['cancel_count'] > before)
