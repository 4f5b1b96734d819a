"""Decoding of numbers, and errors raised by values of an unexpected shape."""

from typing import Any

from urllib3.exceptions import HTTPError, ReadTimeoutError

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

# Errors of a call that has no answer in time. A refused connection raises a
# subclass of ConnectTimeoutError, so that one is not among them.
TIMEOUT_ERRORS = (ReadTimeoutError, TimeoutError)

# Errors of a call whose answer is JSON.
CALL_ERRORS = (HTTPError, OSError, ValueError, RecursionError)

# Integers up to this one are exact in JSON and fit the messages between
# processes.
MAX_COUNT = 2**53


def decode_count(number: Any) -> int:
    """Return a number of 0 or more; raises TypeError or ValueError."""
    if isinstance(number, bool) or not isinstance(number, int | float):
        raise TypeError(f'{number!r} is not a number')
    # Also false for NaN.
    if not 0 <= number <= MAX_COUNT:
        raise ValueError('number is out of range')
    return int(number)
