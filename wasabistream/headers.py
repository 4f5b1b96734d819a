"""Filters of the header fields between callers and plain services."""

from collections.abc import Mapping

# Fields that hold for one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
# The credential in `authorization` is for wasabistream alone. The entry decides
# by the method whether a call may be repeated; a method override could make the
# service run another one. The client of the service sets length and host itself.
NOT_FORWARDED = HOP_BY_HOP | {
    'authorization',
    'content-length',
    'expect',
    'host',
    'x-http-method',
    'x-http-method-override',
    'x-method-override',
}
# A service may set several cookies, but a link message carries one value for
# each name, so that `set-cookie` is dropped.
NOT_RETURNED = HOP_BY_HOP | {'content-length', 'set-cookie', 'date', 'server'}


def filter_request_headers(received: Mapping[str, str]) -> dict[str, str]:
    """Return the fields of a caller's request that a service gets."""
    return _filter_fields(received, NOT_FORWARDED)


def filter_response_headers(received: Mapping[str, str]) -> dict[str, str]:
    """Return the fields of a service's response that its caller gets."""
    return _filter_fields(received, NOT_RETURNED)


def _filter_fields(
    received: Mapping[str, str], excluded: frozenset[str]
) -> dict[str, str]:
    lower_case_fields = {name.lower(): text for name, text in received.items()}
    connection_only = {
        name.strip().lower()
        for name in lower_case_fields.get('connection', '').split(',')
    }
    return {
        name: text
        for name, text in lower_case_fields.items()
        if name not in excluded and name not in connection_only
    }
