"""Limits the retries of this daemon.

The operators bound retries over the whole fleet. Each daemon enforces an equal
part of that bound by itself.
"""

from clementinedeal._timers import Clock
from clementinedeal.mesh._settings import Bounds

# Fraction of the operators' bound that is used. A retried request repeats the
# calls that its target makes, and they count as retries, too.
USED_BOUND_FRACTION = 0.6
# Capacity of the bucket in tokens, at least; also its level at the start.
MIN_CAPACITY = 1.0


class RetryTokenBucket:
    """Token bucket for the retries of one service.

    Each request adds a fraction of a token, and a constant rate adds this
    daemon's part of the operators' slack. ``daemon_count`` is the number of
    daemons in the fleet; ``retries_taken`` counts the tokens taken.
    """

    def __init__(self, bounds: Bounds, clock: Clock) -> None:
        """Create a bucket with the smallest capacity.

        :param bounds: the operators' bound on retries over the fleet.
        :param clock: monotonic time.
        """
        self._bounds = bounds
        self._clock = clock
        self._tokens = MIN_CAPACITY
        self._refilled_at = clock.now()
        self.daemon_count = 1
        self.retries_taken = 0

    def add_request(self) -> None:
        """Add the fraction of a token that a new request earns."""
        self._refill()
        self._tokens += self._bounds.retry_ratio * USED_BOUND_FRACTION
        self._limit_to_capacity()

    def take(self) -> bool:
        """Take a token for one retry; False if there is none."""
        self._refill()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        self.retries_taken += 1
        return True

    def _slack_part(self) -> float:
        """Return this daemon's part of the slack per window, in tokens."""
        return (
            self._bounds.retry_slack
            * USED_BOUND_FRACTION
            / max(1, self.daemon_count)
        )

    def _refill(self) -> None:
        now = self._clock.now()
        elapsed = now - self._refilled_at
        self._refilled_at = now
        # half of the slack is added over each window, half may accumulate
        self._tokens += (
            self._slack_part() / 2 * elapsed / self._bounds.retry_window
        )
        self._limit_to_capacity()

    def _limit_to_capacity(self) -> None:
        self._tokens = min(
            self._tokens, max(MIN_CAPACITY, self._slack_part() / 2 + 1)
        )
