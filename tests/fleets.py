"""Small fleets of separate processes for tests.

The backend servers are engine stand-ins: processes that imitate an engine.
"""

import json
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from wasabistream_tools.demo import HEADERS, demo_document
from wasabistream_tools.fleet import Fleet

WAIT_SECONDS = 30.0


def start_engine_fleet(
    names: tuple[str, ...],
    entries: tuple[str, ...] = ('entry-1',),
    agent_flags: dict[str, Any] | None = None,
    **engine_options: Any,
) -> Fleet:
    """Start engine stand-ins, their agents and entries in one data centre.

    Returns when the entries can use all agents.
    """
    fleet = Fleet()
    flags = {'log_level': 'ERROR', **(agent_flags or {})}
    for name in names:
        fleet.add_engine(name, 'dc-a', flags, **engine_options)
    for name in entries:
        fleet.add_entry(name, 'dc-a', log_level='ERROR')
    fleet.publish_document(demo_document())
    fleet.publish_vms()
    fleet.wait_until_ready(len(names))
    return fleet


def complete(
    fleet: Fleet, url: str, prompt: str, work_class: str = 'normal'
) -> tuple[int, str]:
    """Run a completion; return its status and error code."""
    return _post(fleet, f'{url}/v1/completions', {'prompt': prompt}, work_class)


def chat(fleet: Fleet, url: str, *contents: str) -> tuple[int, str]:
    """Run a chat with these messages; return its status and error code."""
    messages = [{'role': 'user', 'content': content} for content in contents]
    return _post(
        fleet, f'{url}/v1/chat/completions', {'messages': messages}, 'normal'
    )


def _post(
    fleet: Fleet, url: str, body: dict[str, Any], work_class: str
) -> tuple[int, str]:
    response = fleet.http.request(
        'POST',
        url,
        json={'model': 'assistant', **body},
        headers={
            **HEADERS,
            'Wasabi-Class': work_class,
            'Wasabi-Deadline-Seconds': '600',
        },
        timeout=WAIT_SECONDS,
    )
    answer = json.loads(response.data)
    return response.status, answer.get('error', {}).get('code', '')


def complete_many(
    fleet: Fleet, url: str, prompts: list[str]
) -> list[tuple[int, str]]:
    """Run completions concurrently; return their statuses and error codes."""
    with ThreadPoolExecutor(len(prompts)) as pool:
        return list(
            pool.map(lambda prompt: complete(fleet, url, prompt), prompts)
        )


def engine_state(fleet: Fleet, name: str) -> dict[str, Any]:
    """Return the state of an engine stand-in."""
    url = fleet.processes[f'{name}-engine'].url
    state: dict[str, Any] = fleet.http.request(
        'GET', f'{url}/stand-in/state', timeout=WAIT_SECONDS, retries=3
    ).json()
    return state


def inject_fault(fleet: Fleet, name: str, fault: str) -> None:
    """Inject a fault into a stand-in by a POST to `/stand-in/<fault>`."""
    url = fleet.processes[f'{name}-engine'].url
    fleet.http.request('POST', f'{url}/stand-in/{fault}', timeout=WAIT_SECONDS)


def wait_until_engines_up(fleet: Fleet, names: tuple[str, ...]) -> None:
    """Wait until no engine is down; return at the time limit without error."""
    deadline = time.monotonic() + WAIT_SECONDS
    while time.monotonic() < deadline:
        if not any(engine_state(fleet, name)['down'] for name in names):
            return
        time.sleep(0.05)
