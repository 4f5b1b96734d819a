"""Fleet of separate processes that serves a booking service."""

import time
from collections import Counter
from dataclasses import dataclass
from typing import Any

import urllib3

from wasabistream.idempotency_keys import make_key
from wasabistream.owners import owner_of
from wasabistream_tools.demo import CREDENTIAL, HEADERS
from wasabistream_tools.fleet import Fleet, credential_digest

AGENTS = ('booking-1', 'booking-2', 'booking-3')
SETTLING_SECONDS = 3.0
MAX_LIST_AGE_SECONDS = 2.0
WAIT_LIMIT_SECONDS = 60.0
POLL_SECONDS = 0.2
MAX_KEY_TRIES = 1000


@dataclass(frozen=True)
class BookingReply:
    """Hold the reply to one attempt."""

    status: int
    body: dict[str, Any]
    replayed: bool

    @property
    def outcome(self) -> str:
        """Return the outcome; an answer of the service means `run`."""
        error = self.body.get('error')
        return str(error['outcome']) if error else 'run'

    @property
    def reason(self) -> str:
        """Return the error code, or an empty string."""
        error = self.body.get('error')
        return str(error['code']) if error else ''


class BookingFleet(Fleet):
    """Start the agents and entries of a booking service."""

    def __init__(self, **service: Any) -> None:
        super().__init__()
        for name in AGENTS:
            self.add_service(name, 'dc-a', 'booking')
        for name in ('entry-1', 'entry-2'):
            self.add_entry(name, 'dc-a')
        self.publish_document(_document(service))
        self.publish_vms()
        self.wait_until_ready(len(AGENTS))

    def send_booking(
        self, key: str, entry: str = 'entry-1', body: bytes | None = None
    ) -> BookingReply:
        """Send one attempt of a booking and return its reply."""
        response = self.http.request(
            'POST',
            f'{self.processes[entry].url}/services/booking/bookings',
            body=body or key.encode(),
            headers={**HEADERS, 'Idempotency-Key': key},
            timeout=urllib3.Timeout(WAIT_LIMIT_SECONDS),
        )
        replayed = response.headers.get('Idempotency-Replayed') == 'true'
        return BookingReply(response.status, response.json(), replayed)

    def wait_until_running(self, name: str) -> str:
        """Wait until an agent runs a call with a new key; return the key."""
        deadline = time.monotonic() + WAIT_LIMIT_SECONDS
        while time.monotonic() < deadline:
            key = self.new_key_owned_by(name)
            if self.send_booking(key).status == 201:
                return key
            time.sleep(POLL_SECONDS)
        raise TimeoutError(f'{name} does not run calls with new keys')

    def new_key_owned_by(self, name: str) -> str:
        """Return a new key that an agent owns in the published VM list."""
        members = [
            vm_id for vm_id, vm in self.vms.items() if vm['role'] == 'agent'
        ]
        for _ in range(MAX_KEY_TRIES):
            key = make_key(time.time())
            if owner_of(f'desk/{key}', members) == name:
                return key
        raise ValueError(f'{name} owns no key')

    def effects(self) -> Counter[str]:
        """Count the runs of each key at all service stand-ins."""
        counts: Counter[str] = Counter()
        for name in AGENTS:
            counts.update(self._call_stand_in(name, 'effects'))
        return counts

    def inject(self, name: str, fault: str) -> None:
        """Inject a fault into the service behind an agent."""
        self._call_stand_in(name, fault)

    def _call_stand_in(self, name: str, path: str) -> Any:
        url = self.processes[f'{name}-service'].url
        return self.http.request('GET', f'{url}/stand-in/{path}').json()


def _document(service: dict[str, Any]) -> dict[str, Any]:
    return {
        'format': 1,
        'revision': 1,
        'models': [],
        'data_centres': [{'name': 'dc-a'}],
        'organisations': [
            {
                'name': 'desk',
                'credential_sha256': credential_digest(CREDENTIAL),
                'services': ['booking'],
            }
        ],
        'services': [
            {
                'name': 'booking',
                'non_repeatable': [
                    {'method': 'POST', 'path_prefix': '/bookings'}
                ],
                'settling_seconds': SETTLING_SECONDS,
                'list_hold_seconds': MAX_LIST_AGE_SECONDS,
                'clock_offset_seconds': 0.1,
                'timeout_seconds': 5,
                **service,
            }
        ],
    }
