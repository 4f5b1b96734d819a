"""Builders of test data."""

import itertools
import socket
from collections.abc import Callable
from typing import Any

from tests.waits import wait_for
from wasabistream.buffers import StreamBuffer
from wasabistream.jobs import GenerationJob
from wasabistream.requests import Generate
from wasabistream.vms import Role, Vm

BUFFER_BYTES = 1024 * 1024
FAR_DEADLINE_SECONDS = 1e9
WAIT_LIMIT_SECONDS = 20.0

_numbers = itertools.count(1)


def build_generate(**changes: Any) -> Generate:
    """Return a generation request."""
    fields: dict[str, Any] = {
        'request_id': f'entry.{next(_numbers)}',
        'organisation': 'desk',
        'model': 'assistant',
        'work_class': 'normal',
        'prompt': 'hello',
        'prompt_tokens': 10,
        'max_tokens': 100,
        'deadline_seconds': 60.0,
        'fingerprint': 1,
        'document_revision': 1,
    }
    return Generate(**{**fields, **changes})


def build_job(**changes: Any) -> GenerationJob:
    """Return a generation job without a subscriber."""
    return GenerationJob(
        request=build_generate(**changes),
        stream_id=f'agent.{next(_numbers)}',
        deadline_monotonic_seconds=FAR_DEADLINE_SECONDS,
        buffer=StreamBuffer(BUFFER_BYTES),
        subscriber=None,
    )


def build_document(**changes: Any) -> dict[str, Any]:
    """Return the JSON value of a small configuration document."""
    fields: dict[str, Any] = {
        'format': 1,
        'revision': 1,
        'models': [],
        'data_centres': [{'name': 'dc-a'}],
        'organisations': [],
    }
    return {**fields, **changes}


def build_socket_pair() -> tuple[socket.socket, socket.socket]:
    """Return two connected TCP sockets."""
    with socket.create_server(('127.0.0.1', 0)) as server:
        near = socket.create_connection(server.getsockname())
        far, _ = server.accept()
    return near, far


def build_full_document(**changes: Any) -> dict[str, Any]:
    """Return the JSON value of a document that uses every field."""
    fields: dict[str, Any] = {
        'format': 1,
        'revision': 1,
        'models': [
            {
                'name': 'assistant',
                'version': '1',
                'data_centres': ['dc-a', 'dc-b'],
                'adapters': ['assistant-legal'],
                'min_replica_count': 1,
                'weight': 2.5,
                'version_by_data_centre': {'dc-b': '2'},
                'roles': [
                    {'role': 'prefill', 'weight': 0.25},
                    {'role': 'decode', 'weight': 0.75},
                ],
            }
        ],
        'data_centres': [
            {'name': 'dc-a', 'in_service': True, 'region': 'north'},
            {'name': 'dc-b'},
        ],
        'organisations': [
            {
                'name': 'desk',
                'credential_sha256': 'ab' * 32,
                'priority_weight': 2,
                'models': ['assistant'],
                'services': ['booking'],
                'default_class': 'urgent',
                'classes': ['urgent', 'normal'],
                'max_concurrent_count': 10,
                'max_output_tokens': 1000,
            }
        ],
        'services': [
            {
                'name': 'booking',
                'non_repeatable': [
                    {'method': 'POST', 'path_prefix': '/bookings'}
                ],
                'retry_horizon_seconds': 600,
                'settling_seconds': 10,
                'clock_offset_seconds': 1,
                'timeout_seconds': 10,
            }
        ],
        'engine_kinds': [{'name': 'standard', 'checks_fencing': False}],
        'backend_servers_out': ['engine-9'],
        'weight_loads_per_minute': 60,
    }
    return {**fields, **changes}


def wait_until(condition: Callable[[], Any]) -> None:
    """Wait for a condition; raises TimeoutError after a bounded time."""
    if not wait_for(condition, WAIT_LIMIT_SECONDS):
        raise TimeoutError('condition did not become true')


def build_vm(name: str, **changes: Any) -> Vm:
    """Return an agent's entry in the VM list."""
    fields: dict[str, Any] = {
        'id': name,
        'role': Role.agent,
        'address': '127.0.0.1',
        'link_port': 1,
        'data_centre': 'dc-a',
    }
    return Vm(**{**fields, **changes})
