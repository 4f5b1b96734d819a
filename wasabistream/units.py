"""Factors between the units of wire formats and those of this code."""

MILLISECONDS_PER_SECOND = 1000
MICROSECONDS_PER_SECOND = 1000 * 1000
BYTES_PER_MEGABYTE = 1000 * 1000
MAX_PORT = 65535
