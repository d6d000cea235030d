"""Restores of the registry from a copy, and which entries they bring back."""

from clementinedeal._timers import Clock
from clementinedeal.mesh._types import Target

# An entry that a restored registry brings back expires within this time, if its
# target is gone.
ENTRY_LAPSE_SECONDS = 5.0


class Restores:
    """The registry's era, and the own target that was removed before it."""

    def __init__(self, clock: Clock) -> None:
        """Start before any era is known.

        :param clock: monotonic time.
        """
        self._clock = clock
        self._era = 0
        self._lapse_at = float('-inf')
        self._gone: Target | None = None
        self._gone_era = 0

    def observe(self, era: int) -> bool:
        """Record the era of an answer.

        :param era: rises with each restore.
        :return: whether the registry was restored since the last answer.
        """
        if era <= self._era:
            return False
        is_first = not self._era
        self._era = era
        if not is_first:
            self._lapse_at = self._clock.now() + ENTRY_LAPSE_SECONDS
        return not is_first

    def lapse_seconds(self) -> float:
        """Return how long entries may be shown that were brought back."""
        return max(0, self._lapse_at - self._clock.now())

    def on_removed(self, target: Target | None) -> None:
        """Record that the own target is no longer listed.

        :param target: its last entry.
        """
        self._gone = target
        self._gone_era = self._era

    def may_bring_back(self, target: Target | None, own: Target | None) -> bool:
        """Whether an entry at the own address may have been brought back.

        :param target: the entry, if any.
        :param own: the target that the owner serves, if any.
        """
        if target is None or not self.lapse_seconds():
            return False
        if own is not None:
            is_same_name = target.name == own.name
            return is_same_name and target.started_ms < own.started_ms
        gone = self._gone
        return (
            gone is not None
            and self._era > self._gone_era
            and target.started_ms <= gone.started_ms
        )
