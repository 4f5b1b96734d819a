"""Hashes used for placement, prefixes and fingerprints."""

import xxhash


def hash64(*parts: str) -> int:
    """Return a 64-bit hash of several strings."""
    digest: int = xxhash.xxh3_64_intdigest('\0'.join(parts).encode())
    return digest
