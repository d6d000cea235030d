"""Which instance keeps an idempotency key, and which ones kept it before."""

from collections.abc import Iterable
from dataclasses import dataclass

from clementinedeal._hashing import Candidates

CONVERGENCE_SECONDS = 30.0  # above twice the freshness limit and a short pause
CLOCK_MARGIN_SECONDS = 60.0  # largest clock error of callers and daemons
MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class _FormerCandidates:
    candidates: Candidates
    left_at: float
    left_ms: int


class KeyPlacement:
    """Published instances of now and of the last retention time."""

    def __init__(self, names: Iterable[str], retention_seconds: float) -> None:
        """Begin without a past.

        :param names: published instances.
        :param retention: how long a past list matters, in seconds.
        """
        self._candidates = Candidates(names)
        self._retention_seconds = retention_seconds
        self._past: list[_FormerCandidates] = []

    def update(self, names: Iterable[str], now: float, wall_ms: int) -> None:
        """Take a new list into use.

        :param names: published instances.
        :param now: current monotonic time in seconds.
        :param wall_ms: wall-clock time in milliseconds.
        """
        changed = Candidates(names)
        if changed.names == self._candidates.names:
            return
        self._past.append(_FormerCandidates(self._candidates, now, wall_ms))
        self._candidates = changed

    def keeper(self, key: str) -> str:
        """Return the keeper of a key, empty without instances.

        :param key: digest of account and key.
        """
        return self._candidates.heaviest(key)

    def next_keeper(self, key: str) -> str:
        """Return who keeps a key once its keeper is gone, or ''.

        :param key: digest of account and key.
        """
        ranked = self._candidates.rank(key)
        return ranked[1] if len(ranked) > 1 else ''

    def former_keepers(self, key: str, minted_ms: int, now: float) -> set[str]:
        """Return the instances that may have kept a key before.

        :param key: digest of account and key.
        :param minted_ms: wall-clock time that the key carries, 0 for none.
        :param now: current monotonic time in seconds.
        """
        oldest = now - self._retention_seconds
        self._past = [past for past in self._past if past.left_at > oldest]
        return {
            past.candidates.heaviest(key)
            for past in self._past
            if past.candidates.names
            and not minted_after(minted_ms, past.left_ms)
        }


def minted_after(minted_ms: int, event_ms: int) -> bool:
    """Tell whether a key was made when an event had reached all daemons.

    :param minted_ms: wall-clock time that the key carries, 0 for none.
    :param event_ms: wall-clock time of the event.
    """
    slack = (CONVERGENCE_SECONDS + CLOCK_MARGIN_SECONDS) * MS_PER_SECOND
    return minted_ms > event_ms + slack
