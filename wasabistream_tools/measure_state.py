"""Measurement of memory and CPU time per item of the state of a process."""

import gc
import json
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from wasabistream.backends import BackendDirectory
from wasabistream.buffers import StreamBuffer
from wasabistream.documents import parse_document
from wasabistream.estimators import LengthEstimator
from wasabistream.frames import FrameReader, encode_frame
from wasabistream.ledgers import CallLedger
from wasabistream.requests import ServiceAnswer, Token
from wasabistream.vms import Role, Vm, parse_vm_list
from wasabistream_tools.fleet import credential_digest
from wasabistream_tools.linear_fits import fit_line
from wasabistream_tools.measurement_reports import MeasurementReport

ITEM_COUNTS = (500, 1000, 2000, 4000)
BUFFER_LIMIT_BYTES = 1024 * 1024 * 1024

StateBuilder = Callable[[int], object]

_state_builders: dict[str, StateBuilder] = {}


def state(name: str) -> Callable[[StateBuilder], StateBuilder]:
    """Register a function that builds state with a number of items."""

    def register(build: StateBuilder) -> StateBuilder:
        _state_builders[name] = build
        return build

    return register


@state('document, per organisation')
def build_document(count: int) -> object:
    """Parse a document with many organisations."""
    organisations = [
        {
            'name': f'organisation-{number}',
            'credential_sha256': credential_digest(str(number)),
            'models': ['assistant'],
            'services': ['booking'],
        }
        for number in range(count)
    ]
    document = {
        'format': 1,
        'revision': 1,
        'models': [
            {'name': 'assistant', 'version': '1', 'data_centres': ['dc-a']}
        ],
        'data_centres': [{'name': 'dc-a'}],
        'organisations': organisations,
        'services': [{'name': 'booking'}],
    }
    version = parse_document(json.dumps(document).encode())
    # The index by credential is built on its first use.
    return version, version.document.organisations_by_digest


@state('VM list, per VM')
def build_vm_list(count: int) -> object:
    """Parse a VM list."""
    vms = [
        {
            'id': f'engine-{number}',
            'role': 'agent',
            'address': '10.0.0.1',
            'link_port': 7000,
            'data_centre': 'dc-a',
            'state': 'live',
        }
        for number in range(count)
    ]
    return parse_vm_list(json.dumps({'vms': vms}).encode(), 1)


@state('backend view, per agent')
def build_directory(count: int) -> object:
    """Fill the directory of backend servers of an entry."""
    directory = BackendDirectory()
    for number in range(count):
        directory.put(
            Vm(f'engine-{number}', Role.agent, '10.0.0.1', 7000, 'dc-a')
        )
    return directory


@state('stream buffer, per token')
def build_buffer(count: int) -> object:
    """Fill the buffer of a stream."""
    buffer = StreamBuffer(BUFFER_LIMIT_BYTES)
    for number in range(count):
        buffer.append(f' word{number}')
    return buffer


@state('call ledger, per key')
def build_ledger(count: int) -> object:
    """Fill the call ledger of a key owner with small answers."""
    ledger = CallLedger(BUFFER_LIMIT_BYTES)
    for number in range(count):
        key = f'organisation/{number}'
        ledger.record_key(key, 'digest', 0, 600)
        body = json.dumps({'number': number}).encode()
        ledger.complete(key, ServiceAnswer(str(number), 201, {}, body))
    return ledger


@state('length estimator, per key')
def build_estimator(count: int) -> object:
    """Fill an estimator with one observation for each key."""
    estimator = LengthEstimator()
    for number in range(count):
        estimator.observe((f'organisation-{number}', 'assistant', 'normal'), 9)
    return estimator


@state('token frame, per token')
def decode_tokens(count: int) -> object:
    """Encode and decode token frames."""
    frames = b''.join(
        encode_frame(Token('entry.abcd.1', number, ' word'))
        for number in range(count)
    )
    return FrameReader('peer').feed(frames)


def run(**options: Any) -> None:
    """Print bytes and CPU time per item for each kind of state."""
    report = MeasurementReport(bool(options.get('json')))
    for name, build in _state_builders.items():
        build(ITEM_COUNTS[0])
        memory = fit_line(
            ITEM_COUNTS,
            [_measure_memory_bytes(build, count) for count in ITEM_COUNTS],
        )
        cpu = fit_line(
            ITEM_COUNTS,
            [_measure_cpu_seconds(build, count) for count in ITEM_COUNTS],
        )
        report.add_row(
            state=name,
            bytes_per_item=memory.slope,
            cpu_microseconds_per_item=1e6 * cpu.slope,
        )
    report.close()


def _measure_memory_bytes(build: StateBuilder, count: int) -> float:
    gc.collect()
    tracemalloc.start()
    # The reference keeps the state allocated while it is measured.
    references = [build(count)]
    gc.collect()
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    references.clear()
    return float(allocated_bytes)


def _measure_cpu_seconds(build: StateBuilder, count: int) -> float:
    started_seconds = time.process_time()
    build(count)
    return time.process_time() - started_seconds
