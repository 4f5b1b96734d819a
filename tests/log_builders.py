"""Builders of structured log lines."""

import json
from typing import Any

STREAM_ROUTE = 'drafts'
CALL_ROUTE = 'bookings'
ENGINE = '10.0.0.1:8000'


def build_line(message: str, second: float = 0, **fields: Any) -> str:
    """Return a log line of a process, some seconds after midnight."""
    minutes, seconds = divmod(second, 60)
    line = {
        'asctime': f'2026-12-04 00:{int(minutes):02}:{seconds:06.3f}'.replace(
            '.', ','
        ),
        'levelname': 'INFO',
        'name': 'module',
        'message': message,
        'process_id': 'front-1',
    }
    return json.dumps({**line, **fields})


def build_stream_end(request_id: str, second: float = 10, **fields: Any) -> str:
    """Return the last line of a stream, which was in time by default."""
    ended = {
        'request_id': request_id,
        'route': STREAM_ROUTE,
        'kind': 'streaming',
        'target_seconds': 1.8,
        'target_gap_seconds': 0.18,
        'outcome': 'complete',
        'status': None,
        'servers': [ENGINE],
        'run_count': 1,
        'event_count': 40,
        'first_event_seconds': 0.5,
        'longest_gap_seconds': 0.1,
        'move_count': 0,
        'cut_reason': None,
        'seconds': 6.0,
    }
    return build_line('request: ended', second, **{**ended, **fields})


def build_call_end(request_id: str, **fields: Any) -> str:
    """Return the last line of a call, which was in time by default."""
    ended = {
        'request_id': request_id,
        'route': CALL_ROUTE,
        'kind': 'non_idempotent',
        'target_seconds': 0.2,
        'target_gap_seconds': 0,
        'outcome': 'answered',
        'status': 200,
        'servers': ['10.0.0.9:80'],
        'run_count': 1,
        'seconds': 0.03,
    }
    return build_line('request: ended', 1, **{**ended, **fields})


def build_refusal(second: float, *, version: int, status: int = 404) -> str:
    """Return the line of a request that a configuration does not allow."""
    return build_line(
        'request: refused: no route for this path',
        second,
        request_id='r1',
        status=status,
        version=version,
    )
