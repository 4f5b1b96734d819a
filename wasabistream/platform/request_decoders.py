"""Decode callers' requests with the configuration in force."""

import re
from collections.abc import Callable

from cheroot.server import HTTPRequest

from wasabistream.digests import hash64_with_body
from wasabistream.exceptions import RequestError
from wasabistream.forwarding.configurations import RoutingConfiguration
from wasabistream.forwarding.organisations import KeyHolder
from wasabistream.forwarding.requests import (
    ForwardRequest,
    GenerationDemand,
    Headers,
)
from wasabistream.forwarding.routes import Route
from wasabistream.platform import header_names as names
from wasabistream.platform.resume_decoders import decode_resume_claim
from wasabistream.prompt_parts import limit_parts
from wasabistream.retries import Deadline
from wasabistream.route_queries.queries import SelectionQuery
from wasabistream.scheduling.urgencies import find_urgency
from wasabistream.units import MILLISECONDS_PER_SECOND

BEARER = 'bearer'
# Id of requests that are only explained.
QUERY_REQUEST_ID = 'route-query'
VISIBLE_ASCII = re.compile(rb'[\x21-\x7e]+')
# Headers that are not copied from the caller; the adapter writes its own
# value or sends none.
NOT_COPIED = frozenset(
    (
        'authorization',
        names.REQUEST_ID,
        names.REMAINING_MS,
        names.SEAL,
        names.NOT_EXECUTED,
    )
)
# No engine has memory for more. Numbers beyond the range of a float would fail
# the choices of all requests while such a one runs.
MAX_STATED_TOKENS = 2**31
NOT_FORWARDED = names.SYSTEM_ONLY | names.CONNECTION_ONLY | NOT_COPIED


def decode_request(
    configuration: RoutingConfiguration,
    request: HTTPRequest,
    body: bytes,
    elapsed_seconds: float = 0,
) -> ForwardRequest:
    """Return a request with its route; raises RequestError.

    Its deadline counts from its head, which came `elapsed_seconds` ago.
    """
    return _build_request(
        configuration,
        method=request.method.decode('latin-1'),
        target=_decode_target(request),
        headers=_decode_headers(request),
        body=body,
        choose_service=Route.draw_service,
        elapsed_seconds=elapsed_seconds,
    )


def decode_selection_query(
    configuration: RoutingConfiguration, query: SelectionQuery
) -> ForwardRequest:
    """Return the request that a query describes; raises RequestError.

    It has the route's whole timeout left and goes to the service that gets
    most of the route's traffic.
    """
    headers = {'host': query.host, names.REQUEST_ID: QUERY_REQUEST_ID}
    if query.api_key:
        headers['authorization'] = f'{BEARER} {query.api_key}'
    if query.prompt_tokens is not None:
        headers[names.TOKENS] = f'{query.prompt_tokens},{query.output_tokens}'
    if query.parts:
        # The last part belongs to the request and is not shared.
        own_part = f'{QUERY_REQUEST_ID}:0'
        headers[names.PROMPT_PARTS] = ','.join((*query.parts, own_part))
    return _build_request(
        configuration,
        method='POST',
        target=query.path,
        headers=headers,
        body=b'',
        choose_service=Route.main_service,
    )


def _build_request(
    configuration: RoutingConfiguration,
    *,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes,
    choose_service: Callable[[Route], str],
    elapsed_seconds: float = 0,
) -> ForwardRequest:
    route = _find_route(configuration, headers, target)
    holder = _find_key_holder(configuration, route, headers)
    request_id = headers.get(names.REQUEST_ID, '')
    if not request_id:
        raise RequestError('request has no id', 400, 'id')
    api_key = headers.get('authorization', '')
    priority = route.priority
    if holder is not None and holder.priority is not None:
        priority = holder.priority
    service = choose_service(route)
    forwarded_headers = _select_forwarded_headers(headers)
    return ForwardRequest(
        request_id=request_id,
        method=method,
        target=target,
        headers=forwarded_headers,
        body=body,
        deadline=Deadline(_remaining_seconds(headers, route) - elapsed_seconds),
        route=route,
        version=configuration.version,
        service=service,
        organisation=holder.name if holder else '',
        priority=priority,
        demand=_decode_demand(headers),
        fingerprint=hash64_with_body(body, api_key, target),
        prompt_parts=_decode_shared_parts(headers),
        urgency=find_urgency(configuration, service, route.name, priority),
        resume_claim=decode_resume_claim(headers, forwarded_headers),
    )


def _decode_target(request: HTTPRequest) -> str:
    # Servers differ in how they read other bytes.
    if not VISIBLE_ASCII.fullmatch(request.uri):
        raise RequestError(
            'path has bytes other than visible ASCII', 400, 'path'
        )
    return str(request.uri, 'ascii')


def _decode_headers(request: HTTPRequest) -> dict[str, str]:
    return {
        name.decode('latin-1').lower(): text.decode('latin-1')
        for name, text in request.inheaders.items()
    }


def _find_route(
    configuration: RoutingConfiguration, headers: dict[str, str], target: str
) -> Route:
    host = headers.get('host', '').partition(':')[0].lower()
    path = target.partition('?')[0]
    route = configuration.find_route(host, path)
    if route is None:
        raise RequestError('no route matches host and path', 404, 'route')
    return route


def _find_key_holder(
    configuration: RoutingConfiguration, route: Route, headers: dict[str, str]
) -> KeyHolder | None:
    holders = configuration.key_holders
    if holders is None:
        return None
    scheme, _, api_key = headers.get('authorization', '').partition(' ')
    holder = None
    if scheme.lower() == BEARER:
        holder = holders.get(api_key.strip())
    if holder is None and not route.public:
        raise RequestError('API key is not valid', 401, 'key')
    return holder


def _remaining_seconds(headers: dict[str, str], route: Route) -> float:
    text = headers.get(names.REMAINING_MS, '')
    try:
        remaining_seconds = float(text) / MILLISECONDS_PER_SECOND
    except ValueError:
        return route.timeout_seconds
    return min(remaining_seconds, route.timeout_seconds)


def _decode_demand(headers: dict[str, str]) -> GenerationDemand | None:
    token_counts = headers.get(names.TOKENS, '').split(',')
    try:
        prompt_tokens, max_output_tokens = (int(text) for text in token_counts)
        hinted_output_tokens = int(float(headers.get(names.LENGTH_HINT) or 0))
    # A number may also be infinite.
    except (ValueError, OverflowError):
        return None
    stated = (prompt_tokens, max_output_tokens, hinted_output_tokens)
    if max(map(abs, stated)) > MAX_STATED_TOKENS:
        return None
    return GenerationDemand(*stated)


def _decode_shared_parts(headers: dict[str, str]) -> tuple[str, ...]:
    # The last part belongs to the request or its session.
    entries = headers.get(names.PROMPT_PARTS, '').split(',')[:-1]
    return limit_parts(
        entry.partition(':')[0].strip().lower() for entry in entries
    )


def _select_forwarded_headers(headers: dict[str, str]) -> Headers:
    connection_field = headers.get('connection', '')
    connection_only = {
        text.strip().lower() for text in connection_field.split(',')
    }
    return tuple(
        (name, text)
        for name, text in headers.items()
        if name not in NOT_FORWARDED and name not in connection_only
    )
