"""Errors that a value of another shape raises while it is decoded."""

DECODE_ERRORS = (
    AttributeError,
    KeyError,
    IndexError,
    TypeError,
    ValueError,
    OverflowError,
)
