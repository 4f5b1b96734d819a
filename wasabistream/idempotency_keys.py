"""Idempotency keys, and the time of issue that they carry."""

import secrets
import uuid

from wasabistream.units import MILLISECONDS_PER_SECOND

UUID_VERSION = 7
TIMESTAMP_SHIFT = 80
VERSION_SHIFT = 76
VARIANT_SHIFT = 62
# A UUIDv7 has random bits on both sides of the variant.
HIGH_RANDOM_BITS = 12
LOW_RANDOM_BITS = 62
VARIANT = 2


def make_key(now_unix_seconds: float) -> str:
    """Return a new UUIDv7 with the given time of issue."""
    high = secrets.randbits(HIGH_RANDOM_BITS)
    number = int(now_unix_seconds * MILLISECONDS_PER_SECOND) << TIMESTAMP_SHIFT
    number |= UUID_VERSION << VERSION_SHIFT | high << (VARIANT_SHIFT + 2)
    number |= VARIANT << VARIANT_SHIFT | secrets.randbits(LOW_RANDOM_BITS)
    return str(uuid.UUID(int=number))


def issued_unix_seconds(key: str) -> float | None:
    """Return the time of issue of a UUIDv7, or None for any other key."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION:
        return None
    return (parsed.int >> TIMESTAMP_SHIFT) / MILLISECONDS_PER_SECOND


def key_age_upper_bound_seconds(
    key: str,
    now_unix_seconds: float,
    clock_offset_seconds: float,
    retry_horizon_seconds: float,
) -> float:
    """Return the greatest age that a key can have.

    `clock_offset_seconds` is the largest difference between the wall clocks of
    the key's issuer and of this VM. The retry horizon is the time for which
    callers may retry a key; a key without a time, or with one too far in the
    future, is taken to be that old.
    """
    issued_at_seconds = issued_unix_seconds(key)
    if issued_at_seconds is None:
        return retry_horizon_seconds
    age_seconds = now_unix_seconds - issued_at_seconds + clock_offset_seconds
    if age_seconds < 0:
        return retry_horizon_seconds
    return age_seconds
