"""Header fields that pass between callers and plain services."""

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
# The credential is for wasabistream alone; a method override could turn a
# call into one that may not be repeated after the rules were checked.
NOT_SENT = HOP_BY_HOP | {
    'authorization',
    'content-length',
    'expect',
    'host',
    'x-http-method',
    'x-http-method-override',
    'x-method-override',
}
# A message carries one text for each name, which several cookies do not fit.
NOT_RETURNED = HOP_BY_HOP | {'content-length', 'set-cookie', 'date', 'server'}


def filter_request_headers(received: Mapping[str, str]) -> dict[str, str]:
    """Return the fields of a caller that a service gets."""
    return _kept(received, NOT_SENT)


def filter_response_headers(received: Mapping[str, str]) -> dict[str, str]:
    """Return the fields of a service that its caller gets."""
    return _kept(received, NOT_RETURNED)


def _kept(
    received: Mapping[str, str], dropped: frozenset[str]
) -> dict[str, str]:
    lowered = {name.lower(): text for name, text in received.items()}
    named = {
        name.strip().lower()
        for name in lowered.get('connection', '').split(',')
    }
    return {
        name: text
        for name, text in lowered.items()
        if name not in dropped and name not in named
    }
