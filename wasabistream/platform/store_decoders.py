"""Decode store items that the operator and backend servers write."""

import ipaddress
import json
import logging
from collections.abc import Mapping
from typing import Any

from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.caller_limits import CallerLimits
from wasabistream.forwarding.configurations import (
    RoutingConfiguration,
    group_routes,
)
from wasabistream.forwarding.endpoints import parse_endpoint
from wasabistream.forwarding.fleets import Fleet
from wasabistream.forwarding.mirrors import MirrorItem
from wasabistream.forwarding.organisations import KeyHolder
from wasabistream.forwarding.routes import Destination, Route, RouteKind
from wasabistream.forwarding.services import EngineProfile, Service
from wasabistream.platform.decode_errors import DECODE_ERRORS, decode_count
from wasabistream.units import MAX_PORT, MILLISECONDS_PER_SECOND

logger = logging.getLogger(__name__)

CONFIGURATION_KEY = 'op/config'
EVACUATION_PREFIX = 'op/evacuate/'
SERVER_PREFIX = 'servers/'
SERVER_STATES = frozenset(('ready', 'draining'))


class FleetDecoder:
    """Build the fleet from the items of the store.

    The configuration is decoded only when its item has changed. Items are
    compared as a whole, since the store gives revisions out again after its
    return from an older copy.
    """

    def __init__(self) -> None:
        self._configuration: RoutingConfiguration | None = None
        self._configuration_item: MirrorItem | None = None
        # Items of servers as they were decoded last, by key. Each heartbeat of
        # one server changes its item, and the others would be decoded with it.
        # None stands for an item that cannot be decoded; it is logged once.
        self._decoded: dict[str, tuple[MirrorItem, BackendServer | None]] = {}

    def decode(self, items: Mapping[str, MirrorItem]) -> Fleet:
        """Return the fleet; logs and leaves out items it cannot decode."""
        self._update_configuration(items.get(CONFIGURATION_KEY))
        configuration = self._configuration
        services = configuration.services if configuration else {}
        servers = {}
        for removed_key in self._decoded.keys() - items.keys():
            self._decoded.pop(removed_key)
        for store_item in items.values():
            if store_item.key.startswith(SERVER_PREFIX):
                server = self._find_server(store_item)
                if server is not None and server.service in services:
                    servers[server.server_id] = server
        evacuations = [
            key for key in items if key.startswith(EVACUATION_PREFIX)
        ]
        return Fleet(
            configuration=configuration,
            servers=servers,
            data_centres_out=frozenset(
                key.removeprefix(EVACUATION_PREFIX) for key in evacuations
            ),
        )

    def _update_configuration(self, store_item: MirrorItem | None) -> None:
        if store_item is None or store_item == self._configuration_item:
            return
        self._configuration_item = store_item
        try:
            configuration = decode_configuration(json.loads(store_item.content))
        except DECODE_ERRORS as error:
            logger.error('platform: configuration is refused: %r', error)
            return
        current = self._configuration
        if current is not None and configuration.version < current.version:
            logger.warning(
                'platform: configuration is older than the one in force',
                extra={
                    'version': configuration.version,
                    'version_in_force': current.version,
                    'revision': store_item.revision,
                },
            )
        elif configuration != current:
            self._configuration = configuration

    def _find_server(self, store_item: MirrorItem) -> BackendServer | None:
        decoded = self._decoded.get(store_item.key)
        if decoded is None or decoded[0] != store_item:
            decoded = store_item, self._decode_server(store_item)
            self._decoded[store_item.key] = decoded
        return decoded[1]

    def _decode_server(self, store_item: MirrorItem) -> BackendServer | None:
        server_id = store_item.key.removeprefix(SERVER_PREFIX)
        try:
            return decode_server(server_id, json.loads(store_item.content))
        except DECODE_ERRORS as error:
            logger.warning(
                'platform: server item is left out: %r',
                error,
                extra={'server_id': server_id},
            )
            return None


