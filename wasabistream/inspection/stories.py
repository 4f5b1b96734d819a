"""The log lines that tell what happened to one request."""

from collections.abc import Iterable
from dataclasses import dataclass

from wasabistream.inspection.log_lines import LogLine

# State changes of a process or server this long before a line are shown too.
CONTEXT_SECONDS = 5.0
# Messages that tell what a process believes, not what it did with a request.
STATE_PREFIXES = (
    'engine: ',
    'store: ',
    'fleet: ',
    'entry: ',
    'agent: ',
    'settings: ',
)
MAX_STATE_LINE_COUNT = 100_000
HIDDEN_FIELDS = frozenset(
    ('asctime', 'levelname', 'name', 'message', 'process_id', 'request_id')
)


@dataclass(frozen=True, slots=True)
class StoryRow:
    """Show one log line of a request's story."""

    time: str
    process: str
    message: str
    inputs: str


def tell_story(request_id: str, lines: Iterable[LogLine]) -> list[StoryRow]:
    """Return the lines about a request and the state changes around them."""
    own_lines: list[LogLine] = []
    state_lines: list[LogLine] = []
    for line in lines:
        if line.request_id == request_id:
            own_lines.append(line)
        elif (
            line.message.startswith(STATE_PREFIXES)
            and len(state_lines) < MAX_STATE_LINE_COUNT
        ):
            state_lines.append(line)
    if not own_lines:
        return []
    shown = own_lines + _find_related(own_lines, state_lines)
    shown.sort(key=_time_text)
    return [_build_row(shown_line) for shown_line in shown]


def _time_text(line: LogLine) -> str:
    return line.time_text


def _find_related(
    own_lines: list[LogLine], state_lines: list[LogLine]
) -> list[LogLine]:
    times_seconds = [line.time_seconds for line in own_lines]
    earliest = min(times_seconds) - CONTEXT_SECONDS
    latest = max(times_seconds)
    processes = {line.process_id for line in own_lines}
    servers = {
        str(server)
        for line in own_lines
        for server in line.fields.get('servers') or ()
    }
    return [
        line
        for line in state_lines
        if earliest <= line.time_seconds <= latest
        and (
            line.process_id in processes
            or line.fields.get('endpoint') in servers
        )
    ]


def _build_row(line: LogLine) -> StoryRow:
    inputs = ' '.join(
        f'{name}={text}'
        for name, text in line.fields.items()
        if name not in HIDDEN_FIELDS and text is not None
    )
    return StoryRow(line.time_text, line.process_id, line.message, inputs)
