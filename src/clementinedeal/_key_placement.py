"""Which instance keeps an idempotency key, and which ones kept it before."""

from collections.abc import Iterable
from dataclasses import dataclass

from clementinedeal._hashing import rank, score

SETTLE_SECONDS = 30.0  # above twice the freshness limit and a short pause
CLOCK_MARGIN_SECONDS = 60.0  # largest clock error of callers and daemons
MS_PER_SECOND = 1000

Names = frozenset[str]


def place(key: str, names: Iterable[str]) -> str:
    """Return the instance of highest rendezvous weight.

    :param key: digest of account and key.
    :param names: published instances; at least one.
    """
    return max(names, key=lambda name: (score(key, name), name))


@dataclass(frozen=True, slots=True)
class _Former:
    names: Names
    left_at: float
    left_ms: int


class KeyPlacement:
    """Published instances of now and of the last retention time."""

    def __init__(self, names: Iterable[str], retention: float) -> None:
        """Begin without a past.

        :param names: published instances.
        :param retention: how long a past list matters, in seconds.
        """
        self._names: Names = frozenset(names)
        self._retention = retention
        self._past: list[_Former] = []

    def change(self, names: Iterable[str], now: float, wall_ms: int) -> None:
        """Take a new list into use.

        :param names: published instances.
        :param now: current monotonic time in seconds.
        :param wall_ms: wall-clock time in milliseconds.
        """
        changed = frozenset(names)
        if changed == self._names:
            return
        self._past.append(_Former(self._names, now, wall_ms))
        self._names = changed

    def keeper(self, key: str) -> str:
        """Return the keeper of a key, empty without instances.

        :param key: digest of account and key.
        """
        return place(key, self._names) if self._names else ''

    def next_keeper(self, key: str) -> str:
        """Return who keeps a key once its keeper is gone, or ''.

        :param key: digest of account and key.
        """
        ranked = rank(key, self._names)
        return ranked[1] if len(ranked) > 1 else ''

    def former(self, key: str, minted_ms: int, now: float) -> set[str]:
        """Return the instances that may have kept a key before.

        :param key: digest of account and key.
        :param minted_ms: wall-clock time that the key carries, 0 for none.
        :param now: current monotonic time in seconds.
        """
        oldest = now - self._retention
        self._past = [past for past in self._past if past.left_at > oldest]
        keeper = self.keeper(key) if self._past else ''
        return {
            self._keeper_of(key, past, keeper)
            for past in self._past
            if past.names and not minted_after(minted_ms, past.left_ms)
        }

    def _keeper_of(self, key: str, past: _Former, keeper: str) -> str:
        """Place a key by a past list; cheap as long as its keeper was in it."""
        if keeper in past.names:
            return place(key, (keeper, *(past.names - self._names)))
        return place(key, past.names)


def minted_after(minted_ms: int, event_ms: int) -> bool:
    """Tell whether a key was made when an event had reached all daemons.

    :param minted_ms: wall-clock time that the key carries, 0 for none.
    :param event_ms: wall-clock time of the event.
    """
    slack = (SETTLE_SECONDS + CLOCK_MARGIN_SECONDS) * MS_PER_SECOND
    return minted_ms > event_ms + slack