def decode_configuration(document: Any) -> RoutingConfiguration:
    """Return a configuration; raises one of DECODE_ERRORS."""
    holders = document.get('tenants')
    limits = document.get('limits') or {}
    default = CallerLimits()
    return RoutingConfiguration(
        version=int(document['version']),
        routes_by_host=group_routes(
            _decode_route(row) for row in document['routes']
        ),
        services={
            str(row['name']): _decode_service(row)
            for row in document['services']
        },
        key_holders=(None if holders is None else _decode_key_holders(holders)),
        limits=CallerLimits(
            max_header_bytes=int(
                limits.get('max_header_bytes', default.max_header_bytes)
            ),
            max_body_bytes=int(
                limits.get('max_body_bytes', default.max_body_bytes)
            ),
            header_timeout_seconds=_decode_seconds(
                limits, 'header_timeout_ms', default.header_timeout_seconds
            ),
            idle_timeout_seconds=_decode_seconds(
                limits, 'idle_timeout_ms', default.idle_timeout_seconds
            ),
        ),
    )


def decode_server(server_id: str, entry: Any) -> BackendServer:
    """Return a backend server; raises one of DECODE_ERRORS."""
    if not isinstance(entry['service'], str):
        raise TypeError('service is not a string')
    if entry['state'] not in SERVER_STATES:
        raise ValueError(f'state {entry["state"]!r} is unknown')
    endpoint = parse_endpoint(entry['address'])
    # Without the check a name would be looked up in the middle of a request.
    ipaddress.ip_address(endpoint.address)
    if not 0 < endpoint.port <= MAX_PORT:
        raise ValueError(f'port {endpoint.port} is out of range')
    if not isinstance(entry['zone'], str):
        raise TypeError('zone is not a string')
    # Both are sent to other processes; `\ud800` cannot be encoded.
    entry['zone'].encode()
    server_id.encode('ascii')
    return BackendServer(
        server_id=server_id,
        service=entry['service'],
        address=endpoint.address,
        port=endpoint.port,
        data_centre=entry['zone'],
        slot_count=decode_count(entry['slots']),
        draining=entry['state'] == 'draining',
        cold_remaining_seconds=(
            decode_count(entry.get('cold_remaining_ms', 0))
            / MILLISECONDS_PER_SECOND
        ),
        started_unix_ms=decode_count(entry.get('born', 0)),
    )


def _decode_seconds(
    limits: Mapping[str, Any], name: str, default_seconds: float
) -> float:
    if name not in limits:
        return default_seconds
    return float(limits[name]) / MILLISECONDS_PER_SECOND


def _decode_route(row: Any) -> Route:
    split = row.get('traffic_split')
    if split:
        destinations = tuple(
            Destination(str(share['service']), float(share['weight']))
            for share in split
        )
    else:
        destinations = (Destination(str(row['service']), 1),)
    return Route(
        name=str(row['name']),
        host=str(row['host']).lower(),
        prefix=str(row['prefix']),
        kind=RouteKind(row['kind']),
        timeout_seconds=float(row['timeout_ms']) / MILLISECONDS_PER_SECOND,
        target_latency_seconds=(
            float(row['target_latency_ms']) / MILLISECONDS_PER_SECOND
        ),
        priority=int(row.get('priority', 0)),
        destinations=destinations,
        max_attempt_count=int(row.get('max_attempts', 1)),
        public=bool(row.get('public', False)),
        resumable=bool(row.get('resumable', False)),
        target_gap_seconds=_decode_seconds(row, 'gap_aim_ms', 0),
    )


def _decode_service(row: Any) -> Service:
    engine = row.get('engine')
    return Service(
        name=str(row['name']),
        cold_requests_per_second=float(row.get('cold_per_s') or 0),
        engine=_decode_engine(engine) if engine else None,
    )


def _decode_engine(row: Any) -> EngineProfile:
    return EngineProfile(
        slot_count=int(row['slots']),
        memory_tokens=int(row['kv_tokens']),
    )


def _decode_key_holders(rows: Any) -> dict[str, KeyHolder]:
    holders = {}
    for row in rows:
        priority = row.get('priority')
        holder = KeyHolder(
            name=str(row['name']),
            priority=None if priority is None else int(priority),
        )
        for api_key in row.get('api_keys') or ():
            holders[str(api_key)] = holder
    return holders
