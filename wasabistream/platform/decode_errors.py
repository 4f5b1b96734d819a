"""Errors raised while a value of an unexpected shape is decoded."""

DECODE_ERRORS = (
    AttributeError,
    KeyError,
    IndexError,
    TypeError,
    ValueError,
    OverflowError,
)
