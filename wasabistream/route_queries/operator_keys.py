"""Key that operators send to explain a selection."""

import hmac

OPERATOR_KEY_VARIABLE = 'WASABISTREAM_OPERATOR_KEY'
BEARER = 'bearer'


def is_operator(operator_key: str, authorization: str) -> bool:
    """Return whether a request carries the key; an empty one is not needed."""
    if not operator_key:
        return True
    scheme, _, key = authorization.partition(' ')
    return scheme.lower() == BEARER and hmac.compare_digest(
        key.strip().encode(), operator_key.encode()
    )
