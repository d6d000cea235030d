"""Rendezvous hashing over published names."""

from collections.abc import Iterable

import xxhash


class Candidates:
    """Names among which keys are placed, prepared for many look-ups."""

    def __init__(self, names: Iterable[str]) -> None:
        """Prepare names.

        :param names: the candidates, from published data.
        """
        self.names = tuple(sorted(names))
        self._encoded_names = tuple(name.encode() for name in self.names)

    def heaviest(self, key: str) -> str:
        """Return the name of greatest weight for a key, '' without names.

        :param key: what is to be placed.
        """
        if not self.names:
            return ''
        weights = self._weights(key)
        return self.names[weights.index(max(weights))]

    def rank(self, key: str) -> list[str]:
        """Order the names by weight for a key, heaviest first.

        :param key: what is to be placed.
        """
        weighted = zip(self._weights(key), self.names, strict=True)
        return [name for _, name in sorted(weighted, reverse=True)]

    def _weights(self, key: str) -> list[int]:
        weigh = xxhash.xxh3_64_intdigest
        seed = weigh(key.encode())
        return [weigh(blob, seed) for blob in self._encoded_names]


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Order names by rendezvous weight for a key, heaviest first.

    :param key: what is to be placed.
    :param names: the candidates, from published data.
    """
    return Candidates(names).rank(key)
