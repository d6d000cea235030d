"""Chooses the instance that keeps an idempotency key.

The instances that may have kept it under earlier configurations are
remembered for as long as their records may still be needed.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from clementinedeal._hashing import Candidates

# Time after which no daemon acts on a superseded list of instances any more:
# more than twice the freshness limit plus a short pause.
CONVERGENCE_SECONDS = 30.0
CLOCK_MARGIN_SECONDS = 60.0  # largest clock error of callers and daemons
MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class _FormerCandidates:
    """A former list of instances and when it was replaced here.

    ``replaced_at`` is in monotonic seconds, ``replaced_ms`` the same moment in
    wall-clock milliseconds.
    """

    candidates: Candidates
    replaced_at: float
    replaced_ms: int


class KeyPlacement:
    """The present list of instances and those of the retention time."""

    def __init__(self, names: Iterable[str], retention_seconds: float) -> None:
        """Start without former lists.

        :param names: names of the published instances.
        :param retention_seconds: time for which a former list is kept.
        """
        self._candidates = Candidates(names)
        self._retention_seconds = retention_seconds
        self._past: list[_FormerCandidates] = []

    def update(self, names: Iterable[str], now: float, wall_ms: int) -> None:
        """Use a new list of instances.

        :param names: names of the published instances.
        :param now: current monotonic time in seconds.
        :param wall_ms: wall-clock time in milliseconds.
        """
        candidates = Candidates(names)
        if candidates.names == self._candidates.names:
            return
        self._past.append(_FormerCandidates(self._candidates, now, wall_ms))
        self._candidates = candidates

    def keeper(self, key: str) -> str:
        """Return the keeper of a key, or '' if there are no instances.

        :param key: digest of account and key.
        """
        return self._candidates.heaviest(key)

    def next_keeper(self, key: str) -> str:
        """Return the instance that keeps a key once its keeper is removed.

        Return '' if there is no other instance.

        :param key: digest of account and key.
        """
        ranked = self._candidates.rank(key)
        return ranked[1] if len(ranked) > 1 else ''

    def former_keepers(self, key: str, minted_ms: int, now: float) -> set[str]:
        """Return the instances that may have kept a key before.

        Instances of lists that were replaced well before the key was made are
        left out.

        :param key: digest of account and key.
        :param minted_ms: wall-clock milliseconds in the key, 0 for none.
        :param now: current monotonic time in seconds.
        """
        oldest = now - self._retention_seconds
        self._past = [past for past in self._past if past.replaced_at > oldest]
        return {
            past.candidates.heaviest(key)
            for past in self._past
            if past.candidates.names
            and not minted_after(minted_ms, past.replaced_ms)
        }


def minted_after(minted_ms: int, event_ms: int) -> bool:
    """Return whether a key was made after all daemons knew of an event.

    :param minted_ms: wall-clock milliseconds in the key, 0 for none.
    :param event_ms: wall-clock time of the event in milliseconds.
    """
    slack = (CONVERGENCE_SECONDS + CLOCK_MARGIN_SECONDS) * MS_PER_SECOND
    return minted_ms > event_ms + slack
