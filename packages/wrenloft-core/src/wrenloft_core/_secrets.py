"""Comparison of keys and shared secrets in constant time."""

import hmac

from blake3 import blake3


def hash_key(key: str) -> str:
    """Return the digest under which a caller's key is stored, as hex."""
    return blake3(key.encode()).hexdigest()


def matches_digest(key: str, digest: str) -> bool:
    """Return whether ``key`` hashes to ``digest``."""
    return hmac.compare_digest(hash_key(key), digest)


def matches_secret(given: str, expected: str) -> bool:
    """Return whether two secrets are equal."""
    return hmac.compare_digest(given.encode(), expected.encode())
