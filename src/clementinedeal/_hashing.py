"""Rendezvous hashing: assigns keys to published names.

All daemons with the same names assign a key to the same name, and a name that
is added or removed moves only the keys assigned to it.
"""

from collections.abc import Iterable

import xxhash


class Candidates:
    """Names to which keys are assigned, prepared for many look-ups."""

    def __init__(self, names: Iterable[str]) -> None:
        """Prepare the names.

        :param names: the candidates, the same at all daemons.
        """
        self.names = tuple(sorted(names))
        self._encoded_names = tuple(name.encode() for name in self.names)

    def heaviest(self, key: str) -> str:
        """Return the name of greatest weight for a key, '' without names.

        :param key: the key to assign.
        """
        if not self.names:
            return ''
        weights = self._weights(key)
        return self.names[weights.index(max(weights))]

    def rank(self, key: str) -> list[str]:
        """Return the names by weight for a key, heaviest first.

        :param key: the key to assign.
        """
        weighted = zip(self._weights(key), self.names, strict=True)
        return [name for _, name in sorted(weighted, reverse=True)]

    def _weights(self, key: str) -> list[int]:
        weigh = xxhash.xxh3_64_intdigest
        seed = weigh(key.encode())
        return [weigh(blob, seed) for blob in self._encoded_names]


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return names by rendezvous weight for a key, heaviest first.

    :param key: the key to assign.
    :param names: the candidates, the same at all daemons.
    """
    return Candidates(names).rank(key)
