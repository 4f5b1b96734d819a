"""Reader of the settings file that the platform writes for a process."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml

from wasabistream.exceptions import SettingsError
from wasabistream.forwarding.budgets import RepeatLimit
from wasabistream.forwarding.cold_limiters import ColdLimit
from wasabistream.forwarding.endpoints import Endpoint, parse_endpoint
from wasabistream.forwarding.load_trackers import DEFAULT_REUSE_SECONDS
from wasabistream.memory_budgets import DEFAULT_MEMORY_LIMIT_BYTES
from wasabistream.platform.decode_errors import DECODE_ERRORS
from wasabistream.units import BYTES_PER_MEGABYTE, MILLISECONDS_PER_SECOND

# `stable_window_ms` of settings files that lack it.
DEFAULT_RECOVERY_MS = 3000
# `config_apply_ms` of settings files that lack it.
DEFAULT_APPLY_MS = 2000


@dataclass(frozen=True, slots=True)
class Bounds:
    """Hold the platform's limits for this deployment."""

    repeat_limit: RepeatLimit
    # Time between SIGTERM and SIGKILL.
    grace_seconds: float
    # Limit on requests to each backend server that is listed as cold.
    cold_limit: ColdLimit
    # Time after a disruption in which a process must be up to date again.
    recovery_seconds: float
    # Time after its confirmation in which a configuration must be in force.
    apply_seconds: float
    # Time after the end of a backend server in which its address is not
    # assigned to another one.
    reuse_seconds: float


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Hold the settings that the platform writes for one process."""

    process_id: str
    address: str
    data_centre: str
    # Addresses to listen on, by use: front for callers, ready for readiness
    # probes, control for links of other entries.
    listen: Mapping[str, Endpoint]
    # Port at which agents accept links, the same on all machines.
    link_port: int
    seeds: tuple[Endpoint, ...]
    store: Endpoint
    # The backend server beside an agent; None for an entry.
    backend: Endpoint | None
    service: str
    bounds: Bounds
    # Memory of the process at which the platform ends it.
    memory_limit_bytes: int
    # Bandwidth of the machine's link; 0 if the settings state none.
    link_mbps: float = 0


class NodeFile:
    """Read a settings file again only when its contents have changed."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._text = ''
        self._settings: NodeSettings | None = None

    def read(self) -> NodeSettings:
        """Return the settings; raises SettingsError."""
        try:
            text = Path(self._path).read_text()
        except (OSError, ValueError) as error:
            raise SettingsError((f'{self._path}: {error}',)) from error
        if self._settings is None or text != self._text:
            self._settings = self._decode(text)
            self._text = text
        return self._settings

    def _decode(self, text: str) -> NodeSettings:
        try:
            return decode_node(yaml.safe_load(text))
        except yaml.YAMLError as error:
            raise SettingsError((f'{self._path}: {error}',)) from error
        except DECODE_ERRORS as error:
            raise SettingsError((f'{self._path}: {error!r}',)) from error


def read_node_file(path: str) -> NodeSettings:
    """Return the settings in a file; raises SettingsError."""
    return NodeFile(path).read()


def decode_node(fields: Any) -> NodeSettings:
    """Return decoded settings; raises one of DECODE_ERRORS."""
    app = fields.get('app')
    return NodeSettings(
        process_id=str(fields['node_name']),
        address=str(fields['ip']),
        data_centre=str(fields['zone']),
        listen={
            name: parse_endpoint(text)
            for name, text in (fields.get('listen') or {}).items()
        },
        link_port=int(fields['internal_ports'][0]),
        seeds=tuple(parse_endpoint(text) for text in fields.get('seeds') or ()),
        store=parse_endpoint(fields['platform']['address']),
        backend=parse_endpoint(app) if app else None,
        service=str(fields.get('service') or ''),
        bounds=_decode_bounds(fields['bounds']),
        memory_limit_bytes=_decode_memory_limit(fields.get('limits') or {}),
        link_mbps=float((fields.get('limits') or {}).get('link_mbps') or 0),
    )


def _decode_memory_limit(limits: Mapping[str, Any]) -> int:
    if 'memory_mb' not in limits:
        return DEFAULT_MEMORY_LIMIT_BYTES
    return int(float(limits['memory_mb']) * BYTES_PER_MEGABYTE)


def _decode_bounds(bounds: Mapping[str, Any]) -> Bounds:
    return Bounds(
        repeat_limit=RepeatLimit(
            ratio=float(bounds['retry_budget_ratio']),
            window_seconds=float(bounds['budget_window_s']),
            extra_count=float(bounds['budget_extra']),
        ),
        grace_seconds=float(bounds['grace_s']),
        cold_limit=ColdLimit(
            ratio=float(bounds['cold_over']),
            extra_count=float(bounds['cold_slack']),
        ),
        recovery_seconds=(
            float(bounds.get('stable_window_ms', DEFAULT_RECOVERY_MS))
            / MILLISECONDS_PER_SECOND
        ),
        apply_seconds=(
            float(bounds.get('config_apply_ms', DEFAULT_APPLY_MS))
            / MILLISECONDS_PER_SECOND
        ),
        reuse_seconds=float(bounds.get('reuse_after_s', DEFAULT_REUSE_SECONDS)),
    )
