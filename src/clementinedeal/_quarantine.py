"""Tracks which earlier claims of idempotency keys a keeper may not know."""

from collections.abc import Callable

from clementinedeal._key_placement import (
    CLOCK_MARGIN_SECONDS,
    CONVERGENCE_SECONDS,
    MS_PER_SECOND,
    minted_after,
)


class Quarantine:
    """Decides whether this keeper would know of any earlier claim of a key.

    During a quarantine, it is sure only of keys that were made after the
    quarantine began. A quarantine ends when every claim made before it has
    passed its retention time.
    """

    def __init__(
        self, retention_seconds: float, wall_ms: Callable[[], int]
    ) -> None:
        """Create a quarantine without an end; ``begin`` sets the end.

        :param retention_seconds: time for which a keeper keeps a record.
        :param wall_ms: returns the wall-clock time in milliseconds.
        """
        self._retention_seconds = retention_seconds
        self._wall_ms = wall_ms
        self._ends_at = float('inf')
        self._began_ms = 0
        self._is_suspended = False

    def begin(self, now: float) -> None:
        """Start a quarantine: claims made before now may be unknown here.

        :param now: current monotonic time in seconds.
        """
        self._ends_at = now + self._retention_seconds + CONVERGENCE_SECONDS
        self._began_ms = self._wall_ms()

    def suspend(self) -> None:
        """Treat all claims as possibly unknown until ``resume`` is called."""
        self._is_suspended = True

    def resume(self) -> None:
        """Undo ``suspend``."""
        self._is_suspended = False

    def remembers(self, minted_ms: int, now: float) -> bool:
        """Return whether any earlier claim of a key would be known here.

        :param minted_ms: wall-clock milliseconds in the key, 0 for none.
        :param now: current monotonic time in seconds.
        """
        if self._is_suspended:
            return False
        if now >= self._ends_at:
            return True
        return self._began_ms > 0 and minted_after(minted_ms, self._began_ms)

    def is_past_retention(self, minted_ms: int) -> bool:
        """Return whether a key is so old that its record may be removed.

        :param minted_ms: wall-clock milliseconds in the key, 0 for none.
        """
        age = (self._wall_ms() - minted_ms) / MS_PER_SECOND
        return (
            minted_ms > 0
            and age > self._retention_seconds - CLOCK_MARGIN_SECONDS
        )

    def remaining_seconds(self, now: float) -> float:
        """Return the time to the quarantine's end in seconds, at least 1.

        :param now: current monotonic time in seconds.
        """
        longest = self._retention_seconds + CONVERGENCE_SECONDS
        return min(max(self._ends_at - now, 1), longest)


class MovedKeys:
    """Keys that were given up to other instances recently."""

    def __init__(self, retention_seconds: float, max_keys: int) -> None:
        """Create an empty set.

        :param retention_seconds: time for which a key stays in the set.
        :param max_keys: largest number of keys.
        """
        self._retention_seconds = retention_seconds
        self._max_keys = max_keys
        self._moved: dict[str, tuple[str, float]] = {}

    def add(self, key: str, new_keeper: str, now: float) -> bool:
        """Add a key that was given up; return False if the set is full.

        :param key: digest of account and key.
        :param new_keeper: the instance that queried it.
        :param now: current monotonic time in seconds.
        """
        self._expire(now)
        if len(self._moved) >= self._max_keys and key not in self._moved:
            return False
        self._moved.pop(key, None)
        self._moved[key] = (new_keeper, now + self._retention_seconds)
        return True

    def get(self, key: str, now: float) -> str:
        """Return the instance that a key was given up to last, or ''.

        :param key: digest of account and key.
        :param now: current monotonic time in seconds.
        """
        self._expire(now)
        return self._moved.get(key, ('', 0))[0]

    def discard(self, key: str) -> None:
        """Remove a key, as it is kept here again.

        :param key: digest of account and key.
        """
        self._moved.pop(key, None)

    def _expire(self, now: float) -> None:
        while self._moved:
            oldest = next(iter(self._moved))
            if self._moved[oldest][1] > now:
                return
            self._moved.pop(oldest)
