"""Errors raised by HTTP calls and by values of an unexpected shape."""

from urllib3.exceptions import HTTPError

DECODE_ERRORS = (
    AttributeError,
    KeyError,
    IndexError,
    TypeError,
    ValueError,
    OverflowError,
    # JSON that nests too deeply.
    RecursionError,
)

# Errors of a call whose answer is JSON.
CALL_ERRORS = (HTTPError, OSError, ValueError, RecursionError)
