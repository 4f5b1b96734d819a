"""Deployment of a soak: addresses, settings, routes and configurations."""

import base64
import json
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from wasabistream_tools.soak.stores import SMALL_PAGE, PageLimit

# Those of a run are the first ones.
DATA_CENTRES = ('dc-a', 'dc-b', 'dc-c')
HOST = 'soak.example'
BASE_KEY = 'key-base'
BASE_TENANT = 'org-base'
CHANGING_TENANT = 'org-changing'
FRONT_PORT = 8740
CONTROL_PORT = 8748
READY_PORT = 8749
LINK_PORT = 7200
METRICS_PORT = 9464
ENGINE_PORT = 8080
# Held by the run that uses a network.
NETWORK_LOCK_PORT = 7199
NETWORK_NUMBERS = range(10, 250)
ENTRY_SUBNET = 1
ENGINE_SUBNET = 2
PLAIN_SUBNET = 3
# Proxies of the links between entries.
LINK_SUBNET = 4
HEARTBEAT_SECONDS = 1.2
MAX_SEED_COUNT = 3
# The limits of the deployment khfw-route, as its sheet states them.
BOUNDS: Mapping[str, Any] = {
    'reuse_after_s': 2,
    'stable_window_ms': 3000,
    'drain_ms': 2000,
    'grace_s': 8,
    'loss_slack_ms': 200,
    'config_apply_ms': 2000,
    'rollback_slack_ms': 250,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_extra': 56,
    'cold_over': 1.5,
    'cold_slack': 5,
}


@dataclass(frozen=True)
class RequestKind:
    """Describe the requests of one route."""

    prefix: str
    route_kind: str
    service: str
    # Timeout of the route and deadline of the first attempt.
    deadline_ms: int
    is_resumable: bool = False

    @property
    def is_streaming(self) -> bool:
        """Return whether answers are streams of events."""
        return self.route_kind == 'streaming'

    @property
    def may_run_again(self) -> bool:
        """Return whether one request may run more than once."""
        return self.route_kind == 'idempotent' or self.is_resumable


CHAT = RequestKind('/chat/', 'streaming', 'writer', 6000, is_resumable=True)
DRAFT = RequestKind('/draft/', 'streaming', 'writer', 39000)
LOOKUP = RequestKind('/look/', 'idempotent', 'desk', 1000)
RESERVATION = RequestKind('/book/', 'non_idempotent', 'desk', 1000)
# Its route is moved between the two plain services.
MOVING = RequestKind('/moving/', 'idempotent', 'desk', 1000)
BASE_KINDS = (CHAT, DRAFT, LOOKUP, RESERVATION, MOVING)
PLAIN_SERVICES = ('desk', 'desk-other')
ENGINE_SERVICE = 'writer'
# Its servers only make the store's list longer.
SPARE_SERVICE = 'spare'


@dataclass(frozen=True)
class SiteSize:
    """Hold how large a run's deployment is and how fast its machines are."""

    data_centre_count: int = len(DATA_CENTRES)
    # Routes of each configuration on which no client sends requests.
    filler_route_count: int = 0
    # Servers to which no route leads.
    spare_server_count: int = 0
    page_limit: PageLimit = SMALL_PAGE
    # Processors that all entries share; 0 for all of the machine.
    processor_count: int = 0
    # Rate of the store's answers to each entry; 0 for no limit.
    store_bytes_per_second: float = 0
    # Clients at each entry that only use what configurations have changed.
    probe_count: int = 0


def build_added_kind(prefix: str) -> RequestKind:
    """Return the kind of requests of a route that is added during a run."""
    return RequestKind(prefix, 'idempotent', 'desk', 1000)


class Network:
    """Hold a loopback network that no other run uses at the same time."""

    def __init__(self) -> None:
        self._lock = socket.socket()
        for number in NETWORK_NUMBERS:
            try:
                self._lock.bind((f'127.{number}.0.1', NETWORK_LOCK_PORT))
            except OSError:
                continue
            self._number = number
            return
        raise OSError('no loopback network is free')

    def address(self, subnet: int, number: int) -> str:
        """Return the address of a machine."""
        return f'127.{self._number}.{subnet}.{number}'

    def release(self) -> None:
        """Let other runs use the network."""
        self._lock.close()


def build_node(
    name: str, address: str, data_centre: str, store_port: int
) -> dict[str, Any]:
    """Return the settings that all daemons share."""
    return {
        'node_name': name,
        'ip': address,
        'zone': data_centre,
        'internal_ports': [LINK_PORT, LINK_PORT + 15],
        'limits': {'memory_mb': 300},
        'heartbeat_ms': 1200,
        'bounds': dict(BOUNDS),
        'platform': {'address': f'127.0.0.1:{store_port}', 'form': 'read'},
    }


def build_document(
    version: int,
    services_by_prefix: Mapping[str, str],
    api_keys: frozenset[str],
    filler_route_count: int = 0,
) -> dict[str, Any]:
    """Return a configuration in the platform's format."""
    base = {kind.prefix: kind for kind in BASE_KINDS}
    return {
        'version': version,
        'routes': [
            _build_route(base.get(prefix) or build_added_kind(prefix), service)
            for prefix, service in services_by_prefix.items()
        ]
        + [
            _build_route(build_added_kind(f'/filler-{number}/'), LOOKUP.service)
            for number in range(filler_route_count)
        ],
        'services': [
            {
                'name': ENGINE_SERVICE,
                'health_path': '/health',
                'max_connections': 252,
                'cold_start_s': 1.0,
                'cold_per_s': 37.0,
                'engine': {'slots': 24, 'kv_tokens': 34267, 'moves': True},
            },
            *(
                {'name': name, 'health_path': '/health', 'max_connections': 110}
                for name in (*PLAIN_SERVICES, SPARE_SERVICE)
            ),
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [
            {'name': BASE_TENANT, 'api_keys': [BASE_KEY], 'priority': 1},
            {
                'name': CHANGING_TENANT,
                'api_keys': sorted(api_keys - {BASE_KEY}),
                'priority': 1,
            },
        ],
    }


def build_row(key: str, revision: int, fields: Any) -> dict[str, Any]:
    """Return an item in the format of the store's answers."""
    content = json.dumps(fields).encode()
    return {
        'key': key,
        'value': base64.b64encode(content).decode(),
        'revision': revision,
        'create_rev': revision,
        'lease': 0,
    }


def _build_route(kind: RequestKind, service: str) -> dict[str, Any]:
    return {
        'name': kind.prefix.strip('/'),
        'host': HOST,
        'prefix': kind.prefix,
        'kind': kind.route_kind,
        'timeout_ms': kind.deadline_ms,
        'target_latency_ms': 1500 if kind.is_streaming else 125,
        'priority': 0,
        'service': service,
        'max_attempts': 2 if kind.may_run_again else 1,
        'public': False,
        'sticky': kind.is_streaming,
        'resumable': kind.is_resumable,
        'gap_aim_ms': 180 if kind.is_streaming else 0,
    }
