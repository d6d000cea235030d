"""How far back a keeper's memory of idempotency keys reaches."""

from collections.abc import Callable

from clementinedeal._key_placement import (
    CLOCK_MARGIN_SECONDS,
    CONVERGENCE_SECONDS,
    MS_PER_SECOND,
    minted_after,
)


class Quarantine:
    """Tells whether a claim made earlier would be remembered."""

    def __init__(
        self, retention_seconds: float, wall_ms: Callable[[], int]
    ) -> None:
        """Create a quarantine that has no end before ``begin``.

        :param retention: how long claims are remembered, in seconds.
        :param wall_ms: reads the wall clock in milliseconds.
        """
        self._retention_seconds = retention_seconds
        self._wall_ms = wall_ms
        self._ends_at = float('inf')
        self._began_ms = 0
        self._is_suspended = False

    def begin(self, now: float) -> None:
        """Note that claims made before now may be unknown.

        :param now: current monotonic time in seconds.
        """
        self._ends_at = now + self._retention_seconds + CONVERGENCE_SECONDS
        self._began_ms = self._wall_ms()

    def suspend(self) -> None:
        """Note that no claim is surely known until ``resume``."""
        self._is_suspended = True

    def resume(self) -> None:
        """Go on as before ``suspend``."""
        self._is_suspended = False

    def remembers(self, minted_ms: int, now: float) -> bool:
        """Tell whether any claim of a key would be known.

        :param minted_ms: wall-clock time that the key carries, 0 for none.
        :param now: current monotonic time in seconds.
        """
        if self._is_suspended:
            return False
        if now >= self._ends_at:
            return True
        return self._began_ms > 0 and minted_after(minted_ms, self._began_ms)

    def is_past_retention(self, minted_ms: int) -> bool:
        """Tell whether a key is so old that a claim may be forgotten.

        :param minted_ms: wall-clock time that the key carries, 0 for none.
        """
        age = (self._wall_ms() - minted_ms) / MS_PER_SECOND
        return (
            minted_ms > 0
            and age > self._retention_seconds - CLOCK_MARGIN_SECONDS
        )

    def remaining_seconds(self, now: float) -> float:
        """Return the time to its end in seconds, at least one.

        :param now: current monotonic time in seconds.
        """
        longest = self._retention_seconds + CONVERGENCE_SECONDS
        return min(max(self._ends_at - now, 1), longest)


class MovedKeys:
    """Keys given up to another instance, for a limited time."""

    def __init__(self, retention_seconds: float, max_keys: int) -> None:
        """Create an empty set.

        :param retention: how long a key stays in it, in seconds.
        :param limit: largest number of keys.
        """
        self._retention_seconds = retention_seconds
        self._max_keys = max_keys
        self._moved: dict[str, tuple[str, float]] = {}

    def add(self, key: str, new_keeper: str, now: float) -> bool:
        """Note that a key was given up; False when full.

        :param key: digest of account and key.
        :param to: the instance that asked for it.
        :param now: current monotonic time in seconds.
        """
        self._expire(now)
        if len(self._moved) >= self._max_keys and key not in self._moved:
            return False
        self._moved.pop(key, None)
        self._moved[key] = (new_keeper, now + self._retention_seconds)
        return True

    def get(self, key: str, now: float) -> str:
        """Return who asked last, or ''.

        :param key: digest of account and key.
        :param now: current monotonic time in seconds.
        """
        self._expire(now)
        return self._moved.get(key, ('', 0))[0]

    def discard(self, key: str) -> None:
        """Note that a key is kept here again.

        :param key: digest of account and key.
        """
        self._moved.pop(key, None)

    def _expire(self, now: float) -> None:
        while self._moved:
            oldest = next(iter(self._moved))
            if self._moved[oldest][1] > now:
                return
            self._moved.pop(oldest)
