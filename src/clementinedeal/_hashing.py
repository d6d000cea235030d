"""Rendezvous hashing over published names."""

from collections.abc import Iterable

import xxhash


def score(key: str, name: str) -> int:
    """Return the 64-bit rendezvous weight of a name for a key."""
    digest: int = xxhash.xxh3_64_intdigest(f'{key}\0{name}'.encode())
    return digest


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Order names by rendezvous weight for a key, heaviest first.

    :param key: what is to be placed.
    :param names: the candidates, from published data.
    """
    return sorted(
        names,
        key=lambda name: (score(key, name), name),
        reverse=True,
    )
