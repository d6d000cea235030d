"""How long a target that was ejected again and again stays out."""

FIRST_HOLD_SECONDS = 5.0
MOST_DOUBLINGS = 6
FORGIVE_SECONDS = 60.0
FIRST_TRIALS = 10
MOST_TRIALS = 40


class Damping:
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
        doublings = min(self._ejections - 1, MOST_DOUBLINGS)
        return FIRST_HOLD_SECONDS * (1 << max(doublings, 0))

    @property
    def trials(self) -> int:
        """Return how many good answers the target must give first."""
        return min(FIRST_TRIALS * max(self._ejections, 1), MOST_TRIALS)

    def on_ejection(self, now: float) -> None:
        """Count an ejection or a failed trial.

        :param now: monotonic time in seconds.
        """
        self._ejections += 1
        self._changed_at = now

    def on_good(self, now: float) -> None:
        """Forget one ejection for each minute that passes without another.

        :param now: monotonic time in seconds.
        """
        if self._ejections and now - self._changed_at >= FORGIVE_SECONDS:
            self._ejections -= 1
            self._changed_at = now
