"""Hashes used for placement, prefixes and fingerprints."""

import xxhash

# Bodies are hashed in pieces, as their whole hexadecimal text would take twice
# their memory.
HASHED_PIECE_BYTES = 64 * 1024


def hash64(*parts: str) -> int:
    """Return a 64-bit hash of several strings."""
    digest: int = xxhash.xxh3_64_intdigest('\0'.join(parts).encode())
    return digest


def hash64_with_body(body: bytes, *parts: str) -> int:
    """Return the hash of several strings and the hexadecimal text of a body."""
    state = xxhash.xxh3_64()
    for part in parts:
        state.update(f'{part}\0'.encode())
    view = memoryview(body)
    for start in range(0, len(body), HASHED_PIECE_BYTES):
        state.update(view[start : start + HASHED_PIECE_BYTES].hex().encode())
    digest: int = state.intdigest()
    return digest
