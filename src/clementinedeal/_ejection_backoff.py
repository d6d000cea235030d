"""How long a target that was ejected again and again stays out."""

MIN_HOLD_SECONDS = 5.0
MAX_DOUBLINGS = 6
DECAY_SECONDS = 60.0
MIN_TRIAL_REQUESTS = 10
MAX_TRIAL_REQUESTS = 40


class EjectionBackoff:
    """Counts ejections that followed each other closely."""

    def __init__(self, now: float) -> None:
        """Start without any.

        :param now: monotonic time in seconds.
        """
        self._ejections = 0
        self._changed_at = now

    @property
    def hold_seconds(self) -> float:
        """Return how long the target stays out before it is tried."""
        doublings = min(self._ejections - 1, MAX_DOUBLINGS)
        return MIN_HOLD_SECONDS * (1 << max(doublings, 0))

    @property
    def trial_requests(self) -> int:
        """Return how many good answers the target must give first."""
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
        """Forget one ejection for each minute that passes without another.

        :param now: monotonic time in seconds.
        """
        if self._ejections and now - self._changed_at >= DECAY_SECONDS:
            self._ejections -= 1
            self._changed_at = now
