"""Longer ejections and trials for a target that was ejected repeatedly."""

# How long a target stays ejected the first time, and how often that time is
# doubled at most.
MIN_HOLD_SECONDS = 5.0
MAX_DOUBLINGS = 6
# Time in use after which one ejection no longer counts.
DECAY_SECONDS = 60.0
# Number of requests in the trial after the first ejection, and the limit for
# later trials.
MIN_TRIAL_REQUESTS = 10
MAX_TRIAL_REQUESTS = 40


class EjectionBackoff:
    """Counts recent ejections of a target and derives the next hold from them.

    Each ejection or failed trial doubles the hold. In use, the count falls by
    one every ``DECAY_SECONDS``.
    """

    def __init__(self, now: float) -> None:
        """Start without ejections.

        :param now: monotonic time in seconds.
        """
        self._ejections = 0
        self._changed_at = now

    @property
    def hold_seconds(self) -> float:
        """Return how long the target stays ejected before its trial."""
        doublings = min(self._ejections - 1, MAX_DOUBLINGS)
        return MIN_HOLD_SECONDS * (1 << max(doublings, 0))

    @property
    def trial_requests(self) -> int:
        """Return how many requests a trial takes before reinstatement."""
        return min(
            MIN_TRIAL_REQUESTS * max(self._ejections, 1), MAX_TRIAL_REQUESTS
        )

    def on_ejection(self, now: float) -> None:
        """Count an ejection or a failed trial.

        :param now: monotonic time in seconds.
        """
        self._ejections += 1
        self._changed_at = now

    def on_in_use(self, now: float) -> None:
        """Decrease the count if ``DECAY_SECONDS`` passed since its last change.

        To be called repeatedly while the target is in use.

        :param now: monotonic time in seconds.
        """
        if self._ejections and now - self._changed_at >= DECAY_SECONDS:
            self._ejections -= 1
            self._changed_at = now
