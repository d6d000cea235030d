"""Failures of the calls that the target beside this daemon makes."""

from clementinedeal._timers import Clock

# A target whose own call failed passes the failure on within this time.
RECENT_FAILURE_SECONDS = 0.2


class CallFailures:
    """Distinguishes failures of the target from failures that it passes on.

    If a call made by the target failed shortly before a request fails, the
    failure says nothing of the target's own health.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with no failure recorded.

        :param clock: monotonic time.
        """
        self._clock = clock
        self._failed_at = float('-inf')

    def record(self) -> None:
        """Record that a call has failed now."""
        self._failed_at = self._clock.now()

    def failed_recently(self) -> bool:
        """Whether a failed call may be why a request fails now."""
        return self._clock.now() - self._failed_at < RECENT_FAILURE_SECONDS
