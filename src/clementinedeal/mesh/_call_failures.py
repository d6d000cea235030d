"""Failures of the calls that the target beside this daemon makes."""

from clementinedeal._timers import Clock

# A target answers its own caller within this time of a call that failed.
RECENT_FAILURE_SECONDS = 0.2


class CallFailures:
    """Tells a failure of the target from one that it passes on."""

    def __init__(self, clock: Clock) -> None:
        """Start without a failure.

        :param clock: monotonic time.
        """
        self._clock = clock
        self._failed_at = float('-inf')

    def record(self) -> None:
        """Record that a call has failed now."""
        self._failed_at = self._clock.now()

    def failed_recently(self) -> bool:
        """Whether a call failed so recently that a request fails by it."""
        return self._clock.now() - self._failed_at < RECENT_FAILURE_SECONDS
