"""Facts of a soak, as its recorder collects them."""

import signal
from collections.abc import Mapping
from typing import Any

from wasabistream_tools.soak import sites
from wasabistream_tools.soak.records import (
    Attempt,
    Configuration,
    Ending,
    Run,
    RunEnding,
    Signalled,
    Started,
)

# Moment of the SIGTERM and of the request's first byte, in seconds.
STOP_AT = 100.0
SENT_AT = 101.0
CONTENT = b'whole body'
SERVICES = {kind.prefix: kind.service for kind in sites.BASE_KINDS}
STARTED = Started('entry-1', 0)
STOPPED = Signalled('entry-1', STOP_AT, signal.SIGTERM)


def build_attempt(**changes: Any) -> Attempt:
    """Return a chat that is answered whole, with these changes."""
    fields: dict[str, Any] = {
        'attempt_id': 'a1',
        'entry': 'entry-1',
        'prefix': sites.CHAT.prefix,
        'api_key': sites.BASE_KEY,
        'body': b'b',
        'may_run_again': True,
        'deadline_seconds': 6.0,
        'begun_at_seconds': SENT_AT,
        'sent_at_seconds': SENT_AT,
        'ended_at_seconds': SENT_AT + 2,
        'ending': Ending.whole,
        'status': 200,
        'echoed_id': 'a1',
        'seal': 's1',
        'content': CONTENT,
    }
    return Attempt(**{**fields, **changes})


def build_cut(ending: Ending = Ending.closed, **changes: Any) -> Attempt:
    """Return a request whose connection ends without an answer."""
    answer = {'status': 0, 'echoed_id': '', 'seal': '', 'content': b''}
    return build_attempt(ending=ending, **{**answer, **changes})


def build_refused(status: int, **changes: Any) -> Attempt:
    """Return a request that the entry itself refuses."""
    return build_attempt(status=status, seal='', content=b'', **changes)


def build_run(**changes: Any) -> Run:
    """Return the run of the same request, with these changes."""
    fields: dict[str, Any] = {
        'attempt_id': 'a1',
        'server_id': 'engine-1',
        'service': sites.ENGINE_SERVICE,
        'begun_at_seconds': SENT_AT,
        'ended_at_seconds': SENT_AT + 2,
        'ending': RunEnding.done,
        'prefix': sites.CHAT.prefix,
        'tenant': sites.BASE_TENANT,
        'body': b'b',
        'status': 200,
        'seal': 's1',
        'content': CONTENT,
    }
    return Run(**{**fields, **changes})


def build_configuration(
    version: int,
    acked_at_seconds: float,
    changes: Mapping[str, str] | None = None,
) -> Configuration:
    """Return a configuration with some routes changed."""
    return Configuration(
        version,
        acked_at_seconds,
        acked_at_seconds,
        {**SERVICES, **(changes or {})},
        frozenset((sites.BASE_KEY,)),
    )
